// Package fleet orders endpoints to start and stop, one duty for each availability zone.
package fleet

import (
	"encoding/json"
	"slices"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// DutyPrefix is the prefix of the duties' names; the zone's name follows.
const DutyPrefix = "Fleet."

// The actions of an order.
const (
	Start = "Start"
	Stop  = "Stop"
)

// OrderState says how far an order has come.
type OrderState string

// The states of an order.
const (
	Draining OrderState = "Draining" // a stop that waits until its endpoint has no work
	Intended OrderState = "Intended" // to be sent; it may have been sent
	Accepted OrderState = "Accepted" // taken by the platform, not yet shown by its list
)

// Order is one order in the ledger. It is recorded before it is first sent and keeps its OrderID, under which the
// platform carries it out at most once, until it is settled.
type Order struct {
	OrderID     string
	Action      string
	Price       wire.Price
	Endpoint    string // of a stop, and of a start that was accepted
	Incarnation string // of a stop
	State       OrderState
	After       uint64 // revision of the platform's list when the order was made; an older list can't show its effect
}

// Ledger is what a zone's duty keeps. Last is the number of the last OrderID. Orders are the unsettled ones, oldest
// first; a stop stays until the platform's list shows its endpoint no more. Listed is the revision of the newest list
// by which an order was settled: an older one does not show that order's effect.
type Ledger struct {
	Last   uint64
	Listed uint64
	Orders []Order
}

// Encode returns the ledger's JSON form.
func (l *Ledger) Encode() ([]byte, error) {
	b, err := json.Marshal(l)
	if err != nil {
		return nil, kinds.New(kinds.Internal, "fleet ledger: %v", err)
	}
	return b, nil
}

// Decode returns the ledger that Encode gave, and an empty one for no bytes.
func Decode(b []byte) (*Ledger, error) {
	l := &Ledger{}
	if len(b) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(b, l); err != nil {
		return nil, kinds.New(kinds.Internal, "fleet ledger: %v", err)
	}
	return l, nil
}

func (l *Ledger) find(orderID string) *Order {
	for i := range l.Orders {
		if l.Orders[i].OrderID == orderID {
			return &l.Orders[i]
		}
	}
	return nil
}

func (l *Ledger) remove(orderID string) {
	l.Orders = slices.DeleteFunc(l.Orders, func(o Order) bool { return o.OrderID == orderID })
}

// stopped reports whether an order to stop an endpoint incarnation is recorded.
func (l *Ledger) stopped(endpoint, incarnation string) bool {
	return slices.ContainsFunc(l.Orders, func(o Order) bool {
		return o.Action == Stop && o.Endpoint == endpoint && o.Incarnation == incarnation
	})
}
