// Package trust decides whether the known keys and configuration may be relied on.
package trust

import (
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// State tells what this daemon knows.
type State interface {
	// Complete reports whether all objects are known.
	Complete() bool
	// Site returns the configuration in force, nil for none.
	Site() *config.Site
	// Revisions returns the revisions of the configuration and of the keys.
	Revisions() (configuration, keyTable uint64)
	// HostsRevision returns the store's revision up to which the hosts are known.
	HostsRevision() uint64
	// OwnContact returns the sending time of the last own call that brought configuration and keys up to date.
	OwnContact() (time.Duration, bool)
}

// Part keeps the evidence. All of its times are on this daemon's own monotonic clock and are lower bounds: that of
// a call's sending, and that of the sending of the beat that a peer's beat answers.
// Its exported fields are set before the first Step.
type Part struct {
	Self  string
	State State

	trust    config.Trust
	started  bool
	hosts    []string            // admitted
	peers    map[string]evidence // of direct peers
	relayed  map[string]evidence // of all hosts, from the peers' beats
	stopping bool
	ready    event.Ready
}

// evidence is what a peer's last anchored beat proves.
type evidence struct {
	anchor     time.Duration // the peer's state was as below at this time or later
	complete   bool
	site, keys uint64 // revisions
	hosts      uint64
	contact    time.Duration // the peer knew all changes up to this time
	hasContact bool
}

// Step applies one event.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start(out)
	switch e := ev.(type) {
	case event.Tick:
		p.report(now, out)
	case event.ConfigInForce:
		p.trust = e.Site.Trust
	case event.HostsChanged:
		p.takeHosts(e.Hosts)
	case event.BeatSeen:
		p.takeBeat(e)
	case event.StopAsked:
		p.stopping = true
		p.report(now, out)
	case event.StatusAsked:
		out.Emit(event.StatusPart{Seq: e.Seq, Status: p.status(now)})
	}
}

func (p *Part) start(out *event.Batch) {
	if p.started {
		return
	}
	p.started = true
	p.trust = config.Defaults().Trust
	p.peers = map[string]evidence{}
	p.relayed = map[string]evidence{}
	p.ready = event.Ready{Reason: "Starting"}
	out.Emit(p.ready)
}

func (p *Part) takeHosts(hosts []event.Host) {
	p.hosts = p.hosts[:0]
	for _, h := range hosts {
		if h.Admitted {
			p.hosts = append(p.hosts, h.Name)
		}
	}
}

func (p *Part) takeBeat(e event.BeatSeen) {
	if !e.Anchored || e.Anchor < p.peers[e.Host].anchor {
		return
	}
	p.takeHeard(e)
	age := time.Duration(e.Beat.EvidenceAgeMS) * time.Millisecond
	p.peers[e.Host] = evidence{
		anchor:     e.Anchor,
		complete:   e.Beat.Complete,
		site:       e.Beat.ConfigRevision,
		keys:       e.Beat.KeysRevision,
		hosts:      e.Beat.HostsRevision,
		contact:    e.Anchor - age,
		hasContact: e.Beat.EvidenceAgeMS >= 0,
	}
}

// Trusted reports whether keys and configuration may be relied on at time now, and until when on the present evidence.
func (p *Part) Trusted(now time.Duration) (until time.Duration, ok bool) {
	since, ok := p.Since(now)
	if !ok || p.State.Site() == nil {
		return 0, false
	}
	until = since + p.trust.Bound
	return until, now < until
}

// Since returns the latest time at which the known state held every accepted change; false for none.
func (p *Part) Since(now time.Duration) (time.Duration, bool) {
	if !p.State.Complete() {
		return 0, false
	}
	contact, hasContact := p.Contact()
	agreed, hasAgreed := p.agreed(now)
	if !hasContact {
		return agreed, hasAgreed
	}
	if !hasAgreed {
		return contact, true
	}
	return max(contact, agreed), true
}

