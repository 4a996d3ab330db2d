package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// handleStopAsked drops the builds that are still generating; those being packed or sealed are finished first.
func (p *Component) handleStopAsked(now time.Duration, out *event.Batch) {
	p.stopping = true
	for _, name := range p.names {
		r := p.rollouts[name]
		for _, b := range slices.Clone(r.builds) {
			if b.stage == generating {
				p.dropBuild(r, b, out)
			}
		}
		p.advance(now, r, out)
	}
}

// finishStop releases the duty once every decision is stored.
func (p *Component) finishStop(r *rollout, out *event.Batch) {
	if !r.held || len(r.builds) > 0 || len(r.pending) > 0 {
		return
	}
	if r.dirty {
		r.writeLedger(out)
	}
	if r.storedSeq < r.writeSeq {
		return
	}
	r.held = false
	out.Raise(event.ReleaseDuty{Duty: r.duty})
}
