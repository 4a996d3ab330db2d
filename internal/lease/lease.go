// Package lease holds duties under leases in the platform's object API. A duty is a role that at most one host of the
// fleet performs at a time.
package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/reach"
	"github.com/figshift/figshift/internal/wire"
)

// Prefix is the name prefix of the objects that hold Record values as JSON.
const Prefix = "Duty/"

const (
	callOwner       = "lease"
	maxCandidates   = 3 // hosts that compete for one duty in a fully connected fleet; in any fleet, those that read it at once after a release
	retryDelay      = 250 * time.Millisecond
	takeoverStagger = 700 * time.Millisecond // delay of each candidate's takeover after that of the one ranked before it
	startupDelay    = 400 * time.Millisecond // from the first configuration to the first takeover: time for one heartbeat of the other hosts
	releaseDelay    = time.Second            // from StopAsked to the release of the duties that other components still hold
)

// drainOwner identifies this component in DrainBegun and DrainEnded.
const drainOwner = "Lease"

// Membership reports which hosts are alive and which one holds a duty.
type Membership interface {
	// Known returns all known hosts sorted by name, including this one.
	Known() []event.Host
	// Alive returns the hosts that are alive at time now sorted by name, including this one.
	Alive(now time.Duration) []event.Host
	// Holder returns the host whose heartbeats claim a duty and the duty's epoch; "" for none.
	Holder(duty string, now time.Duration) (host string, epoch uint64)
}

// Component is the component of the reducer that acquires, renews and releases leases. Its exported fields are set
// before the first Step.
type Component struct {
	Self       event.Host
	Membership Membership
	Links      reach.Links // nil for links that are never cut

	timing         config.Lease
	meshUpTo       int // maximum number of hosts of a fully connected fleet
	wantedByOwner  map[string][]string
	duties         map[string]*duty
	dutyByCall     map[uint64]string       // name of the duty by sequence number of the call in flight
	processes      map[string]process      // by host
	registrations  map[string]registration // by host
	releasedEpochs map[string]uint64       // epoch of the last announced release, by duty
	hubs           []string
	callSeq        uint64
	started        bool
	startedAt      time.Duration
	lostAt         map[string]time.Duration // when this process last held a duty, by duty
	acquireFrom    time.Duration            // earliest time to acquire duties, 0 before the first configuration
	stopping       bool
	stopAskedAt    time.Duration
	drained        bool
	drainEnded     bool
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start(now)
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.HostsChanged:
		p.hubs = e.Hubs
		p.invalidateRanks()
	case event.PeerReceived:
		if e.Message.Freed != nil {
			p.handleRelease(now, e.Host, *e.Message.Freed, out)
		}
	case event.PeerUp:
		p.recordProcess(e)
	case event.ObjectSeen:
		p.recordRegistration(e.Object)
	case event.ConfigInForce:
		p.configure(now, e.Site)
	case event.WantDuties:
		p.wantedByOwner[e.Owner] = slices.Clone(e.Duties)
	case event.WriteLedger:
		p.writeLedger(now, e, out)
	case event.ReleaseDuty:
		p.release(now, p.duties[e.Duty], out)
	case event.ObjectDone:
		p.objectDone(now, e, out)
	case event.BeatSeen:
		p.observeClaims(now, e)
		p.recordAlive(e)
	case event.ClockGap:
		p.doubt(now, out)
	case event.StopAsked:
		p.stopping = true
		p.stopAskedAt = now
		out.Raise(event.DrainBegun{Owner: drainOwner})
	case event.Drained:
		p.drained = true
	case event.StatusAsked:
		out.Emit(event.StatusPart{Seq: e.Seq, Status: p.status(now)})
	}
}

// doubt has every lease confirmed by a write before the duty is performed again: it may have run out while this host was
// suspended, which its clock does not show.
func (p *Component) doubt(now time.Duration, out *event.Batch) {
	for _, name := range p.dutyNames() {
		if d := p.duties[name]; d.phase != idle {
			d.doubtedAt = now
			p.maintain(now, d, out)
		}
	}
}

func (p *Component) start(now time.Duration) {
	if p.started {
		return
	}
	p.started, p.startedAt = true, now
	p.lostAt = map[string]time.Duration{}
	p.timing = config.Defaults().Lease
	p.meshUpTo = config.Defaults().Trust.MeshUpTo
	p.wantedByOwner = map[string][]string{}
	p.duties = map[string]*duty{}
	p.dutyByCall = map[uint64]string{}
	p.processes = map[string]process{}
	p.registrations = map[string]registration{}
	p.releasedEpochs = map[string]uint64{}
}

