// Package orders sends the requests to the platform that only the holder of a duty may send: endpoint orders and usage
// reports. With a Protocol that supports it, it also sends orders to engines.
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

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	defaultAnswerTimeout = 5 * time.Second
	maxAnswerSize        = 64 << 10 // bytes
)

// errLeaseExpired is returned for a write that was refused because its lease has expired.
var errLeaseExpired = errors.New("the deadline of the lease has passed")

// Executor sends each order and report at most once: each has its own connection, so that the HTTP transport never retries
// it. Its fields are set before use.
type Executor struct {
	BaseURL  string   // of the platform
	Protocol Protocol // nil for the default protocol
	Now      func() time.Duration
	Post     func(event.Event) bool
	// AnswerTimeout is the time that an answer may take after the deadline for sending, 0 for the default of 5 s.
	AnswerTimeout time.Duration
	// Answered returns what the head of an engine's answer tells of the engine; nil when engines don't tell. A head that isn't the
	// engine's tells nothing, and ok is then false.
	Answered func(engine wire.LeaveMark, sent time.Duration, resp *http.Response) (answered event.EndpointAnswered, ok bool)
}

// Call is the request for an order or a report: a POST with a JSON body. Target is a path at BaseURL or a complete URL.
type Call struct {
	Target string
	Header http.Header
	Body   any
}

// Protocol defines the platform's format of orders, reports and their answers. Its methods are pure functions.
type Protocol interface {
	// Order returns the call for an endpoint order.
	Order(order wire.EndpointOrder) Call
	// Usage returns the call for a usage report.
	Usage(report wire.UsageReport) Call
	// State returns the call that reads an engine's state, false if this executor sends no orders to engines.
	State(order event.SwapEngine) (Call, bool)
	// ReadState decodes an engine's state from its answer.
	ReadState(answer []byte) (EngineState, error)
	// Swap returns the call that orders an engine, which is in the given state, to load a version.
	Swap(order event.SwapEngine, state EngineState) Call
	// Kind returns the kind of error for an answer with a status other than 2xx.
	Kind(status int) kinds.Kind
}

// EngineState is the state of orders that an engine reports.
type EngineState struct {
	Busy     bool   // an order is in progress
	Accepted uint64 // number of orders accepted since the engine started
}

// defaultProtocol is the project's own protocol, which is used if none is set.
type defaultProtocol struct{}

// Order sends the order unchanged to wire.PathOrder.
func (defaultProtocol) Order(order wire.EndpointOrder) Call {
	return Call{Target: wire.PathOrder, Body: order}
}

// Usage sends the report unchanged to wire.PathUsage.
func (defaultProtocol) Usage(report wire.UsageReport) Call {
	return Call{Target: wire.PathUsage, Body: report}
}

// State returns false: package swap sends the orders to engines.
func (defaultProtocol) State(event.SwapEngine) (Call, bool) { return Call{}, false }

// ReadState is not called.
func (defaultProtocol) ReadState([]byte) (EngineState, error) { return EngineState{}, nil }

// Swap is not called.
func (defaultProtocol) Swap(event.SwapEngine, EngineState) Call { return Call{} }

// Kind returns OutcomeUnknown for every status, since the order may have taken effect.
func (defaultProtocol) Kind(int) kinds.Kind { return kinds.OutcomeUnknown }

func (x *Executor) protocol() Protocol {
	if x.Protocol == nil {
		return defaultProtocol{}
	}
	return x.Protocol
}

// Do starts to execute a SendOrder, a SendUsage or, if the protocol supports it, a SwapEngine, and reports whether the
// effect was one of these. It does not block.
func (x *Executor) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.SendOrder:
		go x.sendOrder(e)
		return true
	case event.SendUsage:
		go x.sendUsage(e)
		return true
	case event.SwapEngine:
		call, ok := x.protocol().State(e)
		if ok {
			go x.swapEngine(e, call)
		}
		return ok
	}
	return false
}

// swapEngine reads an engine's state and sends an order for that state. The engine refuses the order if it has accepted
// another one in between.
func (x *Executor) swapEngine(e event.SwapEngine, stateCall Call) {
	state, err := x.state(e, stateCall)
	if err == nil && state.Busy {
		err = kinds.New(kinds.EndpointRefused, "%s is executing another order", e.Endpoint)
	}
	if err == nil {
		err = x.send(x.protocol().Swap(e, state), nil, e.Before, x.readHead(e))
	}
	x.Post(event.EngineSwapped{Duty: e.Duty, Epoch: e.Epoch, OrderID: e.OrderID, Endpoint: e.Endpoint, Version: e.Version, Kind: kinds.KindOf(err)})
}

// readHead returns a function that posts what the head of an engine's answer tells of the engine.
func (x *Executor) readHead(e event.SwapEngine) func(*http.Response) {
	sent := x.Now()
	return func(response *http.Response) {
		if x.Answered == nil {
			return
		}
		if answered, ok := x.Answered(wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}, sent, response); ok {
			x.Post(answered)
		}
	}
}

