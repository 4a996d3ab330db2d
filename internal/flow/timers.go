package flow

import (
	"container/heap"
	"time"
)

// timer wakes a request. Seq orders timers of the same time.
type timer struct {
	at      time.Duration
	seq     uint64
	request uint64
}

// timers is a heap of timers, first due first. Timers of ended requests stay until they are due.
type timers struct {
	items []timer
	seq   uint64
}

// Len returns the number of timers.
func (t *timers) Len() int { return len(t.items) }

// Less orders by time, then by sequence.
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

// due removes and returns the next timer that is due at time now.
func (t *timers) due(now time.Duration) (uint64, bool) {
	if len(t.items) == 0 || t.items[0].at > now {
		return 0, false
	}
	return heap.Pop(t).(timer).request, true
}