func (p *Component) configure(now time.Duration, site *config.Site) {
	p.timing = site.Lease
	p.meshUpTo = site.Trust.MeshUpTo
	if p.acquireFrom == 0 {
		p.acquireFrom = now + startupDelay
	}
}

// invalidateRanks discards the ranks that were computed for the previous set of hosts.
func (p *Component) invalidateRanks() {
	for _, d := range p.duties {
		d.rankValid = false
	}
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	wanted := p.wanted()
	for _, name := range wanted {
		if p.duties[name] == nil {
			p.duties[name] = &duty{name: name}
		}
	}
	for _, name := range p.dutyNames() {
		d := p.duties[name]
		p.expire(now, d, out)
		switch {
		case d.phase == idle && slices.Contains(wanted, name):
			p.tryAcquire(now, d, out)
		case d.phase == idle:
			p.forget(d)
		case d.phase != releasing && (!slices.Contains(wanted, name) || p.releaseDue(now)):
			p.release(now, d, out)
		default:
			p.maintain(now, d, out)
		}
	}
	p.endDrain(out)
}

func (p *Component) releaseDue(now time.Duration) bool {
	return p.stopping && now >= p.stopAskedAt+releaseDelay
}

func (p *Component) forget(d *duty) {
	if !d.callPending {
		delete(p.duties, d.name)
	}
}

// endDrain raises DrainEnded once the requests have ended and no lease is left.
func (p *Component) endDrain(out *event.Batch) {
	if !p.drained || !p.stopping || p.drainEnded {
		return
	}
	for _, d := range p.duties {
		if d.phase != idle {
			return
		}
	}
	p.drainEnded = true
	out.Raise(event.DrainEnded{Owner: drainOwner})
}

func (p *Component) wanted() []string {
	var wanted []string
	for _, duties := range p.wantedByOwner {
		wanted = append(wanted, duties...)
	}
	slices.Sort(wanted)
	return slices.Compact(wanted)
}

func (p *Component) dutyNames() []string {
	names := make([]string, 0, len(p.duties))
	for name := range p.duties {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Holds reports whether this daemon holds a duty at time now. It returns the duty's epoch and the time until which the
// lease counts as held.
func (p *Component) Holds(name string, now time.Duration) (until time.Duration, epoch uint64, ok bool) {
	d := p.duties[name]
	if d == nil || d.phase != holding || now >= d.trustedUntil || d.doubtedAt > 0 {
		return 0, 0, false
	}
	return d.trustedUntil, d.record.Epoch, true
}

// FillBeat adds the duties whose lease this daemon holds to a heartbeat, including those whose release is still being
// written: a candidate that reads the object before the release would wait for the lease to expire.
func (p *Component) FillBeat(now time.Duration, heartbeat *wire.Beat) {
	for _, name := range p.dutyNames() {
		d := p.duties[name]
		if d.phase != idle && now < d.trustedUntil {
			heartbeat.Duties = append(heartbeat.Duties, wire.DutyHeld{Duty: name, Epoch: d.record.Epoch, Version: d.version})
		}
	}
}

func (p *Component) status(now time.Duration) wire.Status {
	var status wire.Status
	for _, name := range p.dutyNames() {
		holder, epoch := p.Membership.Holder(name, now)
		status.Duties = append(status.Duties, wire.DutyStatus{Duty: name, Holder: holder, Epoch: epoch})
	}
	return status
}

func (p *Component) newCall(d *duty) event.ObjectCall {
	p.callSeq++
	d.callPending = true
	d.callSeq = p.callSeq
	p.dutyByCall[p.callSeq] = d.name
	return event.ObjectCall{Owner: callOwner, Seq: p.callSeq}
}

func (p *Component) startRead(d *duty, out *event.Batch) {
	d.pendingWrite = nil
	out.Emit(event.GetObject{Call: p.newCall(d), Name: Prefix + d.name})
}

func (p *Component) objectDone(now time.Duration, e event.ObjectDone, out *event.Batch) {
	if e.Call.Owner != callOwner {
		return
	}
	d := p.duties[p.dutyByCall[e.Call.Seq]]
	delete(p.dutyByCall, e.Call.Seq)
	if d == nil || d.callSeq != e.Call.Seq {
		return
	}
	d.callPending = false
	if d.pendingWrite != nil {
		p.writeDone(now, d, e, out)
		return
	}
	p.readDone(now, d, e, out)
}

func (p *Component) writer() string {
	return fmt.Sprintf("%s%d", p.writerPrefix(), p.callSeq+1)
}

func (p *Component) writerPrefix() string { return p.Self.Name + "/" + p.Self.Incarnation + "/" }
