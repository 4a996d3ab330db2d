package items

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

// meteredEngine is an engine that counts what it gets. The first item's stream goes on until endFirst is closed.
type meteredEngine struct {
	endFirst, answerSecond chan struct{}

	mu                       sync.Mutex
	questions, items, closed int
}

func (e *meteredEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/who" {
		if e.count(&e.questions) == 2 {
			<-e.answerSecond
		}
		_, _ = io.WriteString(w, "1") // the connection may be closed
		return
	}
	first := e.count(&e.items) == 1
	w.Header().Set("Content-Type", eventStreamType)
	_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	_ = http.NewResponseController(w).Flush()
	if first {
		<-e.endFirst
	}
}

func (e *meteredEngine) count(n *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n++
	return *n
}

func (e *meteredEngine) got() (questions, items, closed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.questions, e.items, e.closed
}

// An item took its question back when it got a kept connection, while the connection that the transport had dialed for it asked
// that question all the same: the engine got a request more than was counted against its limit.
func TestQuestionOfAConnectionDialedAheadIsCounted(t *testing.T) {
	cases := map[string]struct {
		holdDial      bool // until the item has ended; otherwise the answer to the question is held
		wantQuestions int
	}{
		"asked before the kept connection came": {false, 2},
		"connected after the item had ended":    {true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			engine := &meteredEngine{endFirst: make(chan struct{}), answerSecond: make(chan struct{})}
			server := httptest.NewUnstartedServer(engine)
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					engine.count(&engine.closed)
				}
			}
			server.Start()
			defer server.Close()
			dials := make(chan struct{}, 10)
			dialer := net.Dialer{Timeout: 10 * time.Second, Control: func(string, string, syscall.RawConn) error {
				dials <- struct{}{}
				if c.holdDial && len(dials) == 2 {
					<-engine.answerSecond
				}
				return nil
			}}
			x, _, _ := newExecutor(t)
			transport := conns.IdentifyingTransport(&dialer, &conns.Identity{Path: "/who", Parse: func(body []byte) (string, error) { return string(body), nil }}, 4, time.Minute)
			defer transport.CloseIdleConnections()
			x.Identified = transport
			meter := newMeter(x)
			first := startItem(x, meter, server.Listener.Addr().String())
			waitFor(t, "the first item", func() bool { _, items, _ := engine.got(); return items == 1 })
			second := startItem(x, meter, server.Listener.Addr().String())
			waitFor(t, "the second connection", func() bool {
				questions, _, _ := engine.got()
				return len(dials) == 2 && (c.holdDial || questions == 2)
			})
			close(engine.endFirst)
			<-first
			<-second
			close(engine.answerSecond)
			waitFor(t, "the end of the second connection's dial", func() bool {
				questions, _, closed := engine.got()
				return questions == 2 || closed == 1
			})
			questions, items, _ := engine.got()
			if questions != c.wantQuestions || items != 2 {
				t.Errorf("the engine got %d questions and %d items, want %d and 2", questions, items, c.wantQuestions)
			}
			if counted := meter.counted(); counted != questions+items {
				t.Errorf("%d requests are counted against the limit, the engine got %d", counted, questions+items)
			}
		})
	}
}

// A transport that needed several new connections for an item asked as many questions, of which one was counted.
func TestEveryQuestionOfAnItemIsCounted(t *testing.T) {
	for dials := range 4 {
		engine := &meteredEngine{answerSecond: make(chan struct{})}
		close(engine.answerSecond)
		server := httptest.NewServer(engine)
		identity := conns.Identity{Path: "/who", Parse: func(body []byte) (string, error) { return string(body), nil }}
		x, _, _ := newExecutor(t)
		x.Identified = roundTripper(func(req *http.Request) (*http.Response, error) {
			trace := httptrace.ContextClientTrace(req.Context())
			kept, other := net.Pipe()
			defer func() { _, _ = kept.Close(), other.Close() }()
			trace.GotConn(httptrace.GotConnInfo{Conn: &conns.Identified{Conn: kept, Incarnation: "1"}, Reused: true})
			for range dials {
				conn, err := identity.Dial(req.Context(), func(context.Context) (net.Conn, error) { return net.Dial("tcp", server.Listener.Addr().String()) })
				if err != nil {
					return nil, err
				}
				defer func() { _ = conn.Close() }()
				trace.GotConn(httptrace.GotConnInfo{Conn: conn})
			}
			w := httptest.NewRecorder()
			w.WriteHeader(http.StatusUnprocessableEntity)
			return w.Result(), nil
		})
		meter := newMeter(x)
		<-startItem(x, meter, "")
		server.Close()
		if counted := meter.counted(); counted != 1+dials {
			t.Errorf("%d new connections: %d requests are counted against the limit, the engine got %d", dials, counted, 1+dials)
		}
	}
}

// meter counts what is charged against the limit of the engine.
type meter struct {
	mu        sync.Mutex
	component limit.Component
}

var meteredMark = wire.LeaveMark{Endpoint: "e", Incarnation: "1"}

func newMeter(x *Executor) *meter {
	m := &meter{}
	m.step(limit.Answered(meteredMark, 0, "1"))
	x.Post = func(ev event.Event) bool { m.step(ev); return true }
	return m
}

func (m *meter) step(ev event.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.component.Step(0, ev, &event.Batch{})
}

// counted returns the number of requests that are counted. No time passes, so that nothing is refilled.
func (m *meter) counted() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 - int(m.component.Allowance(0, meteredMark, limit.Items).Left)
}

// startItem runs an item as the reducer orders it: charged with the question for the incarnation.
func startItem(x *Executor, m *meter, address string) (ended chan struct{}) {
	m.mu.Lock()
	m.component.Take(0, meteredMark, limit.Items, 1)
	m.component.Take(0, meteredMark, limit.Polls, 1)
	m.mu.Unlock()
	ended = make(chan struct{})
	j := &jobState{job: wire.Job{Items: []wire.JobItem{{ID: "i", Path: "/p"}}}, texts: []*itemText{{}}}
	run := event.RunItem{Endpoint: "e", Incarnation: "1", Address: address, Identify: true, Charged: true, Deadline: time.Minute}
	go func() {
		defer close(ended)
		x.runRequest(context.Background(), j, run, j.texts[0], "", func() {})
	}()
	return ended
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5 s: %s", what)
		}
	}
}
