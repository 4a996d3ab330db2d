package flow

import (
	"time"

	"github.com/figshift/figshift/internal/admit"
)

// Margins by which the estimates of the wait and of the run are raised, since a mean is exceeded half of the time.
const (
	waitMargin = 1.2
	runMargin  = 1.25
)

// pace returns how fast the request's pool works for its class.
func (p *Part) pace(r *request) *admit.Pace {
	key := r.pool + "/" + string(r.class)
	pace, ok := p.paces[key]
	if !ok {
		pace = &admit.Pace{}
		p.paces[key] = pace
	}
	return pace
}

// wait returns how long the request would wait behind the tokens that go before it, 0 while that is not known.
func (p *Part) wait(now time.Duration, r *request) time.Duration {
	if p.site == nil {
		return 0
	}
	slots := p.table.Slots(now, r.pool, p.site.Limits.ConcurrencyPerNode)
	return p.pace(r).Wait(now, p.Queue.Ahead(r.item), slots)
}

// late reports whether a request that waits for so long would miss its deadline.
func (p *Part) late(now time.Duration, r *request, wait time.Duration) bool {
	run := p.pace(r).Run(now, r.item.Cost)
	return now+stretch(wait, waitMargin)+stretch(run, runMargin) > r.deadline
}

// hopeless reports whether a request would miss its deadline even if it started now. One that was tried may hold
// part of an answer and goes on.
func (p *Part) hopeless(now time.Duration, r *request) bool { return r.tries == 0 && p.late(now, r, 0) }

func stretch(d time.Duration, margin float64) time.Duration {
	return time.Duration(margin * float64(d))
}