// Contact returns the latest time up to which this daemon knew all changes in the store, by its own contact or a
// peer's; false for none. A peer that knows a higher revision proves nothing until this daemon knows it too.
func (p *Part) Contact() (time.Duration, bool) {
	latest, ok := p.State.OwnContact()
	for _, e := range p.peers {
		if !e.hasContact || !p.covers(e) {
			continue
		}
		if !ok || e.contact > latest {
			latest, ok = e.contact, true
		}
	}
	return latest, ok
}

func (p *Part) covers(e evidence) bool {
	site, table := p.State.Revisions()
	return e.complete && e.site <= site && e.keys <= table && e.hosts <= p.State.HostsRevision()
}

// agreed returns the latest time at which a majority of the admitted hosts knew no higher revision. An accepted change
// was acknowledged by a majority, and any two majorities share a host.
func (p *Part) agreed(now time.Duration) (time.Duration, bool) {
	others := len(p.hosts)/2 + 1
	if slices.Contains(p.hosts, p.Self) {
		others--
	}
	if others == 0 {
		return now, true
	}
	var anchors []time.Duration
	for _, host := range p.hosts {
		if anchor, ok := p.heardAt(host); ok {
			anchors = append(anchors, anchor)
		}
	}
	if len(anchors) < others {
		return 0, false
	}
	slices.Sort(anchors)
	return anchors[len(anchors)-others], true
}

// Reachable reports whether there was contact with the store within the bound, by this daemon or a peer.
func (p *Part) Reachable(now time.Duration) bool {
	contact, ok := p.Contact()
	return ok && now-contact < p.trust.Bound
}

func (p *Part) report(now time.Duration, out *event.Batch) {
	ready := event.Ready{Reason: p.reason(now)}
	ready.Ready = ready.Reason == ""
	if ready == p.ready {
		return
	}
	p.ready = ready
	out.Emit(ready)
	out.Emit(event.Log{Level: "info", Event: "Readiness", Fields: []event.Field{
		{Key: "Reason", Value: ready.Reason},
		{Key: "Admitted", Value: strings.Join(p.hosts, ",")},
		{Key: "Agreeing", Value: strings.Join(p.agreeing(now), ",")},
	}})
}

// agreeing returns the admitted hosts that are known to have had no higher revision within the bound.
func (p *Part) agreeing(now time.Duration) []string {
	var names []string
	for _, host := range p.hosts {
		if at, ok := p.heardAt(host); ok && now-at < p.trust.Bound {
			names = append(names, host)
		}
	}
	return names
}

// reason returns why the daemon is not ready, "" when it is.
func (p *Part) reason(now time.Duration) string {
	if p.stopping {
		return "Stopping"
	}
	if p.State.Site() == nil {
		return "NoConfiguration"
	}
	if _, ok := p.Trusted(now); !ok {
		return "AuthorityStale"
	}
	return ""
}

// Contribute adds the evidence to a beat.
func (p *Part) Contribute(now time.Duration, beat *wire.Beat) {
	beat.EvidenceAgeMS = ageMS(now, p.Contact)
	beat.OwnContactMS = ageMS(now, p.State.OwnContact)
	beat.Ready = p.ready.Ready
	beat.Heard = p.heard(now)
}

// ageMS returns the age of a contact in milliseconds, rounded up; -1 for none.
func ageMS(now time.Duration, contact func() (time.Duration, bool)) int64 {
	at, ok := contact()
	if !ok {
		return -1
	}
	return int64((now - at + time.Millisecond - 1) / time.Millisecond)
}

func (p *Part) status(now time.Duration) wire.Status {
	site, table := p.State.Revisions()
	return wire.Status{
		Ready:          p.ready.Ready,
		Reason:         p.ready.Reason,
		ConfigRevision: site,
		KeysRevision:   table,
		EvidenceAgeMS:  ageMS(now, func() (time.Duration, bool) { return p.Since(now) }),
	}
}
