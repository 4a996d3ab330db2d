package scale

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	slotsPerEndpoint = 4
	bootTime         = 4 * time.Second
)

// harness runs the Component of a daemon that may hold the duty, and simulates the platform.
type harness struct {
	now       time.Duration
	component *Component
	openItems int
	dutyHeld  bool
	outcome   kinds.Kind
	live      map[string]int
	orders    []string
}

func (h *harness) OpenItems() map[string]int { return map[string]int{"e": h.openItems} }

func (h *harness) Trusted(time.Duration) (time.Duration, bool) { return time.Hour, true }

func (h *harness) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + 2*time.Second, 7, h.dutyHeld
}

func newHarness(live map[string]int) *harness {
	h := &harness{dutyHeld: true, live: live}
	h.component = &Component{Host: "h1", Trust: h, Duty: "Weights", Jobs: h}
	site := config.Defaults()
	site.Fleet = map[string]config.FleetRule{
		"e": {Min: 1, Max: 4, Boot: bootTime, ZonePrices: map[string]float64{"a": 1.1, "b": 0.9, "c": 1.0}},
	}
	h.step(event.ConfigInForce{Site: site})
	h.deliverList()
	return h
}

func (h *harness) deliverList() {
	var all []wire.Endpoint
	for zone, n := range h.live {
		for i := range n {
			all = append(all, wire.Endpoint{
				Name: fmt.Sprintf("%s%d", zone, i), Service: "e", Zone: zone, State: wire.Live, Price: wire.OnDemand, Slots: slotsPerEndpoint,
			})
		}
	}
	h.step(event.EndpointsListed{List: wire.EndpointList{Endpoints: all}})
}

func (h *harness) step(ev event.Event) {
	var out event.Batch
	h.component.Step(h.now, ev, &out)
	for _, effect := range out.Effects {
		o, ok := effect.(event.SendOrder)
		if !ok {
			continue
		}
		h.orders = append(h.orders, fmt.Sprintf("%s=%d", o.Order.Zone, o.Order.Count))
		h.step(event.OrderSent{Seq: o.Seq, Order: o.Order, Kind: h.outcome})
	}
}

func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 500 * time.Millisecond
		h.step(event.Tick{})
	}
}

// loseEndpoints removes n endpoints of a zone.
func (h *harness) loseEndpoints(zone string, n int) {
	h.live[zone] -= n
	h.deliverList()
}

// TestOrders guards against endpoints that are lost for good and not replaced while open jobs need their slots, and
// against orders that the jobs don't need.
func TestOrders(t *testing.T) {
	cases := map[string]struct {
		live map[string]int
		run  func(h *harness)
		want []string
	}{
		"EnoughSlots": {map[string]int{"a": 1, "b": 1, "c": 1}, func(h *harness) {
			h.openItems = 3 * slotsPerEndpoint
			h.advance(10 * time.Second)
		}, nil},
		"MoreItems": {map[string]int{"a": 1, "b": 1, "c": 1}, func(h *harness) {
			h.openItems = 5 * slotsPerEndpoint
			h.advance(10 * time.Second)
		}, nil},
		"NotTheHolder": {map[string]int{"a": 1}, func(h *harness) {
			h.dutyHeld, h.openItems = false, 10*slotsPerEndpoint
			h.advance(5 * time.Second)
		}, nil},
		"ShortDemand": {map[string]int{"a": 2}, func(h *harness) {
			h.loseEndpoints("a", 1)
			h.advance(2 * time.Second)
			h.openItems = 2 * slotsPerEndpoint
			h.advance(500 * time.Millisecond)
			h.openItems = 0
			h.advance(2 * time.Second)
		}, nil},
		"NoneToBeHad": {map[string]int{"a": 2}, func(h *harness) {
			h.outcome, h.openItems = kinds.Conflict, 2*slotsPerEndpoint
			h.loseEndpoints("a", 1)
			h.advance(5 * time.Second) // orders at 2 s and 4 s; the next one not before 8 s
		}, []string{"a=2", "a=2"}},
		"AnswerLost": {map[string]int{"a": 2}, func(h *harness) {
			h.outcome, h.openItems = kinds.OutcomeUnknown, 2*slotsPerEndpoint
			h.loseEndpoints("a", 1)
			h.advance(2 * time.Second)
			h.outcome = ""
			h.advance(4 * time.Second)
		}, []string{"a=2", "a=2"}},
		"NeverListed": {map[string]int{"a": 2}, func(h *harness) {
			h.openItems = 2 * slotsPerEndpoint
			h.loseEndpoints("a", 1)
			h.advance(bootTime + startMargin + 3*time.Second)
		}, []string{"a=2", "a=2"}},
		"Lost": {map[string]int{"a": 2, "b": 2}, func(h *harness) {
			h.openItems = 4 * slotsPerEndpoint
			h.advance(3 * time.Second)
			h.loseEndpoints("a", 1)
			h.advance(3 * time.Second)
		}, []string{"a=2"}},
		"CheaperZoneFirst": {map[string]int{"a": 2, "b": 2, "c": 2}, func(h *harness) {
			h.openItems = 5 * slotsPerEndpoint
			h.loseEndpoints("a", 1)
			h.loseEndpoints("c", 1)
			h.advance(5 * time.Second)
		}, []string{"c=2"}},
		"LostAndNotNeeded": {map[string]int{"a": 2, "b": 2}, func(h *harness) {
			h.openItems = 3 * slotsPerEndpoint
			h.loseEndpoints("a", 1)
			h.advance(5 * time.Second)
		}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(c.live)
			c.run(h)
			if diff := cmp.Diff(c.want, h.orders); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

func TestOrderCarriesEpoch(t *testing.T) {
	h := newHarness(map[string]int{"a": 2})
	h.openItems = 2 * slotsPerEndpoint
	h.loseEndpoints("a", 1)
	var sent []event.SendOrder
	for range 8 {
		h.now += 500 * time.Millisecond
		var out event.Batch
		h.component.Step(h.now, event.Tick{}, &out)
		for _, effect := range out.Effects {
			if o, ok := effect.(event.SendOrder); ok {
				sent = append(sent, o)
			}
		}
	}
	want := wire.EndpointOrder{
		Duty: "Weights", Holder: "h1", Epoch: 7, Zone: "a", Model: "e", Count: 2, Price: wire.OnDemand, Kind: wire.Service,
	}
	if len(sent) != 1 { // it stays in flight until it is answered
		t.Fatalf("%d orders, want one", len(sent))
	}
	if diff := cmp.Diff(want, sent[0].Order); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}
