// Package orders sends to the platform what only the holder of a duty may send: endpoint orders and usage reports.
package orders

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	answerTimeout = 5 * time.Second // where no other time is set
	maxAnswer     = 64 << 10
)

// errTooLate says that a write was held back because its lease had run out.
var errTooLate = errors.New("the deadline of the lease has passed")

// Executor sends each order and report once, on a connection of its own, so that no library repeats it.
// Its fields are set before use.
type Executor struct {
	Base     string   // URL of the platform
	Protocol Protocol // nil takes the project's own
	Now      func() time.Duration
	Post     func(event.Event) bool
	// AnswerWithin is the time that an answer may take after the last moment for sending; 0 for the default.
	AnswerWithin time.Duration
}

// Call is what is sent for an order or a report: a JSON body by POST. Target is a path at Base or a whole URL.
type Call struct {
	Target string
	Header http.Header
	Body   any
}

// Protocol tells how the platform takes orders and reports. Its methods are pure.
type Protocol interface {
	// Order returns the call for an endpoint order.
	Order(order wire.EndpointOrder) Call
	// Usage returns the call for a usage report.
	Usage(report wire.UsageReport) Call
	// State returns the call that reads an engine's state; false when this executor sends no orders to engines.
	State(order event.SwapEngine) (Call, bool)
	// ReadState returns an engine's state from its answer.
	ReadState(answer []byte) (State, error)
	// Swap returns the call that orders an engine in that state to load a version.
	Swap(order event.SwapEngine, state State) Call
	// Kind returns the kind of an answer with a status other than 2xx.
	Kind(status int) kinds.Kind
}

// State is what an engine tells of its orders.
type State struct {
	Busy     bool   // an order is being carried out
	Accepted uint64 // orders accepted since the engine's start
}

// own is the project's own protocol.
type own struct{}

// Order returns the order as it is.
func (own) Order(order wire.EndpointOrder) Call { return Call{Target: wire.PathOrder, Body: order} }

// Usage returns the report as it is.
func (own) Usage(report wire.UsageReport) Call { return Call{Target: wire.PathUsage, Body: report} }

// State leaves the orders to the engines' own executor.
func (own) State(event.SwapEngine) (Call, bool) { return Call{}, false }

// ReadState is not called.
func (own) ReadState([]byte) (State, error) { return State{}, nil }

// Swap is not called.
func (own) Swap(event.SwapEngine, State) Call { return Call{} }

// Kind tells nothing: the order may have taken effect.
func (own) Kind(int) kinds.Kind { return kinds.OutcomeUnknown }

func (x *Executor) protocol() Protocol {
	if x.Protocol == nil {
		return own{}
	}
	return x.Protocol
}

// Do starts a SendOrder or SendUsage and reports whether the effect was one. It does not block.
func (x *Executor) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.SendOrder:
		go x.order(e)
		return true
	case event.SendUsage:
		go x.usage(e)
		return true
	case event.SwapEngine:
		call, ok := x.protocol().State(e)
		if ok {
			go x.swap(e, call)
		}
		return ok
	}
	return false
}

// swap reads an engine's state and sends the order that fits it: the engine refuses it when another came in between.
func (x *Executor) swap(e event.SwapEngine, read Call) {
	state, err := x.state(read, e.Before)
	if err == nil && state.Busy {
		err = kinds.New(kinds.EndpointRefused, "%s carries out another order", e.Endpoint)
	}
	if err == nil {
		err = x.send(x.protocol().Swap(e, state), nil, e.Before)
	}
	x.Post(event.EngineSwapped{Duty: e.Duty, Epoch: e.Epoch, OrderID: e.OrderID, Endpoint: e.Endpoint, Version: e.Version, Kind: kinds.From(err)})
}

// state reads an engine's state. Its error has kind EndpointRefused, since nothing was ordered.
func (x *Executor) state(read Call, before time.Duration) (State, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(before-x.Now(), 0))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, read.Target, nil)
	if err != nil {
		return State{}, kinds.New(kinds.Internal, "%v", err)
	}
	maps.Copy(request.Header, read.Header)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return State{}, kinds.New(kinds.EndpointRefused, "%s: %v", read.Target, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil || response.StatusCode != http.StatusOK {
		return State{}, kinds.New(kinds.EndpointRefused, "%s: status %d, %v", read.Target, response.StatusCode, err)
	}
	state, err := x.protocol().ReadState(text)
	if err != nil {
		return state, kinds.New(kinds.EndpointRefused, "%s: %v", read.Target, err)
	}
	return state, nil
}

func (x *Executor) order(e event.SendOrder) {
	var reply wire.OrderReply
	err := x.send(x.protocol().Order(e.Order), &reply, e.Before)
	x.Post(event.OrderSent{Seq: e.Seq, Order: e.Order, Reply: reply, Kind: kinds.From(err)})
}

func (x *Executor) usage(e event.SendUsage) {
	err := x.send(x.protocol().Usage(e.Report), nil, e.Before)
	x.Post(event.UsageSent{Seq: e.Seq, ReportID: e.Report.ReportID, Kind: kinds.From(err)})
}

// send posts a value and decodes the answer. Its error has kind DeadlineExceeded when no byte was written and
// OutcomeUnknown when the value may have taken effect.
func (x *Executor) send(call Call, answer any, before time.Duration) error {
	body, err := json.Marshal(call.Body)
	if err != nil {
		return kinds.New(kinds.Internal, "%v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(before-x.Now(), 0)+cmp.Or(x.AnswerWithin, answerTimeout))
	defer cancel()
	target := call.Target
	if strings.HasPrefix(target, "/") {
		target = x.Base + target
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return kinds.New(kinds.Internal, "%v", err)
	}
	maps.Copy(request.Header, call.Header)
	request.Header.Set("Content-Type", "application/json")
	guard := &guard{now: x.Now, before: before}
	transport := &http.Transport{DialContext: guard.dial, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return guard.failed(call.Target, err)
	}
	defer func() { _ = response.Body.Close() }()
	return x.decode(call.Target, response, answer)
}

func (x *Executor) decode(path string, response *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if response.StatusCode/100 != 2 {
		return kinds.New(x.protocol().Kind(response.StatusCode), "%s: status %d", path, response.StatusCode)
	}
	if err != nil {
		return kinds.New(kinds.OutcomeUnknown, "%s: status %d, %v", path, response.StatusCode, err)
	}
	if answer == nil || len(text) == 0 {
		return nil
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return kinds.New(kinds.OutcomeUnknown, "%s: %v", path, err)
	}
	return nil
}

// guard dials one connection whose writes end at a monotonic deadline.
type guard struct {
	now    func() time.Duration
	before time.Duration
	conn   *guardedConn
}

func (g *guard) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: max(g.before-g.now(), time.Nanosecond)}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(g.before - g.now())); err != nil {
		_ = conn.Close()
		return nil, err
	}
	g.conn = &guardedConn{Conn: conn, guard: g}
	return g.conn, nil
}

func (g *guard) failed(path string, err error) error {
	if g.conn == nil || !g.conn.wrote.Load() {
		return kinds.New(kinds.DeadlineExceeded, "%s: nothing was sent: %v", path, err)
	}
	return kinds.New(kinds.OutcomeUnknown, "%s: %v", path, err)
}
