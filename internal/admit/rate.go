package admit

import "time"

const (
	rateBucket = 2 * time.Second
	rateFirst  = 500 * time.Millisecond // bucket while no rate is known
	rateKeep   = 0.7                    // part of the former rate that is kept at the end of a bucket
)

// Rate measures how fast a pool drains while requests wait for it. It must not be used concurrently.
type Rate struct {
	Since time.Duration // start of the first bucket

	perSecond float64
	tokens    float64
	idle      bool

	least     time.Duration // shortest run of the last whole bucket, 0 for none
	leastNext time.Duration // of the present one
}

// Took counts the time of one whole answer, from its first byte sent.
func (r *Rate) Took(d time.Duration) {
	if r.leastNext == 0 || d < r.leastNext {
		r.leastNext = d
	}
}

// Least returns the shortest time that a whole answer took lately, 0 when none is known.
func (r *Rate) Least() time.Duration {
	if r.least == 0 || r.leastNext == 0 {
		return 0
	}
	return min(r.least, r.leastNext)
}

// Done counts tokens that were served.
func (r *Rate) Done(tokens int) { r.tokens += float64(tokens) }

// Tick ends a bucket when it is over. Waiting says whether requests wait now: a bucket in which at some time
// none waited shows only what was asked for, and can raise a known rate but not lower it.
func (r *Rate) Tick(now time.Duration, waiting bool) {
	r.idle = r.idle || !waiting
	span := now - r.Since
	if span < r.bucket() {
		return
	}
	measured := r.tokens / span.Seconds()
	switch {
	case r.idle:
		r.raise(measured)
	case r.perSecond == 0:
		r.perSecond = measured
	default:
		r.perSecond = rateKeep*r.perSecond + (1-rateKeep)*measured
	}
	r.tokens, r.Since, r.idle = 0, now, false
	r.least, r.leastNext = r.leastNext, 0
}

func (r *Rate) bucket() time.Duration {
	if r.perSecond == 0 {
		return rateFirst
	}
	return rateBucket
}

func (r *Rate) raise(measured float64) {
	if r.perSecond > 0 {
		r.perSecond = max(r.perSecond, measured)
	}
}

// Wait returns how long tokens take to drain, 0 while no rate is known.
func (r *Rate) Wait(tokens float64) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(tokens / r.perSecond * float64(time.Second))
}
