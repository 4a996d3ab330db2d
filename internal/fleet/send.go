package fleet

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	drainSettle  = 2 * time.Second // until every daemon has the leave mark
	sendMargin   = 100 * time.Millisecond
	sendTimeout  = 5 * time.Second
	firstRetry   = 250 * time.Millisecond
	lastRetry    = 10 * time.Second
	firstBackoff = time.Second
	lastBackoff  = time.Minute
	maxDoubling  = 10
)

// The kinds of the platform's reply to an order.
const (
	replyNoneToBeHad = "NoneToBeHad"
	replyStale       = "Stale"
)

// flight is an order that was sent at least once under this epoch.
type flight struct {
	seq     uint64
	tries   int
	retryAt time.Duration
}

// backoff is the pause after the platform had no endpoint of a price.
type backoff struct {
	refusals int
	until    time.Duration
}

func (b *backoff) active(now time.Duration) bool { return now < b.until }

func (b *backoff) refused(now time.Duration) {
	b.until = now + min(firstBackoff<<min(b.refusals, maxDoubling), lastBackoff)
	b.refusals++
}

func (b *backoff) taken() { *b = backoff{} }

// drain tells the daemons of endpoints that will stop, and turns a stop into an order to send once its endpoint
// has no work left, or once no request can still run on it.
func (z *zone) drain(now time.Duration, p *Part, out *event.Batch) {
	for i := range z.ledger.Orders {
		o := &z.ledger.Orders[i]
		if o.State != Draining || !z.isRecorded(o.OrderID) {
			continue
		}
		id := wire.LeaveMark{Endpoint: o.Endpoint, Incarnation: o.Incarnation}
		if _, told := z.told[o.OrderID]; !told {
			z.told[o.OrderID] = true
			p.leaving[id] = now
			z.since[o.OrderID] = now
			out.Raise(event.DrainEndpoint{Mark: id})
		}
		settled := z.since[o.OrderID] + drainSettle
		l, known := p.loads[id]
		idle := known && l.tokens == 0 && l.at >= settled
		if idle || now >= settled+p.site.LongestRequest() {
			o.State = Intended
			z.recorded[o.OrderID] = z.writeSeq + 1
			z.dirty = true
		}
	}
}

// send sends each recorded order that is not under way. An order whose answer was lost is sent again under the same
// OrderID, which the platform carries out once.
func (z *zone) send(now, until time.Duration, p *Part, out *event.Batch) {
	if until-now < sendMargin {
		return
	}
	for _, o := range z.ledger.Orders {
		if o.State != Intended || !z.isRecorded(o.OrderID) {
			continue
		}
		f := z.flights[o.OrderID]
		if f == nil {
			f = &flight{}
			z.flights[o.OrderID] = f
		}
		if now < f.retryAt {
			continue
		}
		p.seq++
		*f = flight{seq: p.seq, tries: f.tries + 1, retryAt: now + 2*sendTimeout}
		out.Emit(event.SendOrder{Seq: p.seq, Order: z.wireOrder(o, p), Before: min(until, now+sendTimeout)})
	}
}

func (z *zone) wireOrder(o Order, p *Part) wire.EndpointOrder {
	w := wire.EndpointOrder{
		OrderID: o.OrderID,
		Duty:    DutyPrefix + z.name,
		Holder:  p.Host,
		Epoch:   z.epoch,
		Action:  o.Action,
		Zone:    z.name,
		Price:   o.Price,
		Kind:    wire.Engine,
		Model:   p.site.Zones[z.name].Model,
	}
	if o.Action == Stop {
		w.Endpoint = o.Endpoint
	}
	return w
}

// sent takes the outcome of an order.
func (p *Part) sent(now time.Duration, e event.OrderSent, out *event.Batch) {
	z := p.zones[e.Order.Zone]
	if z == nil || e.Order.Epoch != z.epoch || e.Order.Duty != DutyPrefix+z.name {
		return
	}
	f := z.flights[e.Order.OrderID]
	o := z.ledger.find(e.Order.OrderID)
	if f == nil || o == nil || f.seq != e.Seq {
		return
	}
	if e.Kind != "" {
		z.again(now, f, string(e.Kind), out)
		return
	}
	z.replied(now, *o, f, e.Reply, out)
}

// again keeps an order for another send of the same OrderID.
func (z *zone) again(now time.Duration, f *flight, reason string, out *event.Batch) {
	f.retryAt = now + min(firstRetry<<min(f.tries, maxDoubling), lastRetry)
	out.Emit(event.Count{Name: "EndpointOrderRetried", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
}

func (z *zone) replied(now time.Duration, o Order, f *flight, reply wire.OrderReply, out *event.Batch) {
	switch {
	case reply.Kind == replyStale:
		z.again(now, f, replyStale, out)
		return
	case reply.Kind == replyNoneToBeHad:
		z.backoffs[o.Price].refused(now)
		out.Emit(event.Log{Level: "warn", Event: "NoneToBeHad", Fields: z.fields(o)})
		out.Emit(event.Count{Name: "EndpointOrderRefused", Tags: []event.Field{{Key: "Price", Value: string(o.Price)}}, N: 1})
		z.ledger.remove(o.OrderID)
	case o.Action == Start && reply.Accepted:
		z.backoffs[o.Price].taken()
		z.accept(now, o.OrderID, reply.Endpoint)
	case o.Action == Stop && (reply.Accepted || reply.Kind == string(kinds.NotFound)):
		z.accept(now, o.OrderID, o.Endpoint)
	default:
		z.again(now, f, "Refused", out)
		return
	}
	delete(z.flights, o.OrderID)
	z.dirty = true
}

func (z *zone) accept(now time.Duration, orderID, endpoint string) {
	o := z.ledger.find(orderID)
	o.State = Accepted
	o.Endpoint = endpoint
	z.since[orderID] = now
}
