// Package orders sends to the platform what only the holder of a duty may send: endpoint orders and usage reports.
package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
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
	Base string // URL of the platform
	Now  func() time.Duration
	Post func(event.Event) bool
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
	}
	return false
}

func (x *Executor) order(e event.SendOrder) {
	var reply wire.OrderReply
	err := x.send(wire.PathOrder, e.Order, &reply, e.Before)
	x.Post(event.OrderSent{Seq: e.Seq, Order: e.Order, Reply: reply, Kind: kinds.From(err)})
}

func (x *Executor) usage(e event.SendUsage) {
	err := x.send(wire.PathUsage, e.Report, nil, e.Before)
	x.Post(event.UsageSent{Seq: e.Seq, ReportID: e.Report.ReportID, Kind: kinds.From(err)})
}

// send posts a value and decodes the answer. Its error has kind DeadlineExceeded when no byte was written and
// OutcomeUnknown when the value may have taken effect.
func (x *Executor) send(path string, value, answer any, before time.Duration) error {
	body, err := json.Marshal(value)
	if err != nil {
		return kinds.New(kinds.Internal, "%v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(before-x.Now(), 0)+answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, x.Base+path, bytes.NewReader(body))
	if err != nil {
		return kinds.New(kinds.Internal, "%v", err)
	}
	request.Header.Set("Content-Type", "application/json")
	guard := &guard{now: x.Now, before: before}
	transport := &http.Transport{DialContext: guard.dial, DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return guard.failed(path, err)
	}
	defer func() { _ = response.Body.Close() }()
	return decode(path, response, answer)
}

func decode(path string, response *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil || response.StatusCode/100 != 2 {
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
