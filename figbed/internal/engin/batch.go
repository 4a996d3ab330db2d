package engin

import (
	"container/heap"
	"context"
	"sync"

	"github.com/figshift/figshift/internal/wire"
)

// job is one attempt in the batch or waiting for it.
type job struct {
	attempt  string
	priority int
	order    uint64
	tokens   int // still to be made
	admitted chan struct{}
	cancel   context.CancelFunc
	index    int
}

type waiting []*job

func (q waiting) Len() int { return len(q) }

func (q waiting) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].order < q[j].order
}

func (q waiting) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waiting) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

func (q *waiting) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	*q = (*q)[:last]
	j.index = -1
	return j
}

// batch is the set of running attempts and the queue before it, ordered by priority, then arrival.
type batch struct {
	maxRunning int
	maxQueue   int

	mu      sync.Mutex
	order   uint64
	running map[*job]bool
	queue   waiting
}

func (b *batch) prepare(maxRunning, maxQueue int) {
	b.maxRunning, b.maxQueue = maxRunning, maxQueue
	b.running = map[*job]bool{}
}

// enter queues j and returns false when the queue is full; j.admitted is closed when it runs.
func (b *batch) enter(j *job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.maxQueue {
		return false
	}
	b.order++
	j.order = b.order
	j.admitted = make(chan struct{})
	heap.Push(&b.queue, j)
	b.admit()
	return true
}

func (b *batch) admit() {
	for len(b.running) < b.maxRunning && len(b.queue) > 0 {
		j := heap.Pop(&b.queue).(*job)
		b.running[j] = true
		close(j.admitted)
	}
}

func (b *batch) leave(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[j] {
		delete(b.running, j)
	} else if j.index >= 0 && j.index < len(b.queue) && b.queue[j.index] == j {
		heap.Remove(&b.queue, j.index)
	}
	b.admit()
}

// made counts n tokens of j as done and returns the number of running attempts.
func (b *batch) made(j *job, n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.tokens -= n
	return len(b.running)
}

func (b *batch) cancel(attempt string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := false
	for _, j := range b.all() {
		if j.attempt == attempt {
			j.cancel()
			found = true
		}
	}
	return found
}

func (b *batch) cutAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.all() {
		j.cancel()
	}
}

func (b *batch) all() []*job {
	all := append([]*job(nil), b.queue...)
	for j := range b.running {
		all = append(all, j)
	}
	return all
}

func (b *batch) load() wire.EndpointLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := wire.EndpointLoad{Running: len(b.running)}
	for j := range b.running {
		load.RunningTokens += j.tokens
	}
	for _, j := range b.queue {
		load.QueuedTokens += j.tokens
	}
	return load
}
