package fleet

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	markSpreadTime = 2 * time.Second        // time in which a leave mark reaches every daemon
	minLeaseLeft   = 100 * time.Millisecond // minimum remaining lease time with which orders are sent
	orderTimeout   = 5 * time.Second
	minRetryDelay  = 250 * time.Millisecond
	maxRetryDelay  = 10 * time.Second
	minBackoff     = time.Second
	maxBackoff     = time.Minute
	maxDoublings   = 10
)

// Kinds of refusal in the platform's reply to an order.
const (
	replyNoneToBeHad = "NoneToBeHad" // no endpoint of the price is available
	replyStale       = "Stale"
)

// orderInFlight is an order that was sent at least once under this epoch.
type orderInFlight struct {
	seq     uint64
	tries   int
	retryAt time.Duration
}

// backoff is the growing pause in orders after the platform had no endpoint of a price.
type backoff struct {
	refusals int
	until    time.Duration
}

func (b *backoff) active(now time.Duration) bool { return now < b.until }

func (b *backoff) extend(now time.Duration) {
	b.until = now + min(minBackoff<<min(b.refusals, maxDoublings), maxBackoff)
	b.refusals++
}

func (b *backoff) reset() { *b = backoff{} }

// drainStopping announces the endpoints to be stopped to the daemons. It makes a stop ready to send once its endpoint
// has reported no work since every daemon knows, or once no request can still be running on it.
func (z *zoneTerm) drainStopping(now time.Duration, p *Component, out *event.Batch) {
	for i := range z.ledger.Orders {
		o := &z.ledger.Orders[i]
		if o.State != Draining || !z.isRecorded(o.OrderID) {
			continue
		}
		mark := wire.LeaveMark{Endpoint: o.Endpoint, Incarnation: o.Incarnation}
		if _, raised := z.drainRaised[o.OrderID]; !raised {
			z.drainRaised[o.OrderID] = true
			p.leaving[mark] = now
			z.stateSince[o.OrderID] = now
			out.Raise(event.DrainEndpoint{Mark: mark})
		}
		knownBy := z.stateSince[o.OrderID] + markSpreadTime
		l, known := p.loads[mark]
		idle := known && l.tokens == 0 && l.at >= knownBy
		if idle || now >= knownBy+p.site.LongestRequest() {
			o.State = Intended
			z.recordingWrite[o.OrderID] = z.writeSeq + 1
			z.dirty = true
		}
	}
}

// sendOrders sends each recorded order that is not in flight. An order whose answer was lost is resent under the same
// OrderID, which the platform carries out once.
func (z *zoneTerm) sendOrders(now, until time.Duration, p *Component, out *event.Batch) {
	if until-now < minLeaseLeft {
		return
	}
	for _, o := range z.ledger.Orders {
		if o.State != Intended || !z.isRecorded(o.OrderID) {
			continue
		}
		f := z.inFlight[o.OrderID]
		if f == nil {
			f = &orderInFlight{}
			z.inFlight[o.OrderID] = f
		}
		if now < f.retryAt {
			continue
		}
		p.sendSeq++
		*f = orderInFlight{seq: p.sendSeq, tries: f.tries + 1, retryAt: now + 2*orderTimeout}
		out.Emit(event.SendOrder{Seq: p.sendSeq, Order: z.wireOrder(o, p), Before: min(until, now+orderTimeout)})
	}
}

func (z *zoneTerm) wireOrder(o Order, p *Component) wire.EndpointOrder {
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
	if o.Action == ActionStop {
		w.Endpoint = o.Endpoint
	}
	return w
}

// handleOrderSent handles the outcome of an order.
func (p *Component) handleOrderSent(now time.Duration, e event.OrderSent, out *event.Batch) {
	z := p.zones[e.Order.Zone]
	if z == nil || e.Order.Epoch != z.epoch || e.Order.Duty != DutyPrefix+z.name {
		return
	}
	f := z.inFlight[e.Order.OrderID]
	o := z.ledger.find(e.Order.OrderID)
	if f == nil || o == nil || f.seq != e.Seq {
		return
	}
	if e.Kind != "" {
		z.retryLater(now, f, string(e.Kind), out)
		return
	}
	z.handleReply(now, *o, f, e.Reply, out)
}

// retryLater schedules another send of an order under the same OrderID.
func (z *zoneTerm) retryLater(now time.Duration, f *orderInFlight, reason string, out *event.Batch) {
	f.retryAt = now + min(minRetryDelay<<min(f.tries, maxDoublings), maxRetryDelay)
	out.Emit(event.Count{Name: "EndpointOrderRetried", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
}

func (z *zoneTerm) handleReply(now time.Duration, o Order, f *orderInFlight, reply wire.OrderReply, out *event.Batch) {
	switch {
	case reply.Kind == replyStale:
		z.retryLater(now, f, replyStale, out)
		return
	case reply.Kind == replyNoneToBeHad:
		z.backoffs[o.Price].extend(now)
		out.Emit(event.Log{Level: "warn", Event: "NoneToBeHad", Fields: z.logFields(o)})
		out.Emit(event.Count{Name: "EndpointOrderRefused", Tags: []event.Field{{Key: "Price", Value: string(o.Price)}}, N: 1})
		z.ledger.remove(o.OrderID)
	case o.Action == ActionStart && reply.Accepted:
		z.backoffs[o.Price].reset()
		z.accept(now, o.OrderID, reply.Endpoint)
	case o.Action == ActionStop && (reply.Accepted || reply.Kind == string(kinds.NotFound)):
		z.accept(now, o.OrderID, o.Endpoint)
	default:
		z.retryLater(now, f, "Refused", out)
		return
	}
	delete(z.inFlight, o.OrderID)
	z.dirty = true
}

func (z *zoneTerm) accept(now time.Duration, orderID, endpoint string) {
	o := z.ledger.find(orderID)
	o.State = Accepted
	o.Endpoint = endpoint
	z.stateSince[orderID] = now
}
