package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/fleet"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/wire"
)

const (
	duty   = "Fleet.z1"
	second = time.Second
)

// fakeLease is an event.Trust with a lease that the test controls.
type fakeLease struct {
	until time.Duration
	epoch uint64
}

func (l *fakeLease) Trusted(time.Duration) (time.Duration, bool) { return l.until, true }

func (l *fakeLease) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return l.until, l.epoch, now < l.until
}

// harness drives one Component, stores its ledger writes and records its orders and drains.
type harness struct {
	t           *testing.T
	now         time.Duration
	lease       fakeLease
	state       reduce.State
	ledger      []byte
	storeSilent bool // the store does not answer
	orders      []event.SendOrder
	drains      []wire.LeaveMark
}

func newHarness(t *testing.T, site *config.Site, listed ...wire.Endpoint) *harness {
	h := &harness{t: t, lease: fakeLease{until: time.Hour, epoch: 1}}
	h.state.Components = []event.Part{&fleet.Component{Host: "h1", Trust: &h.lease}, h}
	h.step(event.ConfigInForce{Site: site})
	h.step(event.EndpointsListed{List: wire.EndpointList{Revision: 10, Endpoints: listed}})
	h.step(event.DutyGained{Duty: duty, Epoch: 1})
	return h
}

// Step simulates the store and records the raised drains.
func (h *harness) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.WriteLedger:
		if !h.storeSilent {
			h.ledger = e.Ledger
			out.Raise(event.LedgerWritten{Duty: e.Duty, Epoch: e.Epoch, Seq: e.Seq})
		}
	case event.DrainEndpoint:
		h.drains = append(h.drains, e.Mark)
	}
}

func (h *harness) step(ev event.Event) {
	for _, e := range h.state.Step(h.now, ev) {
		if o, ok := e.(event.SendOrder); ok {
			h.orders = append(h.orders, o)
		}
	}
}

// run advances the time by d under a constant demand for interactive and rollout tokens.
func (h *harness) run(d time.Duration, interactive, rollout int) {
	for end := h.now + d; h.now < end; h.now += 250 * time.Millisecond {
		h.step(event.DemandSeen{Demand: []wire.Demand{
			{Model: "m", Class: string(config.Interactive), Running: interactive},
			{Model: "m", Class: string(config.Rollout), Queued: rollout},
			{Model: "other", Class: string(config.Interactive), Queued: 1 << 20},
		}})
		h.step(event.Tick{})
	}
}

// answerLast delivers the outcome of the last order.
func (h *harness) answerLast(reply wire.OrderReply, kind kinds.Kind) {
	h.t.Helper()
	o := h.orders[len(h.orders)-1]
	h.step(event.OrderSent{Seq: o.Seq, Order: o.Order, Reply: reply, Kind: kind})
}

func (h *harness) orderTexts() []string {
	var texts []string
	for _, o := range h.orders {
		texts = append(texts, fmt.Sprintf("%s %s %s%s", o.Order.OrderID, o.Order.Action, o.Order.Price, o.Order.Endpoint))
	}
	return texts
}

func (h *harness) wantOrders(want ...string) {
	h.t.Helper()
	if diff := cmp.Diff(want, h.orderTexts()); diff != "" {
		h.t.Errorf("orders (-want +got):\n%s", diff)
	}
}

func testSite() *config.Site {
	s := config.Defaults()
	z := config.DefaultZone("z1")
	z.Model, z.TokensPerEngine, z.OnDemandFloor, z.MaxEndpoints, z.MaxCheap, z.ScaleDownAfter = "m", 1000, 1, 4, 2, 5*second
	s.Zones["z1"] = z
	return s
}

func engine(name, incarnation string, price wire.Price) wire.Endpoint {
	return wire.Endpoint{Name: name, Incarnation: incarnation, Kind: wire.Engine, Zone: "z1", Model: "m", Price: price, State: wire.Live}
}

func TestStartIsRecordedFirst(t *testing.T) {
	h := newHarness(t, testSite())
	h.storeSilent = true
	h.run(4*second, 0, 0)
	h.wantOrders()
	h.storeSilent = false
	h.step(event.LedgerWritten{Duty: duty, Epoch: 1, Seq: 1})
	h.run(second, 0, 0)
	h.wantOrders("Fleet.z1-1 Start OnDemand")
	if o := h.orders[0]; o.Order.Epoch != 1 || o.Before > h.now+5*second {
		t.Errorf("order %+v, want epoch 1 and Before within 5 s", o)
	}
}

