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
	// scaleUpAfter is the time for which more endpoints must be wanted before they are ordered.
	scaleUpAfter = 2 * time.Second
	// maxListLag is the time after an endpoint's StartTime in which it must appear in the platform's list.
	maxListLag       = 2 * time.Minute
	maxPendingStarts = 16 // unsettled start orders of a zone
)

// zoneTerm is the state of one period of holding a zone's duty.
type zoneTerm struct {
	name           string
	epoch          uint64
	ledger         *Ledger
	dirty          bool
	writeSeq       uint64
	written        uint64
	recordingWrite map[string]uint64         // by OrderID: the write with the order; none if read with the duty
	inFlight       map[string]*orderInFlight // by OrderID
	stateSince     map[string]time.Duration  // by OrderID: when this holder set or first read the order's state
	drainRaised    map[string]bool           // by OrderID: stops for which DrainEndpoint was raised
	backoffs       map[wire.Price]*backoff
	recentTargets  map[wire.Price]*spend.RecentRange[int]
}

func newZoneTerm(now time.Duration, name string, epoch uint64, ledger *Ledger) *zoneTerm {
	z := &zoneTerm{
		name:           name,
		epoch:          epoch,
		ledger:         ledger,
		recordingWrite: map[string]uint64{},
		inFlight:       map[string]*orderInFlight{},
		stateSince:     map[string]time.Duration{},
		drainRaised:    map[string]bool{},
		backoffs:       map[wire.Price]*backoff{wire.OnDemand: {}, wire.Cheap: {}},
		recentTargets:  map[wire.Price]*spend.RecentRange[int]{wire.OnDemand: {}, wire.Cheap: {}},
	}
	for _, o := range ledger.Orders {
		z.stateSince[o.OrderID] = now
	}
	return z
}

// countEndpoints returns how many endpoints of each price the zone has or will have: those listed, except those that
// are leaving or ordered to stop, and those ordered and not yet listed.
func (z *zoneTerm) countEndpoints(list *wire.EndpointList, settings config.Zone, leaving map[wire.LeaveMark]time.Duration) spend.Target {
	var has spend.Target
	for _, e := range list.Endpoints {
		if z.serves(e, settings, leaving) {
			addOne(&has, e.Price)
		}
	}
	for _, o := range z.ledger.Orders {
		if o.Action == ActionStart {
			addOne(&has, o.Price)
		}
	}
	return has
}

func (z *zoneTerm) serves(e wire.Endpoint, settings config.Zone, leaving map[wire.LeaveMark]time.Duration) bool {
	_, leaves := leaving[markOf(e)]
	return e.Zone == z.name && e.Kind == wire.Engine && e.Model == settings.Model && e.State != wire.Leaving &&
		!leaves && !z.ledger.stopOrdered(e.Name, e.Incarnation)
}

func addOne(target *spend.Target, price wire.Price) {
	if price == wire.Cheap {
		target.Cheap++
		return
	}
	target.OnDemand++
}

// removeSettled removes the orders whose effect the platform's list shows. A start is settled by an incarnation that
// first appeared in a list newer than the order. A holder that can't tell, because the incarnation was in the first
// list it read, waits until every list must show it.
func (z *zoneTerm) removeSettled(now time.Duration, p *Component, settings config.Zone, out *event.Batch) {
	z.ledger.Orders = slices.DeleteFunc(z.ledger.Orders, func(o Order) bool {
		done := z.isSettled(now, o, p, settings, out)
		if done {
			delete(z.stateSince, o.OrderID)
			delete(z.recordingWrite, o.OrderID)
			delete(z.drainRaised, o.OrderID)
			z.ledger.Listed = max(z.ledger.Listed, p.list.Revision)
			z.dirty = true
		}
		return done
	})
}

func (z *zoneTerm) isSettled(now time.Duration, o Order, p *Component, settings config.Zone, out *event.Batch) bool {
	if o.Action == ActionStop {
		return !listContains(p.list, func(e wire.Endpoint) bool { return e.Name == o.Endpoint && e.Incarnation == o.Incarnation })
	}
	if o.State != Accepted {
		return false
	}
	if listContains(p.list, func(e wire.Endpoint) bool { return e.Name == o.Endpoint && p.firstListed[markOf(e)] > o.After }) {
		return true
	}
	if now-z.stateSince[o.OrderID] < settings.StartTime+maxListLag {
		return false
	}
	out.Emit(event.Log{Level: "warn", Event: "EndpointNeverListed", Fields: z.logFields(o)})
	out.Emit(event.Count{Name: "EndpointNeverListed", N: 1})
	return true
}

