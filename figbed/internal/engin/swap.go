package engin

import (
	"net/http"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// States of a swap order.
const (
	swapAccepted = "Accepted"
	swapDone     = "Done"
	swapFailed   = "Failed"
)

// swaps holds the engine's version and its newest order.
type swaps struct {
	engine *Engine

	mu      sync.Mutex
	current uint64
	role    string
	fencing uint64
	order   string
	state   string
	done    map[string]bool
}

func (s *swaps) prepare(e *Engine) {
	s.engine = e
	s.current = e.Version
	s.role = e.Role
	s.done = map[string]bool{}
}

func (s *swaps) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// swapping reports whether an order is being carried out, during which no token is made.
func (s *swaps) swapping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == swapAccepted
}

// take accepts or refuses an order; the same id is carried out once.
func (s *swaps) take(o wire.SwapOrder, refused, fails bool) wire.SwapReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine.ChecksFencing && o.Fencing < s.fencing {
		return wire.SwapReply{Reason: "Stale", Fencing: s.fencing}
	}
	s.fencing = max(s.fencing, o.Fencing)
	if refused {
		return wire.SwapReply{Reason: "Refused", Fencing: s.fencing}
	}
	if s.done[o.OrderID] {
		return wire.SwapReply{Accepted: true, Fencing: s.fencing}
	}
	s.done[o.OrderID] = true
	s.order, s.state = o.OrderID, swapAccepted
	time.AfterFunc(s.engine.SwapTime, func() { s.finish(o, fails) })
	return wire.SwapReply{Accepted: true, Fencing: s.fencing}
}

func (s *swaps) finish(o wire.SwapOrder, fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.order != o.OrderID {
		return
	}
	if fails {
		s.state = swapFailed
		return
	}
	s.state = swapDone
	if o.Role != "" {
		s.role = o.Role
	}
	if o.Version != 0 && o.Version != s.current {
		s.current = o.Version
		s.engine.cache.clear()
	}
}

func (e *Engine) swap(w http.ResponseWriter, r *http.Request) {
	var o wire.SwapOrder
	if !e.read(w, r, &o) {
		return
	}
	refused := e.takes(func(f *Faults) *int { return &f.SwapRefused })
	fails := e.takes(func(f *Faults) *int { return &f.SwapFails })
	reply := e.swaps.take(o, refused, fails)
	if e.takes(func(f *Faults) *int { return &f.SwapLost }) {
		panic(http.ErrAbortHandler)
	}
	answer(w, reply)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := wire.EngineState{
		Endpoint: e.Name, Incarnation: e.Incarnation, Model: e.Model, ChecksFencing: e.ChecksFencing,
	}
	e.mu.Unlock()
	s := &e.swaps
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Version, state.Role, state.Fencing = s.current, s.role, s.fencing
	state.LastOrder, state.LastOrderState = s.order, s.state
	answer(w, state)
}