func TestNothingIsSentWithoutTheLease(t *testing.T) {
	h := newHarness(t, testSite())
	h.lease.until = 0
	h.run(4*second, 0, 0)
	h.wantOrders()
	h.lease = fakeLease{until: time.Hour, epoch: 2}
	h.run(4*second, 0, 0)
	h.wantOrders()
}

func TestLostAnswerKeepsTheOrderID(t *testing.T) {
	h := newHarness(t, testSite())
	h.run(3*second, 0, 0)
	h.answerLast(wire.OrderReply{}, kinds.OutcomeUnknown)
	h.run(second, 0, 0)
	h.wantOrders("Fleet.z1-1 Start OnDemand", "Fleet.z1-1 Start OnDemand")
	// The next holder reads the ledger and sends the order under the same OrderID.
	next := newHarness(t, testSite())
	next.lease.epoch = 2
	next.step(event.DutyLost{Duty: duty})
	next.step(event.DutyGained{Duty: duty, Epoch: 2, Ledger: h.ledger})
	next.run(3*second, 0, 0)
	next.wantOrders("Fleet.z1-1 Start OnDemand")
	next.answerLast(wire.OrderReply{Accepted: true, Endpoint: "e1"}, "")
	next.run(20*second, 0, 0)
	next.wantOrders("Fleet.z1-1 Start OnDemand")
}

func TestUnsettledStartIsNoSurplus(t *testing.T) {
	h := newHarness(t, testSite())
	h.run(3*second, 0, 0)
	h.answerLast(wire.OrderReply{}, kinds.OutcomeUnknown)
	h.step(event.EndpointsListed{List: wire.EndpointList{Revision: 11, Endpoints: []wire.Endpoint{engine("e1", "i1", wire.OnDemand)}}})
	h.run(20*second, 0, 0)
	for _, o := range h.orders {
		if o.Order.OrderID != "Fleet.z1-1" {
			t.Errorf("order %+v, want only resends of the first one", o.Order)
		}
	}
	h.answerLast(wire.OrderReply{Accepted: true, Endpoint: "e1"}, "")
	n := len(h.orders)
	h.run(20*second, 0, 0)
	if len(h.orders) != n || len(h.drains) > 0 {
		t.Errorf("orders %v and drains %v after the answer, want none", h.orderTexts()[n:], h.drains)
	}
}

func TestLaggingListIsOlderThanTheOrder(t *testing.T) {
	old := engine("e1", "i1", wire.OnDemand)
	old.State = wire.Leaving
	h := newHarness(t, testSite(), old)
	h.run(3*second, 0, 0)
	h.answerLast(wire.OrderReply{Accepted: true, Endpoint: "e1"}, "")
	h.step(event.EndpointsListed{List: wire.EndpointList{Revision: 11, Endpoints: []wire.Endpoint{old}}})
	h.run(10*second, 0, 0)
	h.wantOrders("Fleet.z1-1 Start OnDemand")
	h.step(event.EndpointsListed{List: wire.EndpointList{Revision: 12, Endpoints: []wire.Endpoint{engine("e1", "i2", wire.OnDemand)}}})
	h.run(10*second, 0, 0)
	h.wantOrders("Fleet.z1-1 Start OnDemand")
	// Once the endpoint is gone, the next one is ordered.
	h.step(event.EndpointsListed{List: wire.EndpointList{Revision: 13}})
	h.run(3*second, 0, 0)
	h.wantOrders("Fleet.z1-1 Start OnDemand", "Fleet.z1-2 Start OnDemand")
}

