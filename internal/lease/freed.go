package lease

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

// tellFreed tells the other hosts of a duty that was released here, so that a successor does not wait for its next read.
func (p *Part) tellFreed(now time.Duration, d *duty, out *event.Batch) {
	freed := wire.DutyFreed{Duty: d.name, Epoch: d.record.Epoch}
	for _, h := range p.Roster.Alive(now) {
		if h.Name != p.Self.Name {
			out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Freed: &freed}})
		}
	}
}

// hearFreed has a duty read at once that another host has released, and passes the word on as a hub.
func (p *Part) hearFreed(now time.Duration, from string, freed wire.DutyFreed, out *event.Batch) {
	if freed.Epoch <= p.freed[freed.Duty] {
		return
	}
	p.freed[freed.Duty] = freed.Epoch
	for _, host := range ranks.PassOn(p.Self.Name, p.hubs, event.ZonesOf(p.Roster.Alive(now)), from) {
		out.Emit(event.SendPeer{Host: host, Message: wire.Message{Freed: &freed}})
	}
	d := p.duties[freed.Duty]
	if d == nil || d.phase != idle || d.known && d.record.Epoch > freed.Epoch {
		return
	}
	if rank, _, ok := p.candidate(d, now); !ok || rank >= candidates {
		return
	}
	d.known, d.readAt, d.next = false, 0, 0
	p.compete(now, d, out)
}
