package flow

import (
	"math"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// waitShare is the fraction of a route's target that a caller's request may wait for endpoints that limit their
	// requests. A request that would wait longer is refused at once, so that its caller can try another host in time.
	waitShare = 0.5
	// defaultMaxWait is that time on a route without a target.
	defaultMaxWait = 200 * time.Millisecond
	// retrySpread is the range by which the time to wait before a retry is varied, so that callers that were refused
	// together do not return together.
	retrySpread = 0.5
	// minLimitRetry is the shortest time to wait before a retry at another host.
	minLimitRetry = 50 * time.Millisecond
)

func markOf(e *route.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

// AddWants implements limit.Backlog: it adds the queued requests and those that were refused because of limits.
func (p *Component) AddWants(now time.Duration, wants map[wire.LeaveMark]float64) {
	accepting := map[string]int{} // number of endpoints by pool
	for id := range wants {
		pool, ok := p.table.PoolOf(id)
		if !ok {
			continue
		}
		if accepting[pool] == 0 {
			for range p.table.Accepting(now, pool) {
				accepting[pool]++
			}
			accepting[pool] = max(1, accepting[pool])
		}
		want := float64(p.queuedByPool[pool])
		if limited := p.limitedByPool[pool]; limited != nil {
			want += limited.PerSecond(now)
		}
		wants[id] += want / float64(accepting[pool])
	}
}

// countLimited counts a request that is refused because of limits.
func (p *Component) countLimited(now time.Duration, pool string) {
	if p.limitedByPool == nil {
		p.limitedByPool = map[string]*limit.Recent{}
	}
	if p.limitedByPool[pool] == nil {
		p.limitedByPool[pool] = &limit.Recent{}
	}
	p.limitedByPool[pool].Add(now, 1)
}

// limitWait estimates how long a new request would wait because all endpoints of its pool limit their requests. It is 0
// while one of them does not, and math.MaxInt64 when this host has no share of any limit.
func (p *Component) limitWait(now time.Duration, r *request) time.Duration {
	left, perSecond, limited := 0.0, 0.0, false
	for e := range p.table.Accepting(now, r.pool) {
		a := p.Limits.Allowance(now, markOf(e), limit.Requests)
		if !a.Limited {
			return 0
		}
		limited = true
		left += math.Floor(max(a.Left, 0))
		perSecond += a.PerSecond
	}
	missing := float64(p.queuedByPool[r.pool]+1) - left
	switch {
	case !limited, missing <= 0:
		return 0
	case perSecond == 0:
		return math.MaxInt64
	default:
		return time.Duration(missing / perSecond * float64(time.Second))
	}
}

// maxLimitWait returns how long a request may wait because of limits. Only callers can go elsewhere.
func (p *Component) maxLimitWait(now time.Duration, r *request) time.Duration {
	switch {
	case r.class != config.Interactive || r.arrived.Own || r.arrived.Sample != nil:
		return r.deadline - now
	case r.route.Target > 0:
		return time.Duration(waitShare * float64(r.route.Target))
	default:
		return defaultMaxWait
	}
}

// limitRetryAfter returns the time after which a request that is refused because of limits may find an endpoint: the time
// that it would have waited here, varied, but no longer than a callers' retry waits anyway.
func (p *Component) limitRetryAfter(now time.Duration, r *request) time.Duration {
	wait := min(max(p.limitWait(now, r), minLimitRetry), minRetryAfter)
	return time.Duration((1 + retrySpread*(p.Random.Float64()*2-1)) * float64(wait))
}
