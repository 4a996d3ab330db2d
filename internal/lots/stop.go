package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// stop drops what still runs; what is being packed or sealed is finished first.
func (p *Part) stop(now time.Duration, out *event.Batch) {
	p.stopping = true
	for _, name := range p.names {
		r := p.rollouts[name]
		for _, m := range slices.Clone(r.making) {
			if m.stage == generating {
				p.dropMaking(r, m, out)
			}
		}
		p.advance(now, r, out)
	}
}

// finishStop gives the duty up once every decision is stored.
func (p *Part) finishStop(r *rollout, out *event.Batch) {
	if !r.held || len(r.making) > 0 || len(r.waiting) > 0 {
		return
	}
	if r.dirty {
		r.write(out)
	}
	if r.stored < r.seq {
		return
	}
	r.held = false
	out.Raise(event.ReleaseDuty{Duty: r.duty})
}
