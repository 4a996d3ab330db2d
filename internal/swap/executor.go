// Package swap executes the orders to engines and reads their versions.
package swap

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
)

const (
	dialTimeout        = 500 * time.Millisecond
	idleTimeout        = 10 * time.Second
	stateTimeout       = time.Second
	orderTimeout       = time.Second
	firstPollInterval  = 50 * time.Millisecond
	maxPollInterval    = 400 * time.Millisecond
	pollIntervalGrowth = 1.5
	maxAnswerBytes     = 64 << 10
	slotRetryInterval  = 100 * time.Millisecond
	orderAccepted      = "Accepted" // wire.EngineState.LastOrderState of an order in progress
)

// Executor sends orders to engines and reads their state. Its exported fields are set before the first effect.
type Executor struct {
	PlatformURL string // for the weight store's read slots
	Post        func(ev event.Event) bool
	Now         func() time.Duration // the loop's clock

	prepareReads sync.Once
	reads        *conns.Checked // for states and read slots
}

// Do starts to execute a SwapEngine or ReadEngine and reports whether the effect was one. It does not block.
func (x *Executor) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.SwapEngine:
		go x.swapEngine(e)
	case event.ReadEngine:
		go x.readEngine(e)
	default:
		return false
	}
	return true
}

func (x *Executor) readEngine(e event.ReadEngine) {
	state, err := x.state(context.Background(), e.Address)
	x.Post(event.EngineRead{
		Duty: e.Duty, Endpoint: e.Endpoint, Incarnation: state.Incarnation, Version: state.Version, Kind: kinds.KindOf(err),
	})
}

func (x *Executor) swapEngine(e event.SwapEngine) {
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	version, err := x.execute(ctx, e)
	x.Post(event.EngineSwapped{
		Duty: e.Duty, Epoch: e.Epoch, OrderID: e.OrderID, Endpoint: e.Endpoint, Version: version, Kind: kinds.KindOf(err),
	})
}

// execute sends an order and returns the version that the engine reports afterwards. The state is read first, so that an
// engine that does not check fencing numbers gets no order that it no longer needs.
func (x *Executor) execute(ctx context.Context, e event.SwapEngine) (uint64, error) {
	state, err := x.waitIdle(ctx, e.Address)
	if err != nil || state.Version >= e.Version {
		return state.Version, err
	}
	if err := x.acquireReadSlot(ctx, e); err != nil {
		return state.Version, err
	}
	if err := x.sendOrder(ctx, e); err != nil {
		return state.Version, err
	}
	state, err = x.waitIdle(ctx, e.Address)
	if err == nil && state.Version < e.Version {
		err = kinds.New(kinds.EndpointRefused, "%s is at version %d after order %s", e.Endpoint, state.Version, e.OrderID)
	}
	return state.Version, err
}

// waitIdle waits until no order is in progress and returns the engine's state.
func (x *Executor) waitIdle(ctx context.Context, address string) (wire.EngineState, error) {
	interval := firstPollInterval
	for {
		state, err := x.state(ctx, address)
		if err != nil || state.LastOrderState != orderAccepted {
			return state, err
		}
		if err := retry.Sleep(ctx, interval); err != nil {
			return state, kinds.New(kinds.DeadlineExceeded, "wait for the order in progress: %v", err)
		}
		interval = min(maxPollInterval, time.Duration(float64(interval)*pollIntervalGrowth))
	}
}

func (x *Executor) state(ctx context.Context, address string) (wire.EngineState, error) {
	var state wire.EngineState
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wire.PathState, nil)
	if err != nil {
		return state, err
	}
	err = x.doJSON(x.readTransport(), r, &state)
	return state, err
}

// doJSON sends a call and decodes the answer into v. A redirect is no answer: an order would reach another engine.
func (x *Executor) doJSON(transport *conns.Checked, r *http.Request, v any) error {
	response, err := transport.RoundTrip(r)
	if err != nil {
		return kinds.New(kinds.OutcomeUnknown, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusTooManyRequests {
		return kinds.New(kinds.RateLimited, "%s: too many requests", r.URL.Path)
	}
	if response.StatusCode != http.StatusOK {
		return kinds.New(kinds.EndpointRefused, "%s: status %d", r.URL.Path, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(v); err != nil {
		return kinds.New(kinds.OutcomeUnknown, "decode the answer: %v", err)
	}
	return nil
}

// acquireReadSlot waits until the weight store grants a slot for one engine to read a version. Without one no order is sent, so that
// its outcome is known even when the store has not answered.
func (x *Executor) acquireReadSlot(ctx context.Context, e event.SwapEngine) error {
	body, err := json.Marshal(wire.WeightRead{Model: e.Model, Version: e.Version})
	if err != nil {
		return err
	}
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, x.PlatformURL+wire.PathWeights, bytes.NewReader(body))
		if err != nil {
			return err
		}
		var slot wire.WeightRead
		err = x.doJSON(x.readTransport(), r, &slot)
		if ctx.Err() != nil {
			return kinds.New(kinds.RateLimited, "no read slot in time")
		}
		if kinds.KindOf(err) != kinds.RateLimited {
			return err
		}
		if retry.Sleep(ctx, slotRetryInterval) != nil {
			return kinds.New(kinds.RateLimited, "no read slot in time")
		}
	}
}

// sendOrder sends an order on a connection of its own, which refuses writes after the lease's deadline.
func (x *Executor) sendOrder(ctx context.Context, e event.SwapEngine) error {
	timeout := min(e.Before-x.Now(), orderTimeout)
	if timeout <= 0 {
		return kinds.New(kinds.NotHolder, "the lease expired before order %s was sent", e.OrderID)
	}
	body, err := json.Marshal(wire.SwapOrder{OrderID: e.OrderID, Duty: e.Duty, Fencing: e.Epoch, Model: e.Model, Version: e.Version})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+wire.PathSwap, bytes.NewReader(body))
	if err != nil {
		return err
	}
	var reply wire.SwapReply
	if err := x.doJSON(x.leasedTransport(e.Before), r, &reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return kinds.New(kinds.EndpointRefused, "%s refused order %s: %s", e.Endpoint, e.OrderID, reply.Reason)
	}
	return nil
}

func (x *Executor) readTransport() *conns.Checked {
	x.prepareReads.Do(func() { x.reads = conns.Transport(dialTimeout, 1, idleTimeout) })
	return x.reads
}

// leasedTransport returns a transport whose connections are used once and refuse writes from deadline on.
func (x *Executor) leasedTransport(deadline time.Duration) *conns.Checked {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &leasedConn{Conn: c, deadline: deadline, now: x.Now}, nil
	}
	return conns.Check(&http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: conns.MaxHeaderBytes})
}

// leasedConn refuses writes from the lease's deadline on.
type leasedConn struct {
	net.Conn
	deadline time.Duration
	now      func() time.Duration
}

// Write writes b if the deadline has not passed.
func (c *leasedConn) Write(b []byte) (int, error) {
	if c.now() >= c.deadline {
		return 0, kinds.New(kinds.NotHolder, "the lease has expired")
	}
	return c.Conn.Write(b)
}
