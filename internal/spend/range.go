package spend

import (
	"cmp"
	"time"
)

// Range keeps the values of the last Keep and tells their extremes. It must not be used concurrently.
type Range[T cmp.Ordered] struct {
	Keep time.Duration

	values []timed[T]
}

type timed[T cmp.Ordered] struct {
	at    time.Duration
	value T
}

// Add takes the value at time now and drops those that are older than Keep.
func (r *Range[T]) Add(now time.Duration, value T) {
	r.values = append(r.values, timed[T]{at: now, value: value})
	for len(r.values) > 1 && r.values[1].at <= now-r.Keep {
		r.values = r.values[1:]
	}
}

// Least returns the least value since now - since, and false when the values do not reach back so far.
func (r *Range[T]) Least(now, since time.Duration) (T, bool) {
	return r.extreme(now, since, func(a, b T) T { return min(a, b) })
}

// Greatest returns the greatest value since now - since, and false when the values do not reach back so far.
func (r *Range[T]) Greatest(now, since time.Duration) (T, bool) {
	return r.extreme(now, since, func(a, b T) T { return max(a, b) })
}

func (r *Range[T]) extreme(now, since time.Duration, of func(a, b T) T) (T, bool) {
	var best T
	if len(r.values) == 0 || r.values[0].at > now-since {
		return best, false
	}
	best = r.values[len(r.values)-1].value
	for i := len(r.values) - 2; i >= 0 && r.values[i+1].at > now-since; i-- {
		best = of(best, r.values[i].value)
	}
	return best, true
}
