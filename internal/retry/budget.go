// Package retry limits how often and how soon requests are retried.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	initialRetries  = 3.0   // retries that a route has before its first served request
	maxSavedRetries = 100.0 // maximum number of retries that a route can accumulate
)

// Budget limits the retries of each route to a share of its served requests. It must not be used concurrently.
type Budget struct {
	Share float64 // retries added for each served request

	available map[string]float64 // remaining retries by route
}

// Served counts a served request of a route.
func (b *Budget) Served(route string) {
	b.set(route, min(b.remaining(route)+b.Share, maxSavedRetries))
}

// Take uses up one retry of a route and reports whether one was left.
func (b *Budget) Take(route string) bool {
	remaining := b.remaining(route)
	if remaining < 1 {
		return false
	}
	b.set(route, remaining-1)
	return true
}

// Retain drops the budgets of the routes for which known returns false.
func (b *Budget) Retain(known func(route string) bool) {
	for r := range b.available {
		if !known(r) {
			delete(b.available, r)
		}
	}
}

func (b *Budget) remaining(route string) float64 {
	if remaining, ok := b.available[route]; ok {
		return remaining
	}
	return initialRetries
}

func (b *Budget) set(route string, remaining float64) {
	if b.available == nil {
		b.available = map[string]float64{}
	}
	b.available[route] = remaining
}

// Backoff returns the time to wait before retry n, counted from 1: a random duration of 0 or more and
// less than base doubled n-1 times, but at most 10 times. It returns 0 when base is not positive.
func Backoff(random *rand.Rand, base time.Duration, n int) time.Duration {
	const maxDoublings = 10
	ceiling := base << min(max(n-1, 0), maxDoublings)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(ceiling)))
}
