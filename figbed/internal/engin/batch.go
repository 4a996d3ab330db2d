package engin

import (
	"container/heap"
	"context"
	"sync"

	"github.com/figshift/figshift/internal/wire"
)

// job is an attempt that runs in the batch or waits in the queue.
type job struct {
	attemptID       string
	priority        int
	arrival         uint64 // sequence number
	remainingTokens int    // not generated yet
	admitted        chan struct{}
	cancel          context.CancelFunc
	queueIndex      int
}

// waitQueue is a heap.Interface that orders jobs by descending priority, then by arrival.
type waitQueue []*job

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

func (q *waitQueue) Push(x any) {
	j := x.(*job)
	j.queueIndex = len(*q)
	*q = append(*q, j)
}

func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	j := (*q)[last]
	*q = (*q)[:last]
	j.queueIndex = -1
	return j
}

// batch holds the running jobs and the queue of those that wait. Its methods may be called concurrently after prepare.
type batch struct {
	maxRunning int
	maxQueue   int

	mu       sync.Mutex
	arrivals uint64
	running  map[*job]bool
	queue    waitQueue
}

func (b *batch) prepare(maxRunning, maxQueue int) {
	b.maxRunning, b.maxQueue = maxRunning, maxQueue
	b.running = map[*job]bool{}
}

// enqueue adds j to the queue and returns false when the queue is full. It closes j.admitted once j runs.
func (b *batch) enqueue(j *job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.maxQueue {
		return false
	}
	b.arrivals++
	j.arrival = b.arrivals
	j.admitted = make(chan struct{})
	heap.Push(&b.queue, j)
	b.admitNext()
	return true
}

func (b *batch) admitNext() {
	for len(b.running) < b.maxRunning && len(b.queue) > 0 {
		j := heap.Pop(&b.queue).(*job)
		b.running[j] = true
		close(j.admitted)
	}
}

func (b *batch) remove(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[j] {
		delete(b.running, j)
	} else if j.queueIndex >= 0 && j.queueIndex < len(b.queue) && b.queue[j.queueIndex] == j {
		heap.Remove(&b.queue, j.queueIndex)
	}
	b.admitNext()
}

// recordTokens subtracts n generated tokens from those that j still has to generate and returns the number of running
// jobs.
func (b *batch) recordTokens(j *job, n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	j.remainingTokens -= n
	return len(b.running)
}

func (b *batch) cancel(attemptID string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := false
	for _, j := range b.jobs() {
		if j.attemptID == attemptID {
			j.cancel()
			found = true
		}
	}
	return found
}

func (b *batch) cancelAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, j := range b.jobs() {
		j.cancel()
	}
}

func (b *batch) jobs() []*job {
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
		load.RunningTokens += j.remainingTokens
	}
	for _, j := range b.queue {
		load.QueuedTokens += j.remainingTokens
	}
	return load
}
