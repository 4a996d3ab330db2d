package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// probeTimeout is the longest time that an ask waits for the evidence of all hosts.
const probeTimeout = 500 * time.Millisecond

// probes is what this daemon knows of the other hosts, for itself and for those that ask it.
type probes struct {
	contacted   bool
	contact     time.Duration // last answer of the store
	hosts       []string      // all known ones but this
	incarnation map[string]string
	epochs      map[string]uint64 // highest known by duty
	flight      time.Duration
	id          uint64
}

// proof is the evidence that no other host can have taken a lapsed duty over. It rests on a round trip to every
// known host: each says that it had no answer from the store since the lease ended. A host that takes the duty over
// later waits for orders in flight before it decides anything, and the proof is used only that long.
type proof struct {
	id      uint64
	sent    time.Duration
	missing []string
	ok      bool
	waiting []waiting
	known   map[string]string // incarnations when the lease ended
}

func (b *probes) prepare() {
	if b.epochs != nil {
		return
	}
	b.incarnation = map[string]string{}
	b.epochs = map[string]uint64{}
	b.flight = config.Defaults().Lease.OrderFlight
}

// observe takes what the evidence is made of.
func (b *probes) observe(now time.Duration, host string, ev event.Event) {
	b.prepare()
	switch e := ev.(type) {
	case event.ObjectDone:
		b.contactAt(now, e.Kind)
	case event.ObjectsDone:
		b.contactAt(now, e.Kind)
	case event.HostsChanged:
		b.hosts = b.hosts[:0]
		for _, h := range e.Hosts {
			if h.Name != host {
				b.hosts = append(b.hosts, h.Name)
				b.meet(h)
			}
		}
	case event.PeerUp:
		b.incarnation[e.Host] = e.Incarnation
	case event.ConfigInForce:
		b.flight = e.Site.Lease.OrderFlight
	case event.DutyGained:
		b.epochs[e.Duty] = max(b.epochs[e.Duty], e.Epoch)
	case event.BeatSeen:
		for _, d := range e.Beat.Duties {
			b.epochs[d.Duty] = max(b.epochs[d.Duty], d.Epoch)
		}
	}
}

// meet takes the incarnation in a host's object, unless a connection told one before.
func (b *probes) meet(h event.Host) {
	if b.incarnation[h.Name] == "" {
		b.incarnation[h.Name] = h.Incarnation
	}
}

func (b *probes) contactAt(now time.Duration, kind kinds.Kind) {
	switch kind {
	case "", kinds.NotFound, kinds.Conflict:
		b.contacted, b.contact = true, now
	}
}

// reply is what this host can say of a duty.
func (b *probes) reply(now time.Duration, p *wire.Probe) *wire.ProbeReply {
	r := &wire.ProbeReply{ID: p.ID, Duty: p.Duty, Epoch: b.epochs[p.Duty], ContactMS: -1}
	if b.contacted {
		r.ContactMS = (now - b.contact).Milliseconds()
	}
	return r
}

// proven returns until when a rollout's proof holds.
func (b *probes) proven(now time.Duration, r *rollout) (time.Duration, bool) {
	until := r.proof.sent + b.flight
	return until, r.proof.ok && now < until
}

// probe asks all known hosts, and has w wait for what they say.
func (p *Part) probe(now time.Duration, r *rollout, w waiting, out *event.Batch) {
	w.notUntil = now + probeTimeout
	r.proof.waiting = append(r.proof.waiting, w)
	if !r.proof.ok && r.proof.id > 0 && now < r.proof.sent+probeTimeout {
		return
	}
	p.probes.id++
	r.proof.id, r.proof.sent, r.proof.ok = p.probes.id, now, false
	r.proof.missing = slices.Clone(p.probes.hosts)
	for _, h := range r.proof.missing {
		out.Emit(event.SendPeer{Host: h, Message: wire.Message{Probe: &wire.Probe{ID: r.proof.id, Duty: r.duty}}})
	}
	p.settle(now, r, out)
}

// probed answers another host's probe, or takes the answer to an own one.
func (p *Part) probed(now time.Duration, e event.PeerReceived, out *event.Batch) {
	if e.Message.Probe != nil {
		out.Emit(event.SendPeer{Host: e.Host, Message: wire.Message{ProbeReply: p.probes.reply(now, e.Message.Probe)}})
	}
	if reply := e.Message.ProbeReply; reply != nil {
		p.withDuty(reply.Duty, func(r *rollout) { p.evidence(now, r, e, reply, out) })
	}
}

func (p *Part) evidence(now time.Duration, r *rollout, e event.PeerReceived, reply *wire.ProbeReply, out *event.Batch) {
	if !r.lapsed || reply.ID != r.proof.id || r.proof.known[e.Host] != e.Incarnation || reply.Epoch > r.epoch {
		return
	}
	contact := now - time.Duration(reply.ContactMS)*time.Millisecond
	if reply.ContactMS >= 0 && contact > r.until {
		return
	}
	r.proof.missing = slices.DeleteFunc(r.proof.missing, func(h string) bool { return h == e.Host })
	p.settle(now, r, out)
}

// settle lets the waiting asks go on once no host is missing. This host's own contact counts like the others'.
func (p *Part) settle(now time.Duration, r *rollout, out *event.Batch) {
	if len(r.proof.missing) > 0 || (p.probes.contacted && p.probes.contact > r.until) {
		return
	}
	r.proof.ok = true
	all := r.proof.waiting
	r.proof.waiting = nil
	for _, w := range all {
		p.askedLot(now, r, w.to, w.id, w.ask, out)
	}
}

// expireProbes refuses the asks that no evidence came for.
func (p *Part) expireProbes(now time.Duration, r *rollout, out *event.Batch) {
	all := r.proof.waiting
	r.proof.waiting = nil
	for _, w := range all {
		if now < w.notUntil {
			r.proof.waiting = append(r.proof.waiting, w)
			continue
		}
		answer(w.to, w.id, kinds.StoreUnavailable, nil, out)
	}
}

func (p *Part) refuseProbes(r *rollout, out *event.Batch) {
	for _, w := range r.proof.waiting {
		answer(w.to, w.id, kinds.StoreUnavailable, nil, out)
	}
	r.proof.waiting = nil
}
