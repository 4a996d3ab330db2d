package logs_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/logs"
)

// blockedWriter blocks every Write until unblock is closed, like a pipe whose reader has stopped.
type blockedWriter struct {
	mu      sync.Mutex
	out     bytes.Buffer
	unblock chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.String()
}

// Guards against a blocked process when the reader of standard output stops: Write must not block, and dropped lines must
// be counted and reported in the log.
func TestStuckReaderDelaysNothing(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	dropped := 0
	q := &logs.Queue{Out: out, MaxBytes: 1000, Dropped: func(n int) { dropped += n }}
	q.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- q.Run(ctx) }()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 1000 {
			_, _ = fmt.Fprintf(q, "line %03d\n", i)
		}
	}()
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("Write blocked on a stopped reader")
	}
	close(out.unblock)
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	reported, lineCount := 0, 0
	for _, l := range lines {
		var n int
		if _, rest, ok := strings.Cut(l, "Event=LinesDropped Lines="); ok {
			if _, err := fmt.Sscan(rest, &n); err != nil {
				t.Fatal(err)
			}
			reported += n
			continue
		}
		lineCount++
	}
	if dropped == 0 || reported != dropped || lineCount+dropped != 1000 {
		t.Errorf("%d lines written, %d counted as dropped, %d reported as dropped; want 1000 in all", lineCount, dropped, reported)
	}
}

// Guards against a flood of one event that fills the log: its lines are limited, other events are still written, and the
// next line of the event reports how many were suppressed.
func TestFloodIsBounded(t *testing.T) {
	var out bytes.Buffer
	suppressed := map[string]int{}
	x := &logs.Executor{Log: logs.New("info", "h1", &out), Settings: logs.NewSettings("info", 10), Suppressed: func(name string) { suppressed[name]++ }}
	for range 500 {
		x.Do(event.Log{Level: "info", Event: "Flood"})
	}
	x.Do(event.Log{Level: "info", Event: "Other"})
	floods := strings.Count(out.String(), "Event=Flood")
	if floods < 10 || floods > 25 {
		t.Errorf("%d lines of the flood, want the limit for two seconds", floods)
	}
	if !strings.Contains(out.String(), "Event=Other") {
		t.Error("a line of another event was suppressed")
	}
	if diff := cmp.Diff(map[string]int{"Flood": 500 - floods}, suppressed); diff != "" {
		t.Errorf("suppressed (-want +got):\n%s", diff)
	}
	time.Sleep(150 * time.Millisecond) // refills the bucket by one line
	x.Do(event.Log{Level: "info", Event: "Flood"})
	if want := fmt.Sprintf("Held=%d", 500-floods); !strings.Contains(out.String(), want) {
		t.Errorf("the next line does not contain %s", want)
	}
}
