package spend

import (
	"cmp"
	"time"
)

// RecentRange records a value over the last MaxAge and returns its extremes. It must not be used concurrently.
type RecentRange[T cmp.Ordered] struct {
	MaxAge time.Duration

	values []timedValue[T]
}

type timedValue[T cmp.Ordered] struct {
	at    time.Duration
	value T
}

// Add records the value from time now on and drops the values that were replaced more than MaxAge ago.
func (r *RecentRange[T]) Add(now time.Duration, value T) {
	r.values = append(r.values, timedValue[T]{at: now, value: value})
	for len(r.values) > 1 && r.values[1].at <= now-r.MaxAge {
		r.values = r.values[1:]
	}
}

// Min returns the minimum in the last period up to now, or false if the recorded values don't reach back that far.
func (r *RecentRange[T]) Min(now, period time.Duration) (T, bool) {
	return r.extreme(now, period, func(a, b T) T { return min(a, b) })
}

// Max returns the maximum in the last period up to now, or false if the recorded values don't reach back that far.
func (r *RecentRange[T]) Max(now, period time.Duration) (T, bool) {
	return r.extreme(now, period, func(a, b T) T { return max(a, b) })
}

func (r *RecentRange[T]) extreme(now, period time.Duration, pick func(a, b T) T) (T, bool) {
	var extreme T
	if len(r.values) == 0 || r.values[0].at > now-period {
		return extreme, false
	}
	extreme = r.values[len(r.values)-1].value
	for i := len(r.values) - 2; i >= 0 && r.values[i+1].at > now-period; i-- {
		extreme = pick(extreme, r.values[i].value)
	}
	return extreme, true
}
