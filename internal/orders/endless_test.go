package orders_test

import (
	"encoding/json"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/orders"
	"github.com/figshift/figshift/internal/wire"
)

// engineProtocol sends orders to engines.
type engineProtocol struct{}

func (engineProtocol) Order(wire.EndpointOrder) orders.Call { return orders.Call{} }
func (engineProtocol) Usage(wire.UsageReport) orders.Call   { return orders.Call{} }
func (engineProtocol) Kind(int) kinds.Kind                  { return kinds.EndpointRefused }

func (engineProtocol) State(e event.SwapEngine) (orders.Call, bool) {
	return orders.Call{Target: "http://" + e.Address + "/state"}, true
}

func (engineProtocol) ReadState(answer []byte) (state orders.EngineState, err error) {
	return state, json.Unmarshal(answer, &state)
}

func (engineProtocol) Swap(e event.SwapEngine, _ orders.EngineState) orders.Call {
	return orders.Call{Target: "http://" + e.Address + "/order"}
}

// An engine stopped within its answer to an order or to the question before it, or sent bytes without end in its place. Such an
// order was neither refused nor carried out for certain, and nothing may wait for the rest.
func TestBrokenAnswersOfEngines(t *testing.T) {
	const ok, more = "HTTP/1.1 200 OK\r\n", "X-More: mmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmmm\r\n"
	cases := map[string]struct {
		state, order string // answers; the last line of one that has no end comes again and again after "..."
		want         kinds.Kind
		orders       int64
	}{
		"sound":                     {ok + "\r\n{}", "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", "", 1},
		"state cut in the head":     {"HTTP/1.1 200 OK\r\nContent-Len", "", kinds.EndpointRefused, 0},
		"state cut in the body":     {ok + "Content-Length: 9\r\n\r\n{}", "", kinds.EndpointRefused, 0},
		"state cut, unframed":       {ok + "\r\n{", "", kinds.EndpointRefused, 0},
		"state without content":     {ok + "\r\n", "", kinds.EndpointRefused, 0},
		"state, endless head":       {ok + "..." + more, "", kinds.EndpointRefused, 0},
		"state, endless body":       {ok + "\r\n{}..." + more, "", kinds.EndpointRefused, 0},
		"state, endless spaces":     {ok + "\r\n{}... ", "HTTP/1.1 202 Accepted\r\n\r\n", "", 1},
		"order cut in status":       {ok + "\r\n{}", "HTTP/1.1 20", kinds.OutcomeUnknown, 1},
		"order cut in the head":     {ok + "\r\n{}", "HTTP/1.1 202 Accepted\r\n", kinds.OutcomeUnknown, 1},
		"order cut in the body":     {ok + "\r\n{}", "HTTP/1.1 202 Accepted\r\nContent-Length: 9\r\n\r\n{}", kinds.OutcomeUnknown, 1},
		"order, endless head":       {ok + "\r\n{}", "HTTP/1.1 202 Accepted\r\n..." + more, kinds.OutcomeUnknown, 1},
		"order, endless interim":    {ok + "\r\n{}", "...HTTP/1.1 103 Hints\r\n" + more + "\r\n", kinds.OutcomeUnknown, 1},
		"order, endless body":       {ok + "\r\n{}", "HTTP/1.1 202 Accepted\r\n\r\n..." + more, "", 1},
		"order refused without end": {ok + "\r\n{}", "HTTP/1.1 409 Conflict\r\n\r\n..." + more, kinds.EndpointRefused, 1},
		"state, status 000":         {"HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}", "", kinds.EndpointRefused, 0},
		"order, status 000":         {ok + "\r\n{}", "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", kinds.OutcomeUnknown, 1},
		"order, status 999":         {ok + "\r\n{}", "HTTP/1.1 999 None\r\nContent-Length: 0\r\n\r\n", kinds.OutcomeUnknown, 1},
		"state, blank in a name":    {ok + "X Name: 1\r\nContent-Length: 2\r\n\r\n{}", "", kinds.EndpointRefused, 0},
		"order, blank in a name":    {ok + "\r\n{}", "HTTP/1.1 202 Accepted\r\nContent-Length : 0\r\n\r\n", kinds.OutcomeUnknown, 1},
		"order, no HTTP":            {ok + "\r\n{}", "garbage\r\n\r\n", kinds.OutcomeUnknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var asked atomic.Int64
			address := brokenEngine(t, &asked, c.state, c.order)
			started, done := time.Now(), make(chan event.Event, 1)
			x := &orders.Executor{
				Protocol: engineProtocol{}, AnswerTimeout: time.Second,
				Now:  func() time.Duration { return time.Since(started) },
				Post: func(ev event.Event) bool { done <- ev; return true },
			}
			x.Do(event.SwapEngine{Endpoint: "e", Address: address, Before: time.Second})
			want := event.EngineSwapped{Endpoint: "e", Kind: c.want}
			if diff := cmp.Diff(event.Event(want), <-done); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if took := time.Since(started); took > 4*time.Second {
				t.Errorf("ended after %v", took)
			}
			if n := asked.Load() - 1; n != c.orders {
				t.Errorf("%d orders were sent, want %d", n, c.orders)
			}
		})
	}
}

// brokenEngine answers its connections with the given answers in order, and closes them. It counts the connections.
func brokenEngine(t *testing.T, asked *atomic.Int64, answers ...string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, answer := range answers {
			conn, err := listener.Accept()
			if err != nil {
				return // the test is over
			}
			asked.Add(1)
			_, _ = conn.Read(make([]byte, 4<<10))
			first, repeated, endless := strings.Cut(answer, "...")
			_, err = io.WriteString(conn, first)
			for endless && err == nil {
				_, err = io.WriteString(conn, repeated)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}
