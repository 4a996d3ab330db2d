// Package watch brings the platform's objects to this daemon: by its own calls where it is one of its zone's
// watchers, else from the peers.
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

// The prefixes that every daemon knows whole.
const (
	PrefixConfig = "Config/"
	// SiteObject is the name of the object that holds the site's configuration.
	SiteObject = PrefixConfig + "Site"
)

const (
	owner      = "watch"
	watchWait  = time.Second
	firstRetry = 250 * time.Millisecond
	mostRetry  = 2 * time.Second
	pullEvery  = 250 * time.Millisecond
	listEvery  = time.Second
)

// Roster tells which hosts there are.
type Roster interface {
	// Known returns all known hosts sorted by name, this one among them.
	Known() []event.Host
	// Alive returns the hosts that are heard at time now sorted by name, this one among them.
	Alive(now time.Duration) []event.Host
}

// Evidence tells how recent the known state is.
type Evidence interface {
	// Since returns the latest time at which the known state held every accepted change; false for none.
	Since(now time.Duration) (time.Duration, bool)
}

// Part is the watch's share of the reducer. Its exported fields are set before the first Step.
type Part struct {
	Self     event.Host
	Roster   Roster
	Evidence Evidence
	Keys     *keys.Table // filled by this part

	trust     config.Trust
	started   bool
	feeds     []*feed
	seq       uint64
	newest    uint64 // highest revision of the store in any answer
	endpoints endpoints
	pulled    map[string]time.Duration // time of the last Pull by host
	site      *config.Site
}

// Step applies one event.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
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
		p.compare(now, e, out)
	}
}

func (p *Part) start() {
	if p.started {
		return
	}
	p.started = true
	p.trust = config.Defaults().Trust
	p.pulled = map[string]time.Duration{}
	for _, prefix := range []string{member.Prefix, PrefixConfig, keys.Prefix, wire.PrefixRollouts} {
		p.feeds = append(p.feeds, newFeed(prefix))
	}
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	if !p.Complete() {
		p.completeByPeers()
	}
	watching := p.watching(now)
	for _, f := range p.feeds {
		if watching || !f.complete {
			p.call(now, f, out)
		}
	}
	if !p.Complete() {
		p.pullMissing(now, out)
	}
	if watching {
		p.listEndpoints(now, out)
	}
}

// watching reports whether this daemon calls the store by itself: as one of its zone's watchers, or because
// what the peers bring has grown old.
func (p *Part) watching(now time.Duration) bool {
	if since, ok := p.Evidence.Since(now); !ok || now-since > p.trust.Bound*2/3 {
		return true
	}
	var zone []string
	for _, h := range p.Roster.Alive(now) {
		if h.Zone == p.Self.Zone {
			zone = append(zone, h.Name)
		}
	}
	return slices.Contains(ranks.Top(p.Self.Zone, zone, p.trust.Watchers), p.Self.Name)
}

// call lists a prefix that is not yet known and watches one that is.
func (p *Part) call(now time.Duration, f *feed, out *event.Batch) {
	if f.busy || now < f.next {
		return
	}
	f.busy = true
	p.seq++
	f.seq = p.seq
	f.floor = max(p.newest, f.upTo)
	id := event.ObjectCall{Owner: owner, Seq: p.seq}
	if !f.complete {
		out.Emit(event.ListObjects{Call: id, Prefix: f.prefix})
		return
	}
	out.Emit(event.WatchObjects{Call: id, Prefix: f.prefix, After: f.position(), Wait: watchWait})
}

func (p *Part) objectsDone(now time.Duration, e event.ObjectsDone, out *event.Batch) {
	f := p.feed(e.Prefix)
	if e.Call.Owner != owner || f == nil || f.seq != e.Call.Seq {
		return
	}
	f.busy = false
	if e.Kind != "" {
		p.retry(now, f, string(kinds.StoreUnavailable), out)
		return
	}
	if e.List.Revision < f.floor {
		p.retry(now, f, "OldAnswer", out)
		return
	}
	f.failures = 0
	p.newest = max(p.newest, e.List.Revision)
	p.takeList(now, f, e, out)
}

func (p *Part) retry(now time.Duration, f *feed, reason string, out *event.Batch) {
	f.next = now + min(firstRetry<<min(f.failures, 8), mostRetry)
	f.failures++
	out.Emit(event.Count{Name: "WatchRetries", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
}

func (p *Part) takeList(now time.Duration, f *feed, e event.ObjectsDone, out *event.Batch) {
	before, wasComplete := f.upTo, f.complete
	changed := f.apply(e.List.Objects)
	if !wasComplete {
		changed = append(changed, f.removeMissing(e.List)...)
	}
	f.complete = true
	f.seen = e.List.Revision
	f.contact = e.SentAt
	f.advance(e.List.Objects)
	p.take(f, changed, out)
	if wasComplete && len(changed) > 0 {
		// All objects since the start: some that are known here by a peer's push may be unknown to the receivers.
		p.push(now, wire.Push{Prefix: f.prefix, After: before, Revision: f.upTo, Objects: f.after(before)}, "", out)
	}
}

// push sends changed objects to every heard host but the one that they came from.
func (p *Part) push(now time.Duration, push wire.Push, from string, out *event.Batch) {
	for _, h := range p.Roster.Alive(now) {
		if h.Name != p.Self.Name && h.Name != from {
			out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Push: &push}})
		}
	}
}

func (p *Part) feed(prefix string) *feed {
	for _, f := range p.feeds {
		if f.prefix == prefix {
			return f
		}
	}
	return nil
}

// OwnContact returns the time of this daemon's last own contact with the store, at which it knew all
// configuration and keys; false before the first one.
func (p *Part) OwnContact() (time.Duration, bool) {
	site, table := p.feed(PrefixConfig), p.feed(keys.Prefix)
	if !p.Complete() || site.seen == 0 || table.seen == 0 {
		return 0, false
	}
	return min(site.contact, table.contact), true
}

// Complete reports whether this daemon knows all objects, read from the store or from a majority of the hosts.
func (p *Part) Complete() bool {
	for _, f := range p.feeds {
		if !f.complete {
			return false
		}
	}
	return len(p.feeds) > 0
}

// Site returns the configuration in force, nil for none.
func (p *Part) Site() *config.Site { return p.site }

// Revisions returns the revision of the configuration in force, 0 for none, and the store's revision
// up to which this daemon knows the keys.
func (p *Part) Revisions() (configuration, keyTable uint64) {
	if p.site != nil {
		configuration = p.site.Revision
	}
	if f := p.feed(keys.Prefix); f != nil {
		keyTable = f.upTo
	}
	return configuration, keyTable
}

// HostsRevision returns the store's revision up to which this daemon knows the hosts.
func (p *Part) HostsRevision() uint64 {
	if f := p.feed(member.Prefix); f != nil {
		return f.upTo
	}
	return 0
}

// Contribute adds the revisions of the known objects to a beat.
func (p *Part) Contribute(_ time.Duration, beat *wire.Beat) {
	beat.ConfigRevision, beat.KeysRevision = p.Revisions()
	beat.Complete = p.Complete()
	beat.HostsRevision = p.HostsRevision()
	if f := p.feed(wire.PrefixRollouts); f != nil {
		beat.RolloutsRevision = f.upTo
	}
}
