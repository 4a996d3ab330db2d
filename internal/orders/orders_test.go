package orders_test

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/orders"
	"github.com/figshift/figshift/internal/wire"
)

const leaseDeadline = 5 * time.Second

func TestOrderOutcomes(t *testing.T) {
	cases := map[string]struct {
		answer http.HandlerFunc
		expire int64 // number of the clock reading from which on the lease has expired, 0 for never
		kind   kinds.Kind
		reply  wire.OrderReply
		calls  int64
	}{
		"accepted": {
			answer: func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(wire.OrderReply{Accepted: true, Endpoint: "e1"})
			},
			reply: wire.OrderReply{Accepted: true, Endpoint: "e1"},
			calls: 1,
		},
		"answer cut":      {answer: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, kind: kinds.OutcomeUnknown, calls: 1},
		"no JSON":         {answer: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, kind: kinds.OutcomeUnknown, calls: 1},
		"platform down":   {answer: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, kind: kinds.OutcomeUnknown, calls: 1},
		"expired at once": {expire: 1, kind: kinds.DeadlineExceeded},
		"expired after connecting": {
			answer: func(http.ResponseWriter, *http.Request) {}, expire: 4, kind: kinds.DeadlineExceeded,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var calls, clockReadings atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				c.answer(w, r)
			}))
			defer server.Close()
			done := make(chan event.Event, 1)
			x := &orders.Executor{
				BaseURL: server.URL,
				Now: func() time.Duration {
					if n := clockReadings.Add(1); c.expire > 0 && n >= c.expire {
						return time.Hour
					}
					return 0
				},
				Post: func(ev event.Event) bool { done <- ev; return true },
			}
			order := wire.EndpointOrder{OrderID: "o1", Action: "Start"}
			if !x.Do(event.SendOrder{Seq: 3, Order: order, Before: leaseDeadline}) {
				t.Fatal("Do() = false for an order")
			}
			want := event.OrderSent{Seq: 3, Order: order, Reply: c.reply, Kind: c.kind}
			if diff := cmp.Diff(want, <-done); diff != "" {
				t.Error(diff)
			}
			if calls.Load() != c.calls {
				t.Errorf("%d calls, want %d", calls.Load(), c.calls)
			}
		})
	}
}

func TestUsageIsSentOnceOnARefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	done := make(chan event.Event, 1)
	x := &orders.Executor{
		BaseURL: "http://" + listener.Addr().String(),
		Now:     func() time.Duration { return 0 },
		Post:    func(ev event.Event) bool { done <- ev; return true },
	}
	x.Do(event.SendUsage{Seq: 1, Report: wire.UsageReport{ReportID: "r"}, Before: leaseDeadline})
	want := event.UsageSent{Seq: 1, ReportID: "r", Kind: kinds.DeadlineExceeded}
	if diff := cmp.Diff(event.Event(want), <-done); diff != "" {
		t.Error(diff)
	}
}

// TestReportWithoutAnAnswerEndsInTime guards against waiting too long for the platform: it may execute a call late and not
// answer it, and a report must be repeated well before it is due.
func TestReportWithoutAnAnswerEndsInTime(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	start := time.Now()
	done := make(chan event.Event, 1)
	x := &orders.Executor{
		BaseURL: server.URL, AnswerTimeout: 100 * time.Millisecond,
		Now:  func() time.Duration { return time.Since(start) },
		Post: func(ev event.Event) bool { done <- ev; return true },
	}
	x.Do(event.SendUsage{Seq: 1, Report: wire.UsageReport{ReportID: "r"}, Before: 100 * time.Millisecond})
	want := event.UsageSent{Seq: 1, ReportID: "r", Kind: kinds.OutcomeUnknown}
	if diff := cmp.Diff(event.Event(want), <-done); diff != "" {
		t.Error(diff)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("ended after %s, want about 200 ms", took)
	}
}

// A report that got no answer closed its connection, and a link that held its bytes up delivered it later.
func TestReportWithoutAnAnswerIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ends := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
		ends <- err
	}()
	start := time.Now()
	x := &orders.Executor{
		BaseURL: "http://" + listener.Addr().String(), AnswerTimeout: 100 * time.Millisecond,
		Now:  func() time.Duration { return time.Since(start) },
		Post: func(event.Event) bool { return true },
	}
	x.Do(event.SendUsage{Seq: 1, Report: wire.UsageReport{ReportID: "r"}, Before: 100 * time.Millisecond})
	if err := <-ends; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ends with %v, want a reset", err)
	}
}
