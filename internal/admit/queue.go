// Package admit orders the waiting requests.
package admit

import "github.com/figshift/figshift/internal/config"

// Item is one waiting request. Pool names the endpoints that can serve it.
type Item[T any] struct {
	Organisation string
	Class        config.Class
	Pool         string
	Cost         int // estimated tokens, 1 or more
	Front        bool
	Value        T
}

// Queue orders waiting requests. It must not be used concurrently.
type Queue[T comparable] interface {
	// Push adds an item, before the others of its flow when Front is set.
	Push(item Item[T])
	// Pop removes and returns the next item for which fits returns true; items behind one of the same flow
	// that does not fit wait.
	Pop(fits func(Item[T]) bool) (Item[T], bool)
	// Remove removes an item and reports whether it was there.
	Remove(item Item[T]) bool
	// Evict removes and returns the item that should make room for one of the organisation, if any.
	Evict(organisation string) (Item[T], bool)
	// Ahead returns the tokens that an item pushed now would wait for.
	Ahead(item Item[T]) float64
	// Correct replaces the estimated cost of a popped item by the true one.
	Correct(item Item[T], cost int)
	// Len returns the number of items of one organisation and of all.
	Len(organisation string) (own, all int)
}

// Fifo serves the items of each pool in the order of their arrival; it is the baseline.
type Fifo[T comparable] struct{ items []Item[T] }

// Push appends an item.
func (q *Fifo[T]) Push(item Item[T]) {
	if item.Front {
		q.items = append([]Item[T]{item}, q.items...)
		return
	}
	q.items = append(q.items, item)
}

// Pop returns the oldest item of the first pool whose oldest item fits.
func (q *Fifo[T]) Pop(fits func(Item[T]) bool) (Item[T], bool) {
	blocked := map[string]bool{}
	for i, item := range q.items {
		if blocked[item.Pool] {
			continue
		}
		if fits(item) {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return item, true
		}
		blocked[item.Pool] = true
	}
	return Item[T]{}, false
}

// Remove removes an item.
func (q *Fifo[T]) Remove(item Item[T]) bool {
	for i := range q.items {
		if q.items[i].Value == item.Value {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Evict returns false: a full queue refuses the newcomer.
func (q *Fifo[T]) Evict(string) (Item[T], bool) { return Item[T]{}, false }

// Ahead returns the tokens of all items of the pool.
func (q *Fifo[T]) Ahead(item Item[T]) float64 {
	sum := 0
	for i := range q.items {
		if q.items[i].Pool == item.Pool {
			sum += q.items[i].Cost
		}
	}
	return float64(sum)
}

// Correct does nothing.
func (q *Fifo[T]) Correct(Item[T], int) {}

// Len returns the number of items of one organisation and of all.
func (q *Fifo[T]) Len(organisation string) (own, all int) {
	for i := range q.items {
		if q.items[i].Organisation == organisation {
			own++
		}
	}
	return own, len(q.items)
}
