package fleet

import (
	"fmt"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/spend"
	"github.com/figshift/figshift/internal/wire"
)

const (
	growAfter = 2 * time.Second // a want must last so long before an endpoint is ordered for it
	// listLag is the longest time for which the platform's list may not show an endpoint that was started.
	listLag    = 2 * time.Minute
	maxPending = 16 // unsettled start orders of a zone
)

// zone is one time of holding a zone's duty.
type zone struct {
	name     string
	epoch    uint64
	ledger   *Ledger
	dirty    bool
	writeSeq uint64
	written  uint64
	recorded map[string]uint64        // write that records an order, for those not read with the duty
	flights  map[string]*flight       // by OrderID
	since    map[string]time.Duration // time at which an order's state was first seen here
	told     map[string]bool          // stops whose endpoints the daemons were told to drain
	backoffs map[wire.Price]*backoff
	wants    map[wire.Price]*spend.Range[int]
}

func newZone(now time.Duration, name string, epoch uint64, ledger *Ledger) *zone {
	z := &zone{
		name:     name,
		epoch:    epoch,
		ledger:   ledger,
		recorded: map[string]uint64{},
		flights:  map[string]*flight{},
		since:    map[string]time.Duration{},
		told:     map[string]bool{},
		backoffs: map[wire.Price]*backoff{wire.OnDemand: {}, wire.Cheap: {}},
		wants:    map[wire.Price]*spend.Range[int]{wire.OnDemand: {}, wire.Cheap: {}},
	}
	for _, o := range ledger.Orders {
		z.since[o.OrderID] = now
	}
	return z
}

// count returns the endpoints of each price that the zone has or will have: those listed, those ordered and not yet
// shown, without those that leave or were ordered to stop.
func (z *zone) count(list *wire.EndpointList, settings config.Zone, leaving map[wire.LeaveMark]time.Duration) spend.Want {
	var has spend.Want
	for _, e := range list.Endpoints {
		if z.serves(e, settings, leaving) {
			add(&has, e.Price)
		}
	}
	for _, o := range z.ledger.Orders {
		if o.Action == Start {
			add(&has, o.Price)
		}
	}
	return has
}

func (z *zone) serves(e wire.Endpoint, settings config.Zone, leaving map[wire.LeaveMark]time.Duration) bool {
	_, leaves := leaving[idOf(e)]
	return e.Zone == z.name && e.Kind == wire.Engine && e.Model == settings.Model && e.State != wire.Leaving &&
		!leaves && !z.ledger.stopped(e.Name, e.Incarnation)
}

func add(w *spend.Want, price wire.Price) {
	if price == wire.Cheap {
		w.Cheap++
		return
	}
	w.OnDemand++
}

// settle drops the orders whose effect the platform's list shows. A start is shown by an incarnation that no list
// up to the one known when it was ordered has shown; a daemon that can't tell waits until any list must show it.
func (z *zone) settle(now time.Duration, p *Part, settings config.Zone, out *event.Batch) {
	z.ledger.Orders = slices.DeleteFunc(z.ledger.Orders, func(o Order) bool {
		done := z.settled(now, o, p, settings, out)
		if done {
			delete(z.since, o.OrderID)
			delete(z.recorded, o.OrderID)
			delete(z.told, o.OrderID)
			z.ledger.Listed = max(z.ledger.Listed, p.list.Revision)
			z.dirty = true
		}
		return done
	})
}

func (z *zone) settled(now time.Duration, o Order, p *Part, settings config.Zone, out *event.Batch) bool {
	if o.Action == Stop {
		return !shows(p.list, func(e wire.Endpoint) bool { return e.Name == o.Endpoint && e.Incarnation == o.Incarnation })
	}
	if o.State != Accepted {
		return false
	}
	if shows(p.list, func(e wire.Endpoint) bool { return e.Name == o.Endpoint && p.firstSeen[idOf(e)] > o.After }) {
		return true
	}
	if now-z.since[o.OrderID] < settings.StartTime+listLag {
		return false
	}
	out.Emit(event.Log{Level: "warn", Event: "EndpointNeverListed", Fields: z.fields(o)})
	out.Emit(event.Count{Name: "EndpointNeverListed", N: 1})
	return true
}

func shows(list *wire.EndpointList, is func(wire.Endpoint) bool) bool {
	return slices.ContainsFunc(list.Endpoints, is)
}

