package lease

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

// announceRelease tells the other hosts that this daemon released a duty, so that a successor does not wait for its
// next read.
func (p *Component) announceRelease(now time.Duration, d *duty, out *event.Batch) {
	release := wire.DutyFreed{Duty: d.name, Epoch: d.record.Epoch}
	for _, h := range p.Membership.Alive(now) {
		if h.Name != p.Self.Name {
			out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Freed: &release}})
		}
	}
}

// handleRelease reads a duty's object at once after another host announced its release. A hub forwards the
// announcement.
func (p *Component) handleRelease(now time.Duration, from string, release wire.DutyFreed, out *event.Batch) {
	if release.Epoch <= p.releasedEpochs[release.Duty] {
		return
	}
	p.releasedEpochs[release.Duty] = release.Epoch
	for _, host := range ranks.ForwardTargets(p.Self.Name, p.hubs, event.ZonesOf(p.Membership.Alive(now)), from) {
		out.Emit(event.SendPeer{Host: host, Message: wire.Message{Freed: &release}})
	}
	d := p.duties[release.Duty]
	if d == nil || d.phase != idle || d.known && d.record.Epoch > release.Epoch {
		return
	}
	if rank, _, ok := p.candidateRank(d, now); !ok || rank >= maxCandidates {
		return
	}
	d.known, d.lastReadAt, d.nextCallAt = false, 0, 0
	p.tryAcquire(now, d, out)
}
