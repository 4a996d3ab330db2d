// Package trust decides whether the keys and the configuration that this daemon knows are recent enough to rely on.
package trust

import (
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// State reports what this daemon knows.
type State interface {
	// Complete reports whether all objects are known.
	Complete() bool
	// Site returns the configuration in force, nil for none.
	Site() *config.Site
	// Revisions returns the revisions of the configuration and of the keys.
	Revisions() (configRevision, keysRevision uint64)
	// HostsRevision returns the store revision up to which the hosts are known.
	HostsRevision() uint64
	// OwnContact returns when this daemon sent its last own call that brought configuration and keys up to date; false for
	// none.
	OwnContact() (time.Duration, bool)
}

// Component keeps the evidence of how recent the known state is. All of its times are on this daemon's own monotonic
// clock and are lower bounds: the time at which a call was sent, or at which the heartbeat that a peer's heartbeat
// echoes was sent. Its exported fields are set before the first Step.
type Component struct {
	Self  string
	State State

	trust         config.Trust
	started       bool
	admittedHosts []string            // names of the admitted hosts
	peers         map[string]evidence // by direct peer
	relayed       map[string]evidence // by host, from the heartbeats of peers
	stopping      bool
	lastReady     event.Ready
}

// evidence is what the last anchored heartbeat of a host proves.
type evidence struct {
	anchor         time.Duration // the host's state was as below at this time or later
	complete       bool
	configRevision uint64
	keysRevision   uint64
	hostsRevision  uint64
	contact        time.Duration // the host knew all changes up to this time
	hasContact     bool
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start(out)
	switch e := ev.(type) {
	case event.Tick:
		p.reportReadiness(now, out)
	case event.ConfigInForce:
		p.trust = e.Site.Trust
	case event.HostsChanged:
		p.recordAdmitted(e.Hosts)
	case event.BeatSeen:
		p.recordHeartbeat(e)
	case event.StopAsked:
		p.stopping = true
		p.reportReadiness(now, out)
	case event.StatusAsked:
		out.Emit(event.StatusPart{Seq: e.Seq, Status: p.status(now)})
	}
}

func (p *Component) start(out *event.Batch) {
	if p.started {
		return
	}
	p.started = true
	p.trust = config.Defaults().Trust
	p.peers = map[string]evidence{}
	p.relayed = map[string]evidence{}
	p.lastReady = event.Ready{Reason: "Starting"}
	out.Emit(p.lastReady)
}

func (p *Component) recordAdmitted(hosts []event.Host) {
	p.admittedHosts = p.admittedHosts[:0]
	for _, h := range hosts {
		if h.Admitted {
			p.admittedHosts = append(p.admittedHosts, h.Name)
		}
	}
}

func (p *Component) recordHeartbeat(e event.BeatSeen) {
	if !e.Anchored || e.Anchor < p.peers[e.Host].anchor {
		return
	}
	p.recordRelayed(e)
	age := time.Duration(e.Beat.EvidenceAgeMS) * time.Millisecond
	p.peers[e.Host] = evidence{
		anchor:         e.Anchor,
		complete:       e.Beat.Complete,
		configRevision: e.Beat.ConfigRevision,
		keysRevision:   e.Beat.KeysRevision,
		hostsRevision:  e.Beat.HostsRevision,
		contact:        e.Anchor - age,
		hasContact:     e.Beat.EvidenceAgeMS >= 0,
	}
}

// Trusted reports whether keys and configuration may be relied on at time now, and until when on the present evidence.
func (p *Component) Trusted(now time.Duration) (until time.Duration, ok bool) {
	since, ok := p.UpToDateAt(now)
	if !ok || p.State.Site() == nil {
		return 0, false
	}
	until = since + p.trust.Bound
	return until, now < until
}

// UpToDateAt returns the latest time at which the known state held every accepted change; false for none.
func (p *Component) UpToDateAt(now time.Duration) (time.Duration, bool) {
	if !p.State.Complete() {
		return 0, false
	}
	contact, hasContact := p.StoreContact()
	agreed, hasAgreed := p.majorityAgreedAt(now)
	if !hasContact {
		return agreed, hasAgreed
	}
	if !hasAgreed {
		return contact, true
	}
	return max(contact, agreed), true
}

// StoreContact returns the latest time up to which this daemon knew all changes in the store, by its own contact or a
// peer's; false for none. A peer that knows a higher revision proves nothing until this daemon knows it too.
func (p *Component) StoreContact() (time.Duration, bool) {
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

func (p *Component) covers(e evidence) bool {
	configRevision, keysRevision := p.State.Revisions()
	return e.complete && e.configRevision <= configRevision && e.keysRevision <= keysRevision && e.hostsRevision <= p.State.HostsRevision()
}

// majorityAgreedAt returns the latest time at which a majority of the admitted hosts knew no higher revision; false for
// none. An accepted change was acknowledged by a majority, and any two majorities share a host.
func (p *Component) majorityAgreedAt(now time.Duration) (time.Duration, bool) {
	neededOthers := len(p.admittedHosts)/2 + 1
	if slices.Contains(p.admittedHosts, p.Self) {
		neededOthers--
	}
	if neededOthers == 0 {
		return now, true
	}
	var anchors []time.Duration
	for _, host := range p.admittedHosts {
		if anchor, ok := p.agreedAt(host); ok {
			anchors = append(anchors, anchor)
		}
	}
	if len(anchors) < neededOthers {
		return 0, false
	}
	slices.Sort(anchors)
	return anchors[len(anchors)-neededOthers], true
}

// Reachable reports whether this daemon or a peer had contact with the store less than Trust.Bound ago.
func (p *Component) Reachable(now time.Duration) bool {
	contact, ok := p.StoreContact()
	return ok && now-contact < p.trust.Bound
}

func (p *Component) reportReadiness(now time.Duration, out *event.Batch) {
	ready := event.Ready{Reason: p.notReadyReason(now)}
	ready.Ready = ready.Reason == ""
	if ready == p.lastReady {
		return
	}
	p.lastReady = ready
	out.Emit(ready)
	out.Emit(event.Log{Level: "info", Event: "Readiness", Fields: []event.Field{
		{Key: "Reason", Value: ready.Reason},
		{Key: "Admitted", Value: strings.Join(p.admittedHosts, ",")},
		{Key: "Agreeing", Value: strings.Join(p.agreeingHosts(now), ",")},
	}})
}

// agreeingHosts returns the admitted hosts that are known to have had no higher revision less than Trust.Bound ago.
func (p *Component) agreeingHosts(now time.Duration) []string {
	var names []string
	for _, host := range p.admittedHosts {
		if at, ok := p.agreedAt(host); ok && now-at < p.trust.Bound {
			names = append(names, host)
		}
	}
	return names
}

// notReadyReason returns why the daemon is not ready, "" when it is.
func (p *Component) notReadyReason(now time.Duration) string {
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

// FillBeat adds the evidence and the readiness to a heartbeat.
func (p *Component) FillBeat(now time.Duration, heartbeat *wire.Beat) {
	heartbeat.EvidenceAgeMS = ageMS(now, p.StoreContact)
	heartbeat.OwnContactMS = ageMS(now, p.State.OwnContact)
	heartbeat.Ready = p.lastReady.Ready
	heartbeat.Heard = p.relayedAges(now)
}

// ageMS returns the age of a contact in milliseconds, rounded up; -1 for none.
func ageMS(now time.Duration, contact func() (time.Duration, bool)) int64 {
	at, ok := contact()
	if !ok {
		return -1
	}
	return int64((now - at + time.Millisecond - 1) / time.Millisecond)
}

func (p *Component) status(now time.Duration) wire.Status {
	configRevision, keysRevision := p.State.Revisions()
	return wire.Status{
		Ready:          p.lastReady.Ready,
		Reason:         p.lastReady.Reason,
		ConfigRevision: configRevision,
		KeysRevision:   keysRevision,
		EvidenceAgeMS:  ageMS(now, func() (time.Duration, bool) { return p.UpToDateAt(now) }),
	}
}
