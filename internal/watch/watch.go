// Package watch mirrors the platform's objects in this daemon: from the store when the daemon is one of its zone's
// watchers, otherwise from its peers.
package watch

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

// Prefixes and names of the objects that every daemon mirrors.
const (
	PrefixConfig = "Config/"
	// SiteObjectName is the name of the object that holds the site's configuration.
	SiteObjectName = PrefixConfig + "Site"
)

const (
	callOwner     = "watch"
	watchWait     = time.Second
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	pullInterval  = 250 * time.Millisecond
	listInterval  = time.Second
)

// Membership reports which hosts are known and which are alive.
type Membership interface {
	// Known returns all known hosts sorted by name, including this one.
	Known() []event.Host
	// Alive returns the hosts that are alive at time now sorted by name, including this one.
	Alive(now time.Duration) []event.Host
}

// Evidence reports how recent the known state is.
type Evidence interface {
	// UpToDateAt returns the latest time at which the known state held every accepted change; false for none.
	UpToDateAt(now time.Duration) (time.Duration, bool)
}

// Component is the component of the reducer that mirrors objects. Its exported fields are set before the first Step.
type Component struct {
	Self       event.Host
	Membership Membership
	Evidence   Evidence
	Keys       *keys.Table // filled by this component

	trust          config.Trust
	started        bool
	feeds          []*feed
	callSeq        uint64
	newestRevision uint64 // highest store revision in any answer
	endpoints      endpoints
	lastPullAt     map[string]time.Duration // time of the last Pull sent, by host
	site           *config.Site
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start()
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.ObjectsDone:
		p.objectsDone(now, e, out)
	case event.EndpointsDone:
		p.endpointsDone(now, e, out)
	case event.PeerReceived:
		p.receive(now, e, out)
	case event.BeatSeen:
		p.pullNewer(now, e, out)
	}
}

func (p *Component) start() {
	if p.started {
		return
	}
	p.started = true
	p.trust = config.Defaults().Trust
	p.lastPullAt = map[string]time.Duration{}
	for _, prefix := range []string{member.Prefix, PrefixConfig, keys.Prefix, wire.PrefixRollouts} {
		p.feeds = append(p.feeds, newFeed(prefix))
	}
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	if !p.Complete() {
		p.completeFromPeers()
	}
	watches := p.watchesStore(now)
	for _, f := range p.feeds {
		if watches || !f.complete {
			p.callStore(now, f, out)
		}
	}
	if !p.Complete() {
		p.pullMissing(now, out)
	}
	if watches {
		p.listEndpoints(now, out)
	}
}

// watchesStore reports whether this daemon calls the store itself: because it is one of its zone's watchers, or because
// the evidence from its peers is old.
func (p *Component) watchesStore(now time.Duration) bool {
	if since, ok := p.Evidence.UpToDateAt(now); !ok || now-since > p.trust.Bound*2/3 {
		return true
	}
	var zone []string
	for _, h := range p.Membership.Alive(now) {
		if h.Zone == p.Self.Zone {
			zone = append(zone, h.Name)
		}
	}
	return slices.Contains(ranks.Top(p.Self.Zone, zone, p.trust.Watchers), p.Self.Name)
}

// callStore lists a prefix that is not complete and watches one that is.
func (p *Component) callStore(now time.Duration, f *feed, out *event.Batch) {
	if f.callPending || now < f.nextCallAt {
		return
	}
	f.callPending = true
	p.callSeq++
	f.callSeq = p.callSeq
	f.minRevision = max(p.newestRevision, f.knownRevision)
	call := event.ObjectCall{Owner: callOwner, Seq: p.callSeq}
	if !f.complete {
		out.Emit(event.ListObjects{Call: call, Prefix: f.prefix})
		return
	}
	out.Emit(event.WatchObjects{Call: call, Prefix: f.prefix, After: f.watchFrom(), Wait: watchWait})
}

