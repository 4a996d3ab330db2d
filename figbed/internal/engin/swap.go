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

// swapState holds the engine's weight version and role, and the newest swap order.
type swapState struct {
	engine *Engine

	mu            sync.Mutex
	activeVersion uint64
	role          string
	fencing       uint64
	orderID       string
	orderState    string
	acceptedIDs   map[string]bool
}

func (s *swapState) prepare(e *Engine) {
	s.engine = e
	s.activeVersion = e.Version
	s.role = e.Role
	s.acceptedIDs = map[string]bool{}
}

func (s *swapState) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeVersion
}

// inProgress reports whether a swap order is being executed. No token is generated meanwhile.
func (s *swapState) inProgress() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orderState == swapAccepted
}

// accept accepts or refuses an order. An order whose id was accepted before is accepted again, but not executed again.
func (s *swapState) accept(order wire.SwapOrder, refuse, fail bool) wire.SwapReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine.ChecksFencing && order.Fencing < s.fencing {
		return wire.SwapReply{Reason: "Stale", Fencing: s.fencing}
	}
	s.fencing = max(s.fencing, order.Fencing)
	if refuse {
		return wire.SwapReply{Reason: "Refused", Fencing: s.fencing}
	}
	if s.acceptedIDs[order.OrderID] {
		return wire.SwapReply{Accepted: true, Fencing: s.fencing}
	}
	s.acceptedIDs[order.OrderID] = true
	s.orderID, s.orderState = order.OrderID, swapAccepted
	time.AfterFunc(s.engine.SwapTime, func() { s.complete(order, fail) })
	return wire.SwapReply{Accepted: true, Fencing: s.fencing}
}

func (s *swapState) complete(order wire.SwapOrder, fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.orderID != order.OrderID {
		return
	}
	if fail {
		s.orderState = swapFailed
		return
	}
	s.orderState = swapDone
	if order.Role != "" {
		s.role = order.Role
	}
	if order.Version != 0 && order.Version != s.activeVersion {
		s.activeVersion = order.Version
		s.engine.cache.clear()
	}
}

func (e *Engine) swap(w http.ResponseWriter, r *http.Request) {
	var order wire.SwapOrder
	if !e.readJSON(w, r, &order) {
		return
	}
	refuse := e.takeFault(func(f *Faults) *int { return &f.SwapRefused })
	fail := e.takeFault(func(f *Faults) *int { return &f.SwapFails })
	reply := e.swapState.accept(order, refuse, fail)
	if e.takeFault(func(f *Faults) *int { return &f.SwapLost }) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, reply)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	state := wire.EngineState{
		Endpoint: e.Name, Incarnation: e.Incarnation, Model: e.Model, ChecksFencing: e.ChecksFencing,
	}
	e.mu.Unlock()
	s := &e.swapState
	s.mu.Lock()
	defer s.mu.Unlock()
	state.Version, state.Role, state.Fencing = s.activeVersion, s.role, s.fencing
	state.LastOrder, state.LastOrderState = s.orderID, s.orderState
	writeJSON(w, state)
}