func TestOrdersFollowDemand(t *testing.T) {
	floor := engine("e1", "i1", wire.OnDemand)
	cases := map[string]struct {
		listed               []wire.Endpoint
		interactive, rollout int
		run                  time.Duration
		want                 []string
	}{
		"at rest":         {listed: []wire.Endpoint{floor}, run: 20 * second},
		"more lookups":    {listed: []wire.Endpoint{floor}, interactive: 1500, run: 3 * second, want: []string{"Fleet.z1-1 Start OnDemand"}},
		"rollouts":        {listed: []wire.Endpoint{floor}, rollout: 9000, run: 3 * second, want: []string{"Fleet.z1-1 Start Cheap", "Fleet.z1-2 Start Cheap"}},
		"a short burst":   {listed: []wire.Endpoint{floor}, interactive: 1500, run: second},
		"other zone":      {listed: []wire.Endpoint{floor, {Name: "e2", Kind: wire.Engine, Zone: "z2", Model: "m", State: wire.Live}}, interactive: 1500, run: 3 * second, want: []string{"Fleet.z1-1 Start OnDemand"}},
		"leaving is gone": {listed: []wire.Endpoint{{Name: "e1", Kind: wire.Engine, Zone: "z1", Model: "m", State: wire.Leaving}}, run: 3 * second, want: []string{"Fleet.z1-1 Start OnDemand"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSite(), c.listed...)
			h.run(c.run, c.interactive, c.rollout)
			h.wantOrders(c.want...)
		})
	}
}

func TestNoneToBeHadBacksOffThenPaysForTrainers(t *testing.T) {
	h := newHarness(t, testSite(), engine("e1", "i1", wire.OnDemand))
	spec := wire.Object{Name: "Rollouts/r", Value: []byte(`{"Model":"m"}`)}
	h.step(event.ObjectSeen{Object: spec})
	h.run(3*second, 0, 1500)
	h.wantOrders("Fleet.z1-1 Start Cheap", "Fleet.z1-2 Start Cheap")
	for _, o := range h.orders {
		h.step(event.OrderSent{Seq: o.Seq, Order: o.Order, Reply: wire.OrderReply{Kind: "NoneToBeHad"}})
	}
	h.orders = nil
	h.run(250*time.Millisecond, 0, 1500)
	h.wantOrders()
	cheap := 0
	onDemand := map[string]bool{}
	for range 40 {
		h.run(second, 0, 1500)
		for _, o := range h.orders {
			if o.Order.Price == wire.OnDemand {
				onDemand[o.Order.OrderID] = true
				continue
			}
			cheap++
			h.step(event.OrderSent{Seq: o.Seq, Order: o.Order, Reply: wire.OrderReply{Kind: "NoneToBeHad"}})
		}
		h.orders = nil
	}
	if cheap < 2 || cheap > 12 {
		t.Errorf("%d orders of cheap endpoints in 40 s, want 2 to 12 with growing pauses", cheap)
	}
	if len(onDemand) != 2 {
		t.Errorf("%d on-demand endpoints instead of cheap ones, want 2, which cost no more than one waiting trainer", len(onDemand))
	}
}

func TestStopWaitsForTheDrain(t *testing.T) {
	e1, e2 := engine("e1", "i1", wire.OnDemand), engine("e2", "i2", wire.OnDemand)
	h := newHarness(t, testSite(), e1, e2)
	polled := func(e wire.Endpoint, tokens int) {
		h.step(event.EndpointPolled{Endpoint: e.Name, Incarnation: e.Incarnation, OK: true, Tokens: tokens})
	}
	h.step(event.EndpointPolled{Endpoint: "e1", Incarnation: "i1", OK: true, Tokens: 900})
	for range 32 {
		polled(e2, 40)
		h.run(250*time.Millisecond, 500, 0)
	}
	mark := wire.LeaveMark{Endpoint: "e2", Incarnation: "i2"}
	if diff := cmp.Diff([]wire.LeaveMark{mark}, h.drains); diff != "" {
		t.Fatalf("drained endpoints (-want +got):\n%s", diff)
	}
	h.wantOrders()
	polled(e2, 0)
	h.run(second, 500, 0)
	h.wantOrders("Fleet.z1-1 Stop OnDemande2")
	h.answerLast(wire.OrderReply{Accepted: true, Endpoint: "e2"}, "")
	// While lists still show it, the endpoint is neither used again nor stopped again.
	h.step(event.EndpointsListed{List: wire.EndpointList{Revision: 11, Endpoints: []wire.Endpoint{e1, e2}}})
	h.run(20*second, 500, 0)
	h.wantOrders("Fleet.z1-1 Stop OnDemande2")
}

func TestBusyEndpointIsStoppedOnceNoRequestCanRun(t *testing.T) {
	e1, e2 := engine("e1", "i1", wire.OnDemand), engine("e2", "i2", wire.OnDemand)
	h := newHarness(t, testSite(), e1, e2)
	h.run(30*second, 500, 0)
	h.wantOrders()
	h.run(15*second, 500, 0)
	h.wantOrders("Fleet.z1-1 Stop OnDemande1")
}
