package call

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// A call for a score waited for its whole time at an endpoint that had gone silent. It must end at AnswerBy with a reset, which
// drops what a broken link holds up, and an answer that has begun must not be cut.
func TestSilentAttemptEnds(t *testing.T) {
	const answerBy = 150 * time.Millisecond
	head := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nda"
	answers := func(parts ...string) func(conn *net.TCPConn) error {
		return func(conn *net.TCPConn) error {
			for _, part := range parts {
				if _, err := io.WriteString(conn, part); err != nil {
					return err
				}
				time.Sleep(answerBy * 3 / 2)
			}
			return nil
		}
	}
	cases := map[string]struct {
		answerBy time.Duration
		answer   func(conn *net.TCPConn) error
		want     event.AttemptDone
		reset    bool
	}{
		"no answer":                {answerBy, answers(), event.AttemptDone{Run: kinds.Unknown, Reason: event.ReasonSilent}, true},
		"part of a head":           {answerBy, answers("HTTP/1.1 200"), event.AttemptDone{Run: kinds.Unknown, Reason: event.ReasonSilent}, true},
		"a slow body":              {answerBy, answers(head, "ta"), event.AttemptDone{Run: kinds.Ran, Status: 200, Whole: true, Begun: true}, false},
		"no answer, no such bound": {0, answers(), event.AttemptDone{Run: kinds.Unknown, Reason: event.ReasonStopped}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ends := make(chan error, 1)
			got := attemptWith(t, event.StartAttempt{Idempotent: true, AnswerBy: c.answerBy}, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1<<10))
				if err := c.answer(conn); err != nil {
					ends <- err
					return
				}
				_, err := conn.Read(make([]byte, 1<<10))
				ends <- err
			})
			got.Request, got.Attempt = 0, 0
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
			if c.reset {
				if err := <-ends; !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("the connection ends with %v, want a reset", err)
				}
			}
		})
	}
}

// Calls for scores were made on connections with keep-alive probes, whose end left the call under way.
func TestBriefAttemptsHaveNoProbes(t *testing.T) {
	x := &Executor{Now: func() time.Duration { return 0 }}
	x.Prepare()
	names := map[*conns.Checked]string{x.brief: "brief", x.briefOnce: "brief, single use", x.keepAlive: "kept", x.singleUse: "single use", x.streams: "streams"}
	for name, start := range map[string]event.StartAttempt{
		"brief":             {Brief: true, Idempotent: true},
		"brief, single use": {Brief: true},
		"kept":              {Idempotent: true},
		"single use":        {},
		"streams":           {Identify: true, Idempotent: true},
	} {
		a := &attempt{executor: x, start: start}
		if got := names[a.transport()]; got != name {
			t.Errorf("%+v has connections of kind %q, want %q", start, got, name)
		}
	}
}
