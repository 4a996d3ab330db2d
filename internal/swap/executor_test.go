package swap

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// engineStub serves the APIs of an engine and of the weight store.
type engineStub struct {
	mu           sync.Mutex
	state        wire.EngineState
	ordersFail   bool // orders are accepted but not executed
	loseAnswers  bool // answers to orders are lost after the orders took effect
	slotRefusals int  // refused requests before a read slot is granted
	silent       bool // a request for a read slot gets no answer
	orders       []string
}

// ServeHTTP serves the state, orders and read slots.
func (s *engineStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case wire.PathState:
		_ = json.NewEncoder(w).Encode(s.state)
	case wire.PathWeights:
		if s.silent {
			s.mu.Unlock()
			_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed after the body
			<-r.Context().Done()
			s.mu.Lock()
			return
		}
		if s.slotRefusals > 0 {
			s.slotRefusals--
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_ = json.NewEncoder(w).Encode(wire.WeightRead{})
	case wire.PathSwap:
		s.handleOrder(w, r)
	}
}

func (s *engineStub) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.SwapOrder
	_ = json.NewDecoder(r.Body).Decode(&o)
	s.orders = append(s.orders, o.OrderID)
	s.state.LastOrder, s.state.LastOrderState = o.OrderID, "Failed"
	if !s.ordersFail {
		s.state.Version, s.state.LastOrderState = o.Version, "Done"
	}
	if s.loseAnswers {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(wire.SwapReply{Accepted: true})
}

func (s *engineStub) orderCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.orders)
}

func TestSwap(t *testing.T) {
	cases := map[string]struct {
		stub    *engineStub
		before  time.Duration
		version uint64
		kind    kinds.Kind
		orders  int
	}{
		"carried out":             {&engineStub{}, time.Minute, 2, "", 1},
		"has the version already": {&engineStub{state: wire.EngineState{Version: 2}}, time.Minute, 2, "", 0},
		"acknowledged and failed": {&engineStub{state: wire.EngineState{Version: 1}, ordersFail: true}, time.Minute, 1, kinds.EndpointRefused, 1},
		"answer lost":             {&engineStub{loseAnswers: true}, time.Minute, 0, kinds.OutcomeUnknown, 1},
		"waits for a read slot":   {&engineStub{slotRefusals: 2}, time.Minute, 2, "", 1},
		"no read slot":            {&engineStub{slotRefusals: 1000}, time.Minute, 0, kinds.RateLimited, 0},
		"no answer about a slot":  {&engineStub{silent: true}, time.Minute, 0, kinds.RateLimited, 0},
		"lease has ended":         {&engineStub{}, 0, 0, kinds.NotHolder, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.stub)
			defer server.Close()
			done := make(chan event.EngineSwapped, 1)
			x := &Executor{
				PlatformURL: server.URL, Now: func() time.Duration { return time.Second },
				Post: func(ev event.Event) bool {
					done <- ev.(event.EngineSwapped)
					return true
				},
			}
			x.Do(event.SwapEngine{
				OrderID: "o", Endpoint: "e", Address: strings.TrimPrefix(server.URL, "http://"), Version: 2,
				Before: c.before, Timeout: time.Second,
			})
			got := <-done
			if diff := cmp.Diff([]any{c.version, c.kind, c.orders}, []any{got.Version, got.Kind, c.stub.orderCount()}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
