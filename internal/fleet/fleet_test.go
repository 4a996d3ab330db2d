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

// lease is a Trust whose lease the test ends.
type lease struct {
	until time.Duration
	epoch uint64
}

func (l *lease) Trusted(time.Duration) (time.Duration, bool) { return l.until, true }

func (l *lease) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return l.until, l.epoch, now < l.until
}

// bench drives one Part, stores its ledger writes and collects its orders.
type bench struct {
	t      *testing.T
	now    time.Duration
	lease  lease
	state  reduce.State
	ledger []byte
	mute   bool // the store does not answer
	orders []event.SendOrder
	drains []wire.LeaveMark
}

func newBench(t *testing.T, site *config.Site, listed ...wire.Endpoint) *bench {
	b := &bench{t: t, lease: lease{until: time.Hour, epoch: 1}}
	b.state.Parts = []event.Part{&fleet.Part{Host: "h1", Trust: &b.lease}, b}
	b.step(event.ConfigInForce{Site: site})
	b.step(event.EndpointsListed{List: wire.EndpointList{Revision: 10, Endpoints: listed}})
	b.step(event.DutyGained{Duty: duty, Epoch: 1})
	return b
}

// Step plays the store and notes what the fleet raises.
func (b *bench) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.WriteLedger:
		if !b.mute {
			b.ledger = e.Ledger
			out.Raise(event.LedgerWritten{Duty: e.Duty, Epoch: e.Epoch, Seq: e.Seq})
		}
	case event.DrainEndpoint:
		b.drains = append(b.drains, e.Mark)
	}
}

func (b *bench) step(ev event.Event) {
	for _, e := range b.state.Step(b.now, ev) {
		if o, ok := e.(event.SendOrder); ok {
			b.orders = append(b.orders, o)
		}
	}
}

// run lets time pass under a demand for interactive and rollout tokens.
func (b *bench) run(d time.Duration, interactive, rollout int) {
	for end := b.now + d; b.now < end; b.now += 250 * time.Millisecond {
		b.step(event.DemandSeen{Demand: []wire.Demand{
			{Model: "m", Class: string(config.Interactive), Running: interactive},
			{Model: "m", Class: string(config.Rollout), Queued: rollout},
			{Model: "other", Class: string(config.Interactive), Queued: 1 << 20},
		}})
		b.step(event.Tick{})
	}
}

// answer ends the last order.
func (b *bench) answer(reply wire.OrderReply, kind kinds.Kind) {
	b.t.Helper()
	o := b.orders[len(b.orders)-1]
	b.step(event.OrderSent{Seq: o.Seq, Order: o.Order, Reply: reply, Kind: kind})
}

func (b *bench) ids() []string {
	var ids []string
	for _, o := range b.orders {
		ids = append(ids, fmt.Sprintf("%s %s %s%s", o.Order.OrderID, o.Order.Action, o.Order.Price, o.Order.Endpoint))
	}
	return ids
}

func (b *bench) want(ids ...string) {
	b.t.Helper()
	if diff := cmp.Diff(ids, b.ids()); diff != "" {
		b.t.Errorf("orders: %s", diff)
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
	b := newBench(t, testSite())
	b.mute = true
	b.run(4*second, 0, 0)
	b.want()
	b.mute = false
	b.step(event.LedgerWritten{Duty: duty, Epoch: 1, Seq: 1})
	b.run(second, 0, 0)
	b.want("Fleet.z1-1 Start OnDemand")
	if o := b.orders[0]; o.Order.Epoch != 1 || o.Before > b.now+5*second {
		t.Errorf("order %+v", o)
	}
}

func TestNothingIsSentWithoutTheLease(t *testing.T) {
	b := newBench(t, testSite())
	b.lease.until = 0
	b.run(4*second, 0, 0)
	b.want()
	b.lease = lease{until: time.Hour, epoch: 2}
	b.run(4*second, 0, 0)
	b.want()
}

func TestLostAnswerKeepsTheOrderID(t *testing.T) {
	b := newBench(t, testSite())
	b.run(3*second, 0, 0)
	b.answer(wire.OrderReply{}, kinds.OutcomeUnknown)
	b.run(second, 0, 0)
	b.want("Fleet.z1-1 Start OnDemand", "Fleet.z1-1 Start OnDemand")
	// The next holder reads the ledger and asks under the same OrderID.
	c := newBench(t, testSite())
	c.lease.epoch = 2
	c.step(event.DutyLost{Duty: duty})
	c.step(event.DutyGained{Duty: duty, Epoch: 2, Ledger: b.ledger})
	c.run(3*second, 0, 0)
	c.want("Fleet.z1-1 Start OnDemand")
	c.answer(wire.OrderReply{Accepted: true, Endpoint: "e1"}, "")
	c.run(20*second, 0, 0)
	c.want("Fleet.z1-1 Start OnDemand")
}

func TestUnsettledStartIsNoSurplus(t *testing.T) {
	b := newBench(t, testSite())
	b.run(3*second, 0, 0)
	b.answer(wire.OrderReply{}, kinds.OutcomeUnknown)
	b.step(event.EndpointsListed{List: wire.EndpointList{Revision: 11, Endpoints: []wire.Endpoint{engine("e1", "i1", wire.OnDemand)}}})
	b.run(20*second, 0, 0)
	for _, o := range b.orders {
		if o.Order.OrderID != "Fleet.z1-1" {
			t.Errorf("order %+v, want only the first one again", o.Order)
		}
	}
	b.answer(wire.OrderReply{Accepted: true, Endpoint: "e1"}, "")
	n := len(b.orders)
	b.run(20*second, 0, 0)
	if len(b.orders) != n || len(b.drains) > 0 {
		t.Errorf("orders %v and drains %v after the answer", b.ids()[n:], b.drains)
	}
}

func TestLaggingListIsOlderThanTheOrder(t *testing.T) {
	old := engine("e1", "i1", wire.OnDemand)
	old.State = wire.Leaving
	b := newBench(t, testSite(), old)
	b.run(3*second, 0, 0)
	b.answer(wire.OrderReply{Accepted: true, Endpoint: "e1"}, "")
	b.step(event.EndpointsListed{List: wire.EndpointList{Revision: 11, Endpoints: []wire.Endpoint{old}}})
	b.run(10*second, 0, 0)
	b.want("Fleet.z1-1 Start OnDemand")
	b.step(event.EndpointsListed{List: wire.EndpointList{Revision: 12, Endpoints: []wire.Endpoint{engine("e1", "i2", wire.OnDemand)}}})
	b.run(10*second, 0, 0)
	b.want("Fleet.z1-1 Start OnDemand")
	// Once it has ended, the next one is ordered.
	b.step(event.EndpointsListed{List: wire.EndpointList{Revision: 13}})
	b.run(3*second, 0, 0)
	b.want("Fleet.z1-1 Start OnDemand", "Fleet.z1-2 Start OnDemand")
}

func TestDemandMovesTheFleet(t *testing.T) {
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
			b := newBench(t, testSite(), c.listed...)
			b.run(c.run, c.interactive, c.rollout)
			b.want(c.want...)
		})
	}
}