func listContains(list *wire.EndpointList, match func(wire.Endpoint) bool) bool {
	return slices.ContainsFunc(list.Endpoints, match)
}

func (z *zoneTerm) logFields(o Order) []event.Field {
	return []event.Field{
		{Key: "Zone", Value: z.name},
		{Key: "OrderID", Value: o.OrderID},
		{Key: "Action", Value: o.Action},
		{Key: "Price", Value: string(o.Price)},
		{Key: "Endpoint", Value: o.Endpoint},
	}
}

// recordOrders records the orders that lead from the endpoints that the zone has to those wanted. To ignore short
// changes, it starts endpoints up to the minimum number wanted during scaleUpAfter, and stops them down to the maximum
// number wanted during ScaleDownAfter.
func (z *zoneTerm) recordOrders(now time.Duration, target, has spend.Target, p *Component, out *event.Batch) {
	settings := p.site.Zones[z.name]
	for _, c := range []struct {
		price     wire.Price
		want, has int
	}{{wire.OnDemand, target.OnDemand, has.OnDemand}, {wire.Cheap, target.Cheap, has.Cheap}} {
		r := z.recentTargets[c.price]
		r.MaxAge = max(scaleUpAfter, settings.ScaleDownAfter) + time.Second
		r.Add(now, c.want)
		if minWanted, known := r.Min(now, scaleUpAfter); known && minWanted > c.has {
			z.recordStarts(now, c.price, minWanted-c.has, p.list.Revision, out)
		}
		if maxWanted, known := r.Max(now, settings.ScaleDownAfter); known && maxWanted < c.has {
			z.recordStop(now, c.price, p, out)
		}
	}
}

func (z *zoneTerm) recordStarts(now time.Duration, price wire.Price, n int, after uint64, out *event.Batch) {
	if z.backoffs[price].active(now) {
		return
	}
	for ; n > 0 && z.pendingStarts() < maxPendingStarts; n-- {
		z.recordOrder(now, Order{Action: ActionStart, Price: price, State: Intended, After: after}, out)
	}
}

func (z *zoneTerm) pendingStarts() int {
	n := 0
	for _, o := range z.ledger.Orders {
		if o.Action == ActionStart {
			n++
		}
	}
	return n
}

func (z *zoneTerm) recordOrder(now time.Duration, o Order, out *event.Batch) {
	z.ledger.Last++
	o.OrderID = fmt.Sprintf("%s%s-%d", DutyPrefix, z.name, z.ledger.Last)
	z.ledger.Orders = append(z.ledger.Orders, o)
	z.stateSince[o.OrderID] = now
	z.recordingWrite[o.OrderID] = z.writeSeq + 1
	z.dirty = true
	out.Emit(event.Log{Level: "info", Event: "EndpointOrder", Fields: z.logFields(o)})
	out.Emit(event.Count{Name: "EndpointOrders", Tags: []event.Field{{Key: "Action", Value: o.Action}, {Key: "Price", Value: string(o.Price)}}, N: 1})
}

// recordStop records a stop of the least loaded endpoint, unless another stop in the zone is not yet accepted. It waits
// until all starts of the price are settled: before that, a started endpoint may be counted twice, in the list and as
// an order.
func (z *zoneTerm) recordStop(now time.Duration, price wire.Price, p *Component, out *event.Batch) {
	unsettled := func(o Order) bool {
		return o.Action == ActionStop && o.State != Accepted || o.Action == ActionStart && o.Price == price
	}
	if slices.ContainsFunc(z.ledger.Orders, unsettled) {
		return
	}
	settings := p.site.Zones[z.name]
	var leastLoaded *wire.Endpoint
	for _, e := range p.list.Endpoints {
		if e.Price != price || !z.serves(e, settings, p.leaving) {
			continue
		}
		if leastLoaded == nil || p.loads[markOf(e)].tokens < p.loads[markOf(*leastLoaded)].tokens {
			leastLoaded = &e
		}
	}
	if leastLoaded == nil {
		return
	}
	z.recordOrder(now, Order{Action: ActionStop, Price: price, Endpoint: leastLoaded.Name, Incarnation: leastLoaded.Incarnation, State: Draining}, out)
}

// writeLedger writes the ledger if it has changed.
func (z *zoneTerm) writeLedger(out *event.Batch) {
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

// isRecorded reports whether an order is known to be in the stored ledger.
func (z *zoneTerm) isRecorded(orderID string) bool { return z.recordingWrite[orderID] <= z.written }
