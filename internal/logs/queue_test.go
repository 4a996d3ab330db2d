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

// stuck is a log's reader that has stopped reading until it is let go.
type stuck struct {
	mu   sync.Mutex
	out  bytes.Buffer
	gate chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

// Answers the pattern: whoever reads standard output stops. No decision waits for it, the loss is counted and told.
func TestStuckReaderDelaysNothing(t *testing.T) {
	reader := &stuck{gate: make(chan struct{})}
	dropped := 0
	q := &logs.Queue{Out: reader, Bytes: 1000, Dropped: func(n int) { dropped += n }}
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
		t.Fatal("a line waits for the reader")
	}
	close(reader.gate)
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(reader.String()), "\n")
	told, got := 0, 0
	for _, l := range lines {
		var n int
		if _, rest, ok := strings.Cut(l, "Event=LinesDropped Lines="); ok {
			if _, err := fmt.Sscan(rest, &n); err != nil {
				t.Fatal(err)
			}
			told += n
			continue
		}
		got++
	}
	if dropped == 0 || told != dropped || got+dropped != 1000 {
		t.Errorf("%d lines came, %d were counted as dropped, %d told as dropped; want 1000 in all", got, dropped, told)
	}
}

// Answers the pattern: a flood of one event. It gets its budget, other events are written, and what was kept back is
// told by the next line.
func TestFloodIsBounded(t *testing.T) {
	var out bytes.Buffer
	held := map[string]int{}
	x := &logs.Executor{Log: logs.New("info", "h1", &out), Settings: logs.NewSettings("info", 10), Held: func(name string) { held[name]++ }}
	for range 500 {
		x.Do(event.Log{Level: "info", Event: "Flood"})
	}
	x.Do(event.Log{Level: "info", Event: "Other"})
	floods := strings.Count(out.String(), "Event=Flood")
	if floods < 10 || floods > 25 {
		t.Errorf("%d lines of the flood, want the budget of two seconds", floods)
	}
	if !strings.Contains(out.String(), "Event=Other") {
		t.Error("another event was kept back")
	}
	if diff := cmp.Diff(map[string]int{"Flood": 500 - floods}, held); diff != "" {
		t.Errorf("kept back (-want +got):\n%s", diff)
	}
	time.Sleep(150 * time.Millisecond) // one more line's time
	x.Do(event.Log{Level: "info", Event: "Flood"})
	if want := fmt.Sprintf("Held=%d", 500-floods); !strings.Contains(out.String(), want) {
		t.Errorf("the next line does not tell %s", want)
	}
}
