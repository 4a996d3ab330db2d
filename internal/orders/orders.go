// Package orders sends to the platform what only the holder of a duty may send: endpoint orders and usage reports.
package orders

import (
	"bytes"
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
	answerTimeout = 5 * time.Second
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
	// Swap returns the call that orders an engine to load a version; false when this executor does not send it.
	Swap(order event.SwapEngine) (Call, bool)
	// Kind returns the kind of an answer with a status other than 2xx.
	Kind(status int) kinds.Kind
}

// own is the project's own protocol.
type own struct{}

// Order returns the order as it is.
func (own) Order(order wire.EndpointOrder) Call { return Call{Target: wire.PathOrder, Body: order} }

// Usage returns the report as it is.
func (own) Usage(report wire.UsageReport) Call { return Call{Target: wire.PathUsage, Body: report} }

// Swap leaves the order to the engines' own executor.
func (own) Swap(event.SwapEngine) (Call, bool) { return Call{}, false }

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
		call, ok := x.protocol().Swap(e)
		if ok {
			go x.swap(e, call)
		}
		return ok
	}
	return false
}

func (x *Executor) swap(e event.SwapEngine, call Call) {
	err := x.send(call, nil, e.Before)
	x.Post(event.EngineSwapped{Duty: e.Duty, Epoch: e.Epoch, OrderID: e.OrderID, Endpoint: e.Endpoint, Version: e.Version, Kind: kinds.From(err)})
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
	ctx, cancel := context.WithTimeout(context.Background(), max(before-x.Now(), 0)+answerTimeout)
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
	if answer == nil {
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