// state reads an engine's state. A failed read has kind EndpointRefused, since no order was sent.
func (x *Executor) state(e event.SwapEngine, stateCall Call) (EngineState, error) {
	readHead := x.readHead(e)
	ctx, cancel := context.WithTimeout(context.Background(), max(e.Before-x.Now(), 0))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, stateCall.Target, nil)
	if err != nil {
		return EngineState{}, kinds.New(kinds.Internal, "%v", err)
	}
	maps.Copy(request.Header, stateCall.Header)
	transport := conns.Check(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: conns.MaxHeaderBytes})
	response, err := transport.RoundTrip(request)
	if err != nil {
		return EngineState{}, kinds.New(kinds.EndpointRefused, "%s: %v", stateCall.Target, err)
	}
	defer func() { _ = response.Body.Close() }()
	if conns.EndsRequest(response.StatusCode) {
		readHead(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err != nil || response.StatusCode != http.StatusOK {
		return EngineState{}, kinds.New(kinds.EndpointRefused, "%s: status %d, %v", stateCall.Target, response.StatusCode, err)
	}
	state, err := x.protocol().ReadState(data)
	if err != nil {
		return state, kinds.New(kinds.EndpointRefused, "%s: %v", stateCall.Target, err)
	}
	return state, nil
}

func (x *Executor) sendOrder(e event.SendOrder) {
	var reply wire.OrderReply
	err := x.send(x.protocol().Order(e.Order), &reply, e.Before, nil)
	x.Post(event.OrderSent{Seq: e.Seq, Order: e.Order, Reply: reply, Kind: kinds.KindOf(err)})
}

func (x *Executor) sendUsage(e event.SendUsage) {
	err := x.send(x.protocol().Usage(e.Report), nil, e.Before, nil)
	x.Post(event.UsageSent{Seq: e.Seq, ReportID: e.Report.ReportID, Kind: kinds.KindOf(err)})
}

// send sends a call and decodes the answer into reply. It calls seen, if not nil, with the head of the answer. Its error has kind DeadlineExceeded if no byte was written, and
// OutcomeUnknown if the call may have taken effect.
func (x *Executor) send(call Call, reply any, deadline time.Duration, seen func(*http.Response)) error {
	body, err := json.Marshal(call.Body)
	if err != nil {
		return kinds.New(kinds.Internal, "%v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(deadline-x.Now(), 0)+cmp.Or(x.AnswerTimeout, defaultAnswerTimeout))
	defer cancel()
	target := call.Target
	if strings.HasPrefix(target, "/") {
		target = x.BaseURL + target
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return kinds.New(kinds.Internal, "%v", err)
	}
	maps.Copy(request.Header, call.Header)
	request.Header.Set("Content-Type", "application/json")
	dialer := &dialer{now: x.Now, deadline: deadline}
	transport := conns.Check(&http.Transport{DialContext: dialer.dial, DisableKeepAlives: true, MaxResponseHeaderBytes: conns.MaxHeaderBytes})
	response, err := transport.RoundTrip(request)
	if err != nil {
		return dialer.sendError(call.Target, err)
	}
	defer func() { _ = response.Body.Close() }()
	if seen != nil && conns.EndsRequest(response.StatusCode) {
		seen(response)
	}
	return x.decodeAnswer(call.Target, response, reply)
}

func (x *Executor) decodeAnswer(target string, response *http.Response, reply any) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if !conns.EndsRequest(response.StatusCode) {
		return kinds.New(kinds.OutcomeUnknown, "%s: status %d is no answer", target, response.StatusCode)
	}
	if response.StatusCode/100 != 2 {
		return kinds.New(x.protocol().Kind(response.StatusCode), "%s: status %d", target, response.StatusCode)
	}
	if err != nil {
		return kinds.New(kinds.OutcomeUnknown, "%s: status %d, %v", target, response.StatusCode, err)
	}
	if reply == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return kinds.New(kinds.OutcomeUnknown, "%s: %v", target, err)
	}
	return nil
}

// dialer dials one connection, which refuses writes after a deadline on the monotonic clock now.
type dialer struct {
	now      func() time.Duration
	deadline time.Duration
	conn     *leasedConn
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	netDialer := net.Dialer{Timeout: max(d.deadline-d.now(), time.Nanosecond)}
	conn, err := netDialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.conn = &leasedConn{Conn: conn, dialer: d, until: time.Now().Add(d.deadline - d.now())}
	if err := d.conn.SetWriteDeadline(d.conn.until); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return d.conn, nil
}

func (d *dialer) sendError(target string, err error) error {
	if d.conn == nil || !d.conn.written.Load() {
		return kinds.New(kinds.DeadlineExceeded, "%s: no byte was sent: %v", target, err)
	}
	return kinds.New(kinds.OutcomeUnknown, "%s: %v", target, err)
}
