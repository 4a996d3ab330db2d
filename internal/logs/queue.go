package logs

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// queueBytes bounds the lines that wait for a reader of the log who is slow or has stopped reading.
const queueBytes = 256 << 10

// Queue hands lines on to a writer without ever making its caller wait: what does not fit is dropped and counted. Its
// exported fields are set before use; it may be used concurrently.
type Queue struct {
	Out     io.Writer
	Dropped func(lines int) // called for each loss, nil for none
	Bytes   int             // bound of what waits, 0 takes the default

	mu      sync.Mutex
	lines   [][]byte
	bytes   int
	dropped int
	filled  chan struct{}
}

// Prepare is called once, before the other methods.
func (q *Queue) Prepare() {
	if q.Bytes == 0 {
		q.Bytes = queueBytes
	}
	q.filled = make(chan struct{}, 1)
}

// Write takes one line. It never fails.
func (q *Queue) Write(p []byte) (int, error) {
	q.mu.Lock()
	fits := q.bytes+len(p) <= q.Bytes
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
	case q.filled <- struct{}{}:
	default:
	}
	return len(p), nil
}

// Run writes the lines until ctx ends, then those that wait.
func (q *Queue) Run(ctx context.Context) error {
	for {
		select {
		case <-q.filled:
			q.flush()
		case <-ctx.Done():
			q.flush()
			return nil
		}
	}
}

// flush writes the waiting lines, and how many were dropped before them.
func (q *Queue) flush() {
	q.mu.Lock()
	lines, dropped := q.lines, q.dropped
	q.lines, q.bytes, q.dropped = nil, 0, 0
	q.mu.Unlock()
	if dropped > 0 {
		stamp := time.Now().UTC().Format("2006-01-02T15:04:05.000Z")
		_, _ = fmt.Fprintf(q.Out, "Time=%s Level=warn Event=LinesDropped Lines=%d\n", stamp, dropped) // a failing log has no other log
	}
	for _, line := range lines {
		_, _ = q.Out.Write(line) // as above
	}
}
