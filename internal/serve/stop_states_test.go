package serve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/gate"
)

const longerThanUnused = 1200 * time.Millisecond // than a connection may stay without a request after the stop

// During a graceful stop, requests were cut off whose bytes were on their way: on a connection that had been made a second
// before, on a kept one, or in two parts.
func TestStopAnswersRequestsUnderWay(t *testing.T) {
	t.Parallel()
	const head, end = "GET /healthz HTTP/1.1\r\nHost: h\r\n", "\r\n"
	const post = "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n"
	cases := map[string]struct {
		before string        // what the caller sends before the stop
		kept   bool          // after a first request on the connection
		idle   time.Duration // from what was sent to the stop
		wait   time.Duration // from the stop to the rest
		after  string
	}{
		"unused connection":                  {idle: longerThanUnused, wait: 200 * time.Millisecond, after: head + end},
		"half a head":                        {before: head, wait: longerThanUnused, after: end},
		"kept connection":                    {kept: true, wait: 20 * time.Millisecond, after: head + end},
		"kept connection, long idle":         {kept: true, idle: longerThanUnused, wait: 20 * time.Millisecond, after: head + end},
		"half a head on a kept connection":   {kept: true, before: head, idle: 20 * time.Millisecond, wait: longerThanUnused, after: end},
		"half a body":                        {before: post + "half", wait: longerThanUnused, after: "half"},
		"half a body on a kept connection":   {kept: true, before: post + "half", wait: longerThanUnused, after: "half"},
		"head just sent":                     {before: head + end},
		"head just sent, kept connection":    {kept: true, before: head + end},
		"head and half of the body together": {after: post + "halfhalf", wait: 40 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, closed := startStopServer(t)
			conn := dialUntilUp(t, s.Address)
			if c.kept {
				if err := callHealth(conn); err != nil {
					t.Fatal(err)
				}
			}
			send(t, conn, c.before)
			time.Sleep(c.idle)
			s.Do(event.StopListening{})
			time.Sleep(c.wait)
			send(t, conn, c.after)
			if err := readOK(conn); err != nil {
				t.Errorf("no answer: %v", err)
			}
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("the listener has not closed")
			}
		})
	}
}

// A graceful stop ends, whatever idle connections callers keep.
func TestStopEndsIdleConnections(t *testing.T) {
	t.Parallel()
	s, closed := startStopServer(t)
	kept, unused := dialUntilUp(t, s.Address), dialUntilUp(t, s.Address)
	if err := callHealth(kept); err != nil {
		t.Fatal(err)
	}
	s.Do(event.StopListening{})
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the listener has not closed")
	}
	for _, conn := range []net.Conn{kept, unused} {
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("end of an idle connection: %v", err)
		}
	}
}

// Connections that waited to be accepted were reset when the process got to them later than backlogTime after the stop.
func TestStopAcceptsAllThatWait(t *testing.T) {
	t.Parallel()
	const callers = 16
	l, err := newStopListener("127.0.0.1:0", &gate.Gate{})
	if err != nil {
		t.Fatal(err)
	}
	for range callers {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * backlogTime) // the process is paused
	accepted := 0
	for {
		conn, err := l.Accept()
		if err != nil {
			break
		}
		accepted++
		_ = conn.Close()
	}
	if diff := cmp.Diff(callers, accepted); diff != "" {
		t.Errorf("accepted connections (-want +got):\n%s", diff)
	}
	<-l.allClosed()
}

// A connection was closed as unused, and so reset, when its request had come and the process had not read it yet.
func TestStopKeepsConnectionsWithUnreadBytes(t *testing.T) {
	t.Parallel()
	l, err := newStopListener("127.0.0.1:0", &gate.Gate{})
	if err != nil {
		t.Fatal(err)
	}
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l.track(conn, http.StateNew)
	send(t, caller, "GET")
	time.Sleep(longerThanUnused)
	for range 2 * newChecks {
		l.endWaiting()
	}
	got := make([]byte, 3)
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != "GET" {
		t.Errorf("read %q, %v", got, err)
	}
	_ = conn.Close()
}

// startStopServer starts a server with an address of its own; closed is closed when its listener has.
func startStopServer(t *testing.T) (s *Server, closed <-chan struct{}) {
	t.Helper()
	done := make(chan struct{})
	s = &Server{
		Address: freeAddress(t),
		Post: func(ev event.Event) bool {
			if _, ok := ev.(event.ListenerClosed); ok {
				close(done)
			}
			return true
		},
		Handlers: map[string]http.Handler{"/echo": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if body, err := io.ReadAll(r.Body); err != nil || string(body) != "halfhalf" {
				http.Error(w, "the body is not whole", http.StatusBadRequest)
			}
		})},
	}
	s.Prepare()
	ctx, exit := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- s.Run(ctx) }()
	t.Cleanup(func() {
		exit()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	})
	return s, done
}

func dialUntilUp(t *testing.T, address string) net.Conn {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		}
	}
	t.Fatal("the listener has not started")
	return nil
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.Copy(conn, strings.NewReader(text)); err != nil {
		t.Errorf("sending: %v", err)
	}
}
