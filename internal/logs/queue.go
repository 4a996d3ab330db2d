package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// defaultQueueBytes bounds the lines that wait while the reader of the log is slow or has stopped reading.
const defaultQueueBytes = 256 << 10

// Queue is a buffered writer that never blocks its caller: lines that do not fit are dropped and counted. Its exported
// fields are set before use; it may be used concurrently.
type Queue struct {
	Out      io.Writer
	Dropped  func(lines int) // called for each dropped line, may be nil
	MaxBytes int             // limit of queued bytes, 0 for the default of 256 KiB

	mu      sync.Mutex
	lines   [][]byte
	bytes   int
	dropped int
	wake    chan struct{}
}

// Prepare is called once, before the other methods.
func (q *Queue) Prepare() {
	if q.MaxBytes == 0 {
		q.MaxBytes = defaultQueueBytes
	}
	q.wake = make(chan struct{}, 1)
}

// Write queues one line, or drops it when the queue is full. It never fails.
func (q *Queue) Write(p []byte) (int, error) {
	q.mu.Lock()
	fits := q.bytes+len(p) <= q.MaxBytes
	if fits {
		q.lines = append(q.lines, append([]byte(nil), p...))
		q.bytes += len(p)
	} else {
		q.dropped++
	}
	q.mu.Unlock()
	if !fits && q.Dropped != nil {
		q.Dropped(1)
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Run writes the queued lines to Out until ctx ends, then the rest of them.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case <-q.wake:
			q.flush()
		case <-ctx.Done():
			q.flush()
			return nil
		}
	}
}

// flush writes the number of dropped lines, if any, and then the queued lines.
func (q *Queue) flush() {
	q.mu.Lock()
	lines, dropped := q.lines, q.dropped
	q.lines, q.bytes, q.dropped = nil, 0, 0
	q.mu.Unlock()
	if dropped > 0 {
		stamp := time.Now().UTC().Format("2006-01-02T15:04:05.000Z")
		_, _ = fmt.Fprintf(q.Out, "Time=%s Level=warn Event=LinesDropped Lines=%d\n", stamp, dropped) // there is nowhere to report a failing log
	}
	for _, line := range lines {
		_, _ = q.Out.Write(line) // as above
	}
}