func TestNoneToBeHadBacksOffThenPaysForTrainers(t *testing.T) {
	b := newBench(t, testSite(), engine("e1", "i1", wire.OnDemand))
	spec := wire.Object{Name: "Rollouts/r", Value: []byte(`{"Model":"m"}`)}
	b.step(event.ObjectSeen{Object: spec})
	b.run(3*second, 0, 1500)
	b.want("Fleet.z1-1 Start Cheap", "Fleet.z1-2 Start Cheap")
	for _, o := range b.orders {
		b.step(event.OrderSent{Seq: o.Seq, Order: o.Order, Reply: wire.OrderReply{Kind: "NoneToBeHad"}})
	}
	b.orders = nil
	b.run(250*time.Millisecond, 0, 1500)
	b.want()
	cheap := 0
	onDemand := map[string]bool{}
	for range 40 {
		b.run(second, 0, 1500)
		for _, o := range b.orders {
			if o.Order.Price == wire.OnDemand {
				onDemand[o.Order.OrderID] = true
				continue
			}
			cheap++
			b.step(event.OrderSent{Seq: o.Seq, Order: o.Order, Reply: wire.OrderReply{Kind: "NoneToBeHad"}})
		}
		b.orders = nil
	}
	if cheap < 2 || cheap > 12 {
		t.Errorf("%d tries for cheap endpoints in 40 s, want a few with growing pauses", cheap)
	}
	if len(onDemand) != 2 {
		t.Errorf("%d on-demand endpoints in place of cheap ones, want the 2 that one trainer pays for", len(onDemand))
	}
}

func TestStopWaitsForTheDrain(t *testing.T) {
	e1, e2 := engine("e1", "i1", wire.OnDemand), engine("e2", "i2", wire.OnDemand)
	b := newBench(t, testSite(), e1, e2)
	polled := func(e wire.Endpoint, tokens int) {
		b.step(event.EndpointPolled{Endpoint: e.Name, Incarnation: e.Incarnation, OK: true, Tokens: tokens})
	}
	b.step(event.EndpointPolled{Endpoint: "e1", Incarnation: "i1", OK: true, Tokens: 900})
	for range 32 {
		polled(e2, 40)
		b.run(250*time.Millisecond, 500, 0)
	}
	mark := wire.LeaveMark{Endpoint: "e2", Incarnation: "i2"}
	if diff := cmp.Diff([]wire.LeaveMark{mark}, b.drains); diff != "" {
		t.Fatalf("drained: %s", diff)
	}
	b.want()
	polled(e2, 0)
	b.run(second, 500, 0)
	b.want("Fleet.z1-1 Stop OnDemande2")
	b.answer(wire.OrderReply{Accepted: true, Endpoint: "e2"}, "")
	// A list that goes on showing it neither brings it back nor has it stopped again.
	b.step(event.EndpointsListed{List: wire.EndpointList{Revision: 11, Endpoints: []wire.Endpoint{e1, e2}}})
	b.run(20*second, 500, 0)
	b.want("Fleet.z1-1 Stop OnDemande2")
}

func TestBusyEndpointIsStoppedOnceNoRequestCanRun(t *testing.T) {
	e1, e2 := engine("e1", "i1", wire.OnDemand), engine("e2", "i2", wire.OnDemand)
	b := newBench(t, testSite(), e1, e2)
	b.run(30*second, 500, 0)
	b.want()
	b.run(15*second, 500, 0)
	b.want("Fleet.z1-1 Stop OnDemande1")
}