func (p *Component) objectsDone(now time.Duration, e event.ObjectsDone, out *event.Batch) {
	f := p.feed(e.Prefix)
	if e.Call.Owner != callOwner || f == nil || f.callSeq != e.Call.Seq {
		return
	}
	f.callPending = false
	if e.Kind != "" {
		p.scheduleRetry(now, f, string(kinds.StoreUnavailable), out)
		return
	}
	if e.List.Revision < f.minRevision {
		p.scheduleRetry(now, f, "OldAnswer", out)
		return
	}
	f.failures = 0
	p.newestRevision = max(p.newestRevision, e.List.Revision)
	p.applyList(now, f, e, out)
}

func (p *Component) scheduleRetry(now time.Duration, f *feed, reason string, out *event.Batch) {
	f.nextCallAt = now + min(minRetryDelay<<min(f.failures, 8), maxRetryDelay)
	f.failures++
	out.Emit(event.Count{Name: "WatchRetries", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
}

func (p *Component) applyList(now time.Duration, f *feed, e event.ObjectsDone, out *event.Batch) {
	previousRevision, wasComplete := f.knownRevision, f.complete
	changed := f.apply(e.List.Objects)
	if !wasComplete {
		changed = append(changed, f.deleteMissing(e.List)...)
	}
	f.complete = true
	f.answeredRevision = e.List.Revision
	f.contactAt = e.SentAt
	f.advanceRevision(e.List.Objects)
	p.activate(f, changed, out)
	if wasComplete && len(changed) > 0 {
		// All objects since the previous revision: a peer's push may have brought some that the receivers don't know.
		p.sendPush(now, wire.Push{Prefix: f.prefix, After: previousRevision, Revision: f.knownRevision, Objects: f.changedAfter(previousRevision)}, "", out)
	}
}

// sendPush sends changed objects to every host that is alive except the one from which they came.
func (p *Component) sendPush(now time.Duration, push wire.Push, from string, out *event.Batch) {
	for _, h := range p.Membership.Alive(now) {
		if h.Name != p.Self.Name && h.Name != from {
			out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Push: &push}})
		}
	}
}

func (p *Component) feed(prefix string) *feed {
	for _, f := range p.feeds {
		if f.prefix == prefix {
			return f
		}
	}
	return nil
}

// OwnContact returns the time of this daemon's last own contact with the store at which it knew all configuration and
// keys; false before the first one.
func (p *Component) OwnContact() (time.Duration, bool) {
	configFeed, keysFeed := p.feed(PrefixConfig), p.feed(keys.Prefix)
	if !p.Complete() || configFeed.answeredRevision == 0 || keysFeed.answeredRevision == 0 {
		return 0, false
	}
	return min(configFeed.contactAt, keysFeed.contactAt), true
}

// Complete reports whether this daemon knows all objects, read from the store or from enough other hosts.
func (p *Component) Complete() bool {
	for _, f := range p.feeds {
		if !f.complete {
			return false
		}
	}
	return len(p.feeds) > 0
}

// Site returns the configuration in force, nil for none.
func (p *Component) Site() *config.Site { return p.site }

// Revisions returns the revision of the configuration in force, 0 for none, and the store revision up to which this
// daemon knows the keys.
func (p *Component) Revisions() (configRevision, keysRevision uint64) {
	if p.site != nil {
		configRevision = p.site.Revision
	}
	if f := p.feed(keys.Prefix); f != nil {
		keysRevision = f.knownRevision
	}
	return configRevision, keysRevision
}

// HostsRevision returns the store revision up to which this daemon knows the hosts.
func (p *Component) HostsRevision() uint64 {
	if f := p.feed(member.Prefix); f != nil {
		return f.knownRevision
	}
	return 0
}

// FillBeat adds the revisions of the known objects to a heartbeat.
func (p *Component) FillBeat(_ time.Duration, heartbeat *wire.Beat) {
	heartbeat.ConfigRevision, heartbeat.KeysRevision = p.Revisions()
	heartbeat.Complete = p.Complete()
	heartbeat.HostsRevision = p.HostsRevision()
	if f := p.feed(wire.PrefixRollouts); f != nil {
		heartbeat.RolloutsRevision = f.knownRevision
	}
}
