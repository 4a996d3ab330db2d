package flow

import (
	"container/heap"
	"time"
)

// timer is a request's timer. Timers with the same time fire in the order of seq.
type timer struct {
	at      time.Duration
	seq     uint64
	request uint64
}

// timers is a min-heap of timers ordered by time. Timers of ended requests stay until they are due.
type timers struct {
	items []timer
	seq   uint64
}

// Len returns the number of timers.
func (t *timers) Len() int { return len(t.items) }

// Less orders by time, then by sequence number.
func (t *timers) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

// Swap swaps two timers.
func (t *timers) Swap(i, j int) { t.items[i], t.items[j] = t.items[j], t.items[i] }

// Push appends a timer for container/heap.
func (t *timers) Push(x any) { t.items = append(t.items, x.(timer)) }

// Pop removes the last timer for container/heap.
func (t *timers) Pop() any {
	last := t.items[len(t.items)-1]
	t.items = t.items[:len(t.items)-1]
	return last
}

func (t *timers) add(at time.Duration, request uint64) {
	t.seq++
	heap.Push(t, timer{at: at, seq: t.seq, request: request})
}

// popDue removes the next timer that is due at time now and returns its request.
func (t *timers) popDue(now time.Duration) (uint64, bool) {
	if len(t.items) == 0 || t.items[0].at > now {
		return 0, false
	}
	return heap.Pop(t).(timer).request, true
}
