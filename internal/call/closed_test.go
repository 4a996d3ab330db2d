package call

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// A connection that the endpoint closes or resets must be told from one that ends for another reason.
func TestClosedConnections(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	cases := map[string]struct {
		answer string
		then   func(conn *net.TCPConn)
		want   event.AttemptDone
	}{
		"closed before an answer": {"", func(conn *net.TCPConn) { _ = conn.Close() }, event.AttemptDone{Reason: event.ReasonBroken, Run: kinds.Unknown, Closed: true}},
		"reset before an answer": {"", func(conn *net.TCPConn) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}, event.AttemptDone{Reason: event.ReasonBroken, Run: kinds.Unknown, Closed: true}},
		"closed in the body": {head + "wh", func(conn *net.TCPConn) { _ = conn.Close() }, event.AttemptDone{Reason: event.ReasonCut, Run: kinds.Unknown, Closed: true}},
		"no answer in time":  {"", func(*net.TCPConn) {}, event.AttemptDone{Reason: event.ReasonStopped, Run: kinds.Unknown}},
		"whole":              {head + "whole", func(conn *net.TCPConn) { _ = conn.Close() }, event.AttemptDone{Run: kinds.Ran}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := attemptAgainst(t, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, _ = io.WriteString(conn, c.answer)
				c.then(conn)
			})
			if diff := cmp.Diff(c.want, event.AttemptDone{Reason: got.Reason, Run: got.Run, Closed: got.Closed}); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}

// An attempt that was given up closed its connection, and a link that held its bytes up delivered them later.
func TestAttemptThatIsGivenUpIsReset(t *testing.T) {
	for name, idempotent := range map[string]bool{"kept connections": true, "single use": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ends := make(chan error, 1)
			attemptWith(t, event.StartAttempt{Idempotent: idempotent}, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 1<<10))
				_, err := conn.Read(make([]byte, 1<<10))
				ends <- err
			})
			if err := <-ends; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection ends with %v, want a reset", err)
			}
		})
	}
}

// attemptAgainst sends a request to an endpoint that handles its connections with serve, and returns the report.
func attemptAgainst(t *testing.T, serve func(conn *net.TCPConn)) event.AttemptDone {
	t.Helper()
	return attemptWith(t, event.StartAttempt{Idempotent: true}, serve)
}

// attemptWith makes an attempt of a kind.
func attemptWith(t *testing.T, start event.StartAttempt, serve func(conn *net.TCPConn)) event.AttemptDone {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(conn.(*net.TCPConn))
		}
	}()
	started := time.Now()
	reports := make(chan event.AttemptDone, 1)
	x := &Executor{Now: func() time.Duration { return time.Since(started) }}
	x.Post = func(ev event.Event) bool {
		switch e := ev.(type) {
		case event.AttemptConnected:
			x.Do(event.SendAttempt{Request: 1, Attempt: 1, Before: time.Minute})
		case event.AttemptDone:
			reports <- e
		}
		return true
	}
	x.Prepare()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go func() { _ = x.Run(ctx) }()
	e := &Exchange{Request: 1, Method: http.MethodPost, Target: "/", Header: http.Header{}, Body: []byte("x"), Sink: discardSink{}}
	x.Open(e)
	go e.Run(context.Background(), x, func() {})
	start.Request, start.Attempt, start.Address, start.Deadline = 1, 1, listener.Addr().String(), 700*time.Millisecond
	x.Do(start)
	select {
	case report := <-reports:
		return report
	case <-time.After(5 * time.Second):
		t.Fatal("no report")
		return event.AttemptDone{}
	}
}

// discardSink is a Sink that discards the response.
type discardSink struct{}

func (discardSink) Head(int, http.Header) error { return nil }
func (discardSink) Body([]byte) error           { return nil }
func (discardSink) Trailer(http.Header)         {}
func (discardSink) Segment(wire.Segment) error  { return nil }
func (discardSink) Interrupt()                  {}