func (z *zone) fields(o Order) []event.Field {
	return []event.Field{
		{Key: "Zone", Value: z.name},
		{Key: "OrderID", Value: o.OrderID},
		{Key: "Action", Value: o.Action},
		{Key: "Price", Value: string(o.Price)},
		{Key: "Endpoint", Value: o.Endpoint},
	}
}

// decide records the orders that lead from what the zone has to what it wants. A want counts when it has lasted: the
// least of the last seconds for more endpoints, the greatest of ScaleDownAfter for fewer.
func (z *zone) decide(now time.Duration, want, has spend.Want, p *Part, out *event.Batch) {
	settings := p.site.Zones[z.name]
	for _, c := range []struct {
		price     wire.Price
		want, has int
	}{{wire.OnDemand, want.OnDemand, has.OnDemand}, {wire.Cheap, want.Cheap, has.Cheap}} {
		r := z.wants[c.price]
		r.Keep = max(growAfter, settings.ScaleDownAfter) + time.Second
		r.Add(now, c.want)
		if least, known := r.Least(now, growAfter); known && least > c.has {
			z.start(now, c.price, least-c.has, p.list.Revision, out)
		}
		if greatest, known := r.Greatest(now, settings.ScaleDownAfter); known && greatest < c.has {
			z.stopOne(now, c.price, p, out)
		}
	}
}

func (z *zone) start(now time.Duration, price wire.Price, n int, after uint64, out *event.Batch) {
	if z.backoffs[price].active(now) {
		return
	}
	for ; n > 0 && z.pending() < maxPending; n-- {
		z.record(now, Order{Action: Start, Price: price, State: Intended, After: after}, out)
	}
}

func (z *zone) pending() int {
	n := 0
	for _, o := range z.ledger.Orders {
		if o.Action == Start {
			n++
		}
	}
	return n
}

func (z *zone) record(now time.Duration, o Order, out *event.Batch) {
	z.ledger.Last++
	o.OrderID = fmt.Sprintf("%s%s-%d", DutyPrefix, z.name, z.ledger.Last)
	z.ledger.Orders = append(z.ledger.Orders, o)
	z.since[o.OrderID] = now
	z.recorded[o.OrderID] = z.writeSeq + 1
	z.dirty = true
	out.Emit(event.Log{Level: "info", Event: "EndpointOrder", Fields: z.fields(o)})
	out.Emit(event.Count{Name: "EndpointOrders", Tags: []event.Field{{Key: "Action", Value: o.Action}, {Key: "Price", Value: string(o.Price)}}, N: 1})
}

// stopOne chooses one endpoint to drain, the least loaded, while no other of the zone drains. It waits for the starts
// of the price to be settled: the list may show an endpoint whose order is still counted beside it.
func (z *zone) stopOne(now time.Duration, price wire.Price, p *Part, out *event.Batch) {
	unsettled := func(o Order) bool {
		return o.Action == Stop && o.State != Accepted || o.Action == Start && o.Price == price
	}
	if slices.ContainsFunc(z.ledger.Orders, unsettled) {
		return
	}
	settings := p.site.Zones[z.name]
	var best *wire.Endpoint
	for _, e := range p.list.Endpoints {
		if e.Price != price || !z.serves(e, settings, p.leaving) {
			continue
		}
		if best == nil || p.loads[idOf(e)].tokens < p.loads[idOf(*best)].tokens {
			best = &e
		}
	}
	if best == nil {
		return
	}
	z.record(now, Order{Action: Stop, Price: price, Endpoint: best.Name, Incarnation: best.Incarnation, State: Draining}, out)
}

// write records the ledger when it has changed.
func (z *zone) write(out *event.Batch) {
	if !z.dirty {
		return
	}
	b, err := z.ledger.Encode()
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "FleetLedgerInvalid", Fields: []event.Field{{Key: "Zone", Value: z.name}, {Key: "Error", Value: err.Error()}}})
		return
	}
	z.writeSeq++
	z.dirty = false
	out.Raise(event.WriteLedger{Duty: DutyPrefix + z.name, Epoch: z.epoch, Seq: z.writeSeq, Ledger: b})
}

// isRecorded reports whether the store is known to have an order.
func (z *zone) isRecorded(orderID string) bool { return z.recorded[orderID] <= z.written }
