// Package admit orders queued requests and estimates how long they wait.
package admit

import "github.com/figshift/figshift/internal/config"

// Item is a queued request. Pool names the endpoints that can serve it.
type Item[T any] struct {
	Organisation string
	Class        config.Class
	Pool         string
	Cost         int  // estimated tokens, 1 or more
	Front        bool // goes to the head of its flow
	Value        T
}

// Queue orders queued requests. It must not be used concurrently.
type Queue[T comparable] interface {
	// Push adds an item, ahead of the others of its flow when Front is set.
	Push(item Item[T])
	// Pop removes and returns the next item for which fits returns true, false when there is none. Items behind one
	// that does not fit are not considered within the same flow.
	Pop(fits func(Item[T]) bool) (Item[T], bool)
	// Remove removes an item and reports whether it was queued.
	Remove(item Item[T]) bool
	// Evict removes and returns the item to drop in favour of one of the organisation, false when there is none.
	Evict(organisation string) (Item[T], bool)
	// TokensAhead returns the tokens that would be served before an item pushed now.
	TokensAhead(item Item[T]) float64
	// Correct replaces the estimated cost of a popped item by the actual one.
	Correct(item Item[T], cost int)
	// Len returns the number of items of one organisation and of all.
	Len(organisation string) (own, all int)
}

// FIFO is a Queue that serves the items of each pool in the order of arrival. It is the baseline that other queues are
// compared with. It must not be used concurrently.
type FIFO[T comparable] struct{ items []Item[T] }

// Push adds an item at the end, or at the head when Front is set.
func (q *FIFO[T]) Push(item Item[T]) {
	if item.Front {
		q.items = append([]Item[T]{item}, q.items...)
		return
	}
	q.items = append(q.items, item)
}

// Pop returns the oldest item of the first pool whose oldest item fits.
func (q *FIFO[T]) Pop(fits func(Item[T]) bool) (Item[T], bool) {
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

// Remove removes an item and reports whether it was queued.
func (q *FIFO[T]) Remove(item Item[T]) bool {
	for i := range q.items {
		if q.items[i].Value == item.Value {
			q.items = append(q.items[:i], q.items[i+1:]...)
			return true
		}
	}
	return false
}

// Evict returns false: a full queue refuses the new item.
func (q *FIFO[T]) Evict(string) (Item[T], bool) { return Item[T]{}, false }

// TokensAhead returns the tokens of all items of the pool.
func (q *FIFO[T]) TokensAhead(item Item[T]) float64 {
	sum := 0
	for i := range q.items {
		if q.items[i].Pool == item.Pool {
			sum += q.items[i].Cost
		}
	}
	return float64(sum)
}

// Correct does nothing.
func (q *FIFO[T]) Correct(Item[T], int) {}

// Len returns the number of items of one organisation and of all.
func (q *FIFO[T]) Len(organisation string) (own, all int) {
	for i := range q.items {
		if q.items[i].Organisation == organisation {
			own++
		}
	}
	return own, len(q.items)
}
