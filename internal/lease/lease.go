// Package lease holds this daemon's duties by leases in the platform's object API.
package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// Prefix is the prefix of the objects that hold Record values as JSON.
const Prefix = "Duty/"

const (
	owner      = "lease"
	candidates = 3 // hosts that compete for one duty
	retryAfter = 250 * time.Millisecond
	stagger    = 700 * time.Millisecond // between the attempts of the candidates of one duty
	settle     = 400 * time.Millisecond // between the first configuration and the first attempt: one beat of the others
	handOver   = time.Second            // between StopAsked and the release of what the parts still hold
)

// drainOwner names this part in the graceful stop.
const drainOwner = "Lease"

// Roster tells which hosts are alive and who holds a duty.
type Roster interface {
	// Known returns all known hosts sorted by name, this one among them.
	Known() []event.Host
	// Alive returns the hosts that are heard at time now sorted by name, this one among them.
	Alive(now time.Duration) []event.Host
	// Holder returns the host whose beats claim a duty, "" for none.
	Holder(duty string, now time.Duration) (host string, epoch uint64)
}

// Part is the share of the reducer that holds leases. Its exported fields are set before the first Step.
type Part struct {
	Self   event.Host
	Roster Roster

	timing     config.Lease
	meshUpTo   int                 // hosts up to which all hear all
	wants      map[string][]string // by owner
	duties     map[string]*duty
	calls      map[uint64]string       // duty of each call under way
	running    map[string]process      // by host
	registered map[string]registration // by host
	freed      map[string]uint64       // epoch of the last release that was heard, by duty
	hubs       []string
	seq        uint64
	started    bool
	readyAt    time.Duration // 0 before the first configuration
	stopping   bool
	stopAt     time.Duration
	drained    bool
	exited     bool
}

// Step applies one event.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start()
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.HostsChanged:
		p.hubs = e.Hubs
		p.rankAnew()
	case event.PeerReceived:
		if e.Message.Freed != nil {
			p.hearFreed(now, e.Host, *e.Message.Freed, out)
		}
	case event.PeerUp:
		p.noteProcess(e)
	case event.ObjectSeen:
		p.noteRegistration(e.Object)
	case event.ConfigInForce:
		p.configure(now, e.Site)
	case event.WantDuties:
		p.wants[e.Owner] = slices.Clone(e.Duties)
	case event.WriteLedger:
		p.writeLedger(now, e, out)
	case event.ReleaseDuty:
		p.release(now, p.duties[e.Duty], out)
	case event.ObjectDone:
		p.objectDone(now, e, out)
	case event.BeatSeen:
		p.hear(now, e)
		p.noteAlive(e)
	case event.StopAsked:
		p.stopping = true
		p.stopAt = now
		out.Raise(event.DrainBegun{Owner: drainOwner})
	case event.Drained:
		p.drained = true
	case event.StatusAsked:
		out.Emit(event.StatusPart{Seq: e.Seq, Status: p.status(now)})
	}
}

func (p *Part) start() {
	if p.started {
		return
	}
	p.started = true
	p.timing = config.Defaults().Lease
	p.meshUpTo = config.Defaults().Trust.MeshUpTo
	p.wants = map[string][]string{}
	p.duties = map[string]*duty{}
	p.calls = map[uint64]string{}
	p.running = map[string]process{}
	p.registered = map[string]registration{}
	p.freed = map[string]uint64{}
}

func (p *Part) configure(now time.Duration, site *config.Site) {
	p.timing = site.Lease
	p.meshUpTo = site.Trust.MeshUpTo
	if p.readyAt == 0 {
		p.readyAt = now + settle
	}
}

// rankAnew forgets the places that were worked out for the former hosts.
func (p *Part) rankAnew() {
	for _, d := range p.duties {
		d.ranked = false
	}
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	wanted := p.wanted()
	for _, name := range wanted {
		if p.duties[name] == nil {
			p.duties[name] = &duty{name: name}
		}
	}
	for _, name := range p.names() {
		d := p.duties[name]
		p.expire(now, d, out)
		switch {
		case d.phase == idle && slices.Contains(wanted, name):
			p.compete(now, d, out)
		case d.phase == idle:
			p.forget(d)
		case d.phase != releasing && (!slices.Contains(wanted, name) || p.handsOver(now)):
			p.release(now, d, out)
		default:
			p.keep(now, d, out)
		}
	}
	p.exit(out)
}

func (p *Part) handsOver(now time.Duration) bool { return p.stopping && now >= p.stopAt+handOver }

func (p *Part) forget(d *duty) {
	if !d.busy {
		delete(p.duties, d.name)
	}
}

// exit tells that the leases need the process no more, when the requests have ended and no lease is left.
func (p *Part) exit(out *event.Batch) {
	if !p.drained || !p.stopping || p.exited {
		return
	}
	for _, d := range p.duties {
		if d.phase != idle {
			return
		}
	}
	p.exited = true
	out.Raise(event.DrainEnded{Owner: drainOwner})
}

func (p *Part) wanted() []string {
	var wanted []string
	for _, duties := range p.wants {
		wanted = append(wanted, duties...)
	}
	slices.Sort(wanted)
	return slices.Compact(wanted)
}

func (p *Part) names() []string {
	names := make([]string, 0, len(p.duties))
	for name := range p.duties {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Holds reports whether this daemon holds a duty at time now, until when its lease is trusted, and its epoch.
func (p *Part) Holds(name string, now time.Duration) (until time.Duration, epoch uint64, ok bool) {
	d := p.duties[name]
	if d == nil || d.phase != holding || now >= d.until {
		return 0, 0, false
	}
	return d.until, d.record.Epoch, true
}

// Contribute adds the duties whose lease is this daemon's to a beat, also while a release is being written: a
// candidate that read the object before the release would wait for the lease to expire.
func (p *Part) Contribute(now time.Duration, beat *wire.Beat) {
	for _, name := range p.names() {
		d := p.duties[name]
		if d.phase != idle && now < d.until {
			beat.Duties = append(beat.Duties, wire.DutyHeld{Duty: name, Epoch: d.record.Epoch, Version: d.version})
		}
	}
}

func (p *Part) status(now time.Duration) wire.Status {
	var status wire.Status
	for _, name := range p.names() {
		holder, epoch := p.Roster.Holder(name, now)
		status.Duties = append(status.Duties, wire.DutyStatus{Duty: name, Holder: holder, Epoch: epoch})
	}
	return status
}

func (p *Part) call(d *duty) event.ObjectCall {
	p.seq++
	d.busy = true
	d.seq = p.seq
	p.calls[p.seq] = d.name
	return event.ObjectCall{Owner: owner, Seq: p.seq}
}

func (p *Part) read(d *duty, out *event.Batch) {
	d.writing = nil
	out.Emit(event.GetObject{Call: p.call(d), Name: Prefix + d.name})
}

func (p *Part) objectDone(now time.Duration, e event.ObjectDone, out *event.Batch) {
	if e.Call.Owner != owner {
		return
	}
	d := p.duties[p.calls[e.Call.Seq]]
	delete(p.calls, e.Call.Seq)
	if d == nil || d.seq != e.Call.Seq {
		return
	}
	d.busy = false
	if d.writing != nil {
		p.writeDone(now, d, e, out)
		return
	}
	p.readDone(now, d, e, out)
}

func (p *Part) writer() string {
	return fmt.Sprintf("%s%d", p.writerPrefix(), p.seq+1)
}

func (p *Part) writerPrefix() string { return p.Self.Name + "/" + p.Self.Incarnation + "/" }
