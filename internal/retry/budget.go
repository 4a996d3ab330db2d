// Package retry bounds how often and how soon a request is tried again.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	budgetStart = 3.0   // retries that a route has before it has served anything
	budgetMost  = 100.0 // retries that a route can save up
)

// Budget allows retries as a share of the served requests, for each route. It must not be used concurrently.
type Budget struct {
	Share float64

	routes map[string]float64
}

// Served counts a served request of a route.
func (b *Budget) Served(route string) {
	b.set(route, min(b.left(route)+b.Share, budgetMost))
}

// Take uses one retry of a route's budget and reports whether there was one.
func (b *Budget) Take(route string) bool {
	left := b.left(route)
	if left < 1 {
		return false
	}
	b.set(route, left-1)
	return true
}

// Keep forgets the routes for which known returns false.
func (b *Budget) Keep(known func(route string) bool) {
	for r := range b.routes {
		if !known(r) {
			delete(b.routes, r)
		}
	}
}

func (b *Budget) left(route string) float64 {
	if left, ok := b.routes[route]; ok {
		return left
	}
	return budgetStart
}

func (b *Budget) set(route string, left float64) {
	if b.routes == nil {
		b.routes = map[string]float64{}
	}
	b.routes[route] = left
}

// Backoff returns the wait before retry n, counted from 1: a random part of base doubled n-1 times.
func Backoff(random *rand.Rand, base time.Duration, n int) time.Duration {
	const mostDoublings = 10
	ceiling := base << min(max(n-1, 0), mostDoublings)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(ceiling)))
}
