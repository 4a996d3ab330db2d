package flow

import (
	"time"

	"github.com/figshift/figshift/internal/admit"
)

// Factors by which the estimated queue wait and run time are raised, since the actual value exceeds a mean half of the
// time.
const (
	waitMargin = 1.2
	runMargin  = 1.25
)

// throughput returns the measured throughput of the request's pool for its class.
func (p *Component) throughput(r *request) *admit.Throughput {
	key := r.pool + "/" + string(r.class)
	t, ok := p.throughputs[key]
	if !ok {
		t = &admit.Throughput{}
		p.throughputs[key] = t
	}
	return t
}

// queueWait estimates how long the request would wait for the tokens queued ahead of it, 0 while the throughput is
// unknown.
func (p *Component) queueWait(now time.Duration, r *request) time.Duration {
	if p.site == nil {
		return 0
	}
	slots := p.table.Slots(now, r.pool, p.site.Limits.ConcurrencyPerNode)
	return p.throughput(r).EstimateWait(now, p.Queue.TokensAhead(r.item), slots)
}

// missesDeadline reports whether a request that starts after the given wait is expected to miss its deadline.
func (p *Component) missesDeadline(now time.Duration, r *request, wait time.Duration) bool {
	return now+scaleDuration(wait, waitMargin)+scaleDuration(p.estimateRun(now, r), runMargin) > r.deadline
}

// estimateRun estimates how long an attempt takes, 0 while that is unknown.
func (p *Component) estimateRun(now time.Duration, r *request) time.Duration {
	if r.generation {
		return p.throughput(r).EstimateRun(now, r.item.Cost)
	}
	return p.throughput(r).MeanRun(now) // what the size of a call's body says of its run isn't known
}

// cannotFinishInTime reports whether a request is expected to miss its deadline even if it started now. It is false
// for a request that already had an attempt, since part of its answer may have been received.
func (p *Component) cannotFinishInTime(now time.Duration, r *request) bool {
	return r.attempts == 0 && p.missesDeadline(now, r, 0)
}

func scaleDuration(d time.Duration, margin float64) time.Duration {
	return time.Duration(margin * float64(d))
}
