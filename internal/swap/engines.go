// Package swap carries out orders to engines: all I/O of the models' versions.
package swap

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
)

const (
	stateTimeout = time.Second
	orderTimeout = time.Second
	firstPoll    = 50 * time.Millisecond
	lastPoll     = 400 * time.Millisecond
	pollGrowth   = 1.5
	slotEvery    = 100 * time.Millisecond
	accepted     = "Accepted" // wire.EngineState.LastOrderState of an order that is being carried out
)

// Engines carries out orders to engines. Its exported fields are set before the first effect.
type Engines struct {
	Platform string // base URL, for the weight store's read slots
	HTTP     *http.Client
	Post     func(ev event.Event) bool
	Now      func() time.Duration // the loop's clock
}

// Do takes the effects on engines' versions.
func (x *Engines) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.SwapEngine:
		go x.swap(e)
	case event.ReadEngine:
		go x.read(e)
	default:
		return false
	}
	return true
}

func (x *Engines) read(e event.ReadEngine) {
	state, err := x.state(context.Background(), e.Address)
	x.Post(event.EngineRead{
		Duty: e.Duty, Endpoint: e.Endpoint, Incarnation: state.Incarnation, Version: state.Version, Kind: kinds.From(err),
	})
}

func (x *Engines) swap(e event.SwapEngine) {
	ctx, cancel := context.WithTimeout(context.Background(), e.Timeout)
	defer cancel()
	version, err := x.carryOut(ctx, e)
	x.Post(event.EngineSwapped{
		Duty: e.Duty, Epoch: e.Epoch, OrderID: e.OrderID, Endpoint: e.Endpoint, Version: version, Kind: kinds.From(err),
	})
}

// carryOut returns the engine's own version after the order. The state is read first, so that an engine that does
// not check fencing numbers gets no order that it no longer needs.
func (x *Engines) carryOut(ctx context.Context, e event.SwapEngine) (uint64, error) {
	state, err := x.settled(ctx, e.Address)
	if err != nil || state.Version >= e.Version {
		return state.Version, err
	}
	if err := x.readSlot(ctx, e); err != nil {
		return state.Version, err
	}
	if err := x.order(ctx, e); err != nil {
		return state.Version, err
	}
	state, err = x.settled(ctx, e.Address)
	if err == nil && state.Version < e.Version {
		err = kinds.New(kinds.EndpointRefused, "%s is at version %d after order %s", e.Endpoint, state.Version, e.OrderID)
	}
	return state.Version, err
}

// settled waits until no order is being carried out and returns the engine's state.
func (x *Engines) settled(ctx context.Context, address string) (wire.EngineState, error) {
	wait := firstPoll
	for {
		state, err := x.state(ctx, address)
		if err != nil || state.LastOrderState != accepted {
			return state, err
		}
		if err := retry.Pause(ctx, wait); err != nil {
			return state, kinds.New(kinds.DeadlineExceeded, "%v", err)
		}
		wait = min(lastPoll, time.Duration(float64(wait)*pollGrowth))
	}
}

func (x *Engines) state(ctx context.Context, address string) (wire.EngineState, error) {
	var state wire.EngineState
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+wire.PathState, nil)
	if err != nil {
		return state, err
	}
	err = x.do(x.HTTP, r, &state)
	return state, err
}

func (x *Engines) do(client *http.Client, r *http.Request, v any) error {
	answer, err := client.Do(r)
	if err != nil {
		return kinds.New(kinds.OutcomeUnknown, "%v", err)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusTooManyRequests {
		return kinds.New(kinds.RateLimited, "%s", r.URL.Path)
	}
	if answer.StatusCode != http.StatusOK {
		return kinds.New(kinds.EndpointRefused, "%s: status %d", r.URL.Path, answer.StatusCode)
	}
	if err := json.NewDecoder(answer.Body).Decode(v); err != nil {
		return kinds.New(kinds.OutcomeUnknown, "%v", err)
	}
	return nil
}

// readSlot waits for the weight store to let one engine read a version.
func (x *Engines) readSlot(ctx context.Context, e event.SwapEngine) error {
	body, err := json.Marshal(wire.WeightRead{Model: e.Model, Version: e.Version})
	if err != nil {
		return err
	}
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, x.Platform+wire.PathWeights, bytes.NewReader(body))
		if err != nil {
			return err
		}
		var slot wire.WeightRead
		err = x.do(x.HTTP, r, &slot)
		if kinds.From(err) != kinds.RateLimited {
			return err
		}
		if retry.Pause(ctx, slotEvery) != nil {
			return kinds.New(kinds.RateLimited, "no read slot in time")
		}
	}
}

// order sends the order on a connection of its own that takes no byte after the lease's deadline.
func (x *Engines) order(ctx context.Context, e event.SwapEngine) error {
	left := min(e.Before-x.Now(), orderTimeout)
	if left <= 0 {
		return kinds.New(kinds.NotHolder, "the lease ends before order %s", e.OrderID)
	}
	body, err := json.Marshal(wire.SwapOrder{OrderID: e.OrderID, Duty: e.Duty, Fencing: e.Epoch, Model: e.Model, Version: e.Version})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+wire.PathSwap, bytes.NewReader(body))
	if err != nil {
		return err
	}
	var reply wire.SwapReply
	if err := x.do(x.leased(e.Before), r, &reply); err != nil {
		return err
	}
	if !reply.Accepted {
		return kinds.New(kinds.EndpointRefused, "%s refused order %s: %s", e.Endpoint, e.OrderID, reply.Reason)
	}
	return nil
}

// leased returns a client whose connections are used once and refuse to write from the time before on.
func (x *Engines) leased(before time.Duration) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &leasedConn{Conn: c, before: before, now: x.Now}, nil
	}
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

// leasedConn writes only while the lease is trusted.
type leasedConn struct {
	net.Conn
	before time.Duration
	now    func() time.Duration
}

// Write sends b while the lease is trusted.
func (c *leasedConn) Write(b []byte) (int, error) {
	if c.now() >= c.before {
		return 0, kinds.New(kinds.NotHolder, "the lease has ended")
	}
	return c.Conn.Write(b)
}
