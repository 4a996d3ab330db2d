package swap

import (
	"encoding/json"
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

// engineStub is an engine and the weight store in one.
type engineStub struct {
	mu     sync.Mutex
	state  wire.EngineState
	fails  bool // orders are acknowledged and not carried out
	lost   bool // the answer to an order is lost after it took effect
	slots  int  // refusals before a read slot is given
	orders []string
}

// ServeHTTP answers for the state, orders and read slots.
func (s *engineStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.URL.Path {
	case wire.PathState:
		_ = json.NewEncoder(w).Encode(s.state)
	case wire.PathWeights:
		if s.slots > 0 {
			s.slots--
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_ = json.NewEncoder(w).Encode(wire.WeightRead{})
	case wire.PathSwap:
		s.order(w, r)
	}
}

func (s *engineStub) order(w http.ResponseWriter, r *http.Request) {
	var o wire.SwapOrder
	_ = json.NewDecoder(r.Body).Decode(&o)
	s.orders = append(s.orders, o.OrderID)
	s.state.LastOrder, s.state.LastOrderState = o.OrderID, "Failed"
	if !s.fails {
		s.state.Version, s.state.LastOrderState = o.Version, "Done"
	}
	if s.lost {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(wire.SwapReply{Accepted: true})
}

func (s *engineStub) sent() int {
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
		"acknowledged and failed": {&engineStub{state: wire.EngineState{Version: 1}, fails: true}, time.Minute, 1, kinds.EndpointRefused, 1},
		"answer lost":             {&engineStub{lost: true}, time.Minute, 0, kinds.OutcomeUnknown, 1},
		"waits for a read slot":   {&engineStub{slots: 2}, time.Minute, 2, "", 1},
		"no read slot":            {&engineStub{slots: 1000}, time.Minute, 0, kinds.RateLimited, 0},
		"lease has ended":         {&engineStub{}, 0, 0, kinds.NotHolder, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.stub)
			defer server.Close()
			done := make(chan event.EngineSwapped, 1)
			x := &Engines{
				Platform: server.URL, HTTP: server.Client(), Now: func() time.Duration { return time.Second },
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
			if diff := cmp.Diff([]any{c.version, c.kind, c.orders}, []any{got.Version, got.Kind, c.stub.sent()}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
