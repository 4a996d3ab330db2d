// Package fleet orders endpoints to be started and stopped so that each availability zone has as many as package spend
// decides. Each zone has a duty of its own; its holder records every order in a stored ledger before it sends it to the
// platform.
package fleet

import (
	"encoding/json"
	"slices"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// DutyPrefix is the prefix of a zone's duty, followed by the name of the zone.
const DutyPrefix = "Fleet."

// The actions of an order.
const (
	ActionStart = "Start"
	ActionStop  = "Stop"
)

// OrderState is the progress of an order.
type OrderState string

// The states of an order.
const (
	Draining OrderState = "Draining" // a stop that waits until its endpoint has no work
	Intended OrderState = "Intended" // to be sent; may already have been sent
	Accepted OrderState = "Accepted" // accepted by the platform, but its effect is not yet in the platform's list
)

// Order is an order in the ledger. It is recorded before it is first sent, and keeps its OrderID until it is settled,
// that is until the platform's list shows its effect. The platform carries out an OrderID at most once.
type Order struct {
	OrderID     string
	Action      string
	Price       wire.Price
	Endpoint    string // of a stop, and of a start that was accepted
	Incarnation string // of a stop
	State       OrderState
	After       uint64 // revision of the newest list when the order was recorded; lists up to it can't show its effect
}

// Ledger is the stored state of a zone's duty.
type Ledger struct {
	Last   uint64  // number in the newest OrderID
	Listed uint64  // revision of the newest list that settled an order; an older list does not show that order's effect
	Orders []Order // unsettled, oldest first; a stop stays until the platform's list no longer shows its endpoint
}

// Encode returns the JSON encoding of the ledger.
func (l *Ledger) Encode() ([]byte, error) {
	b, err := json.Marshal(l)
	if err != nil {
		return nil, kinds.New(kinds.Internal, "encoding the fleet ledger: %v", err)
	}
	return b, nil
}

// Decode returns the ledger that Encode encoded, or an empty one if b is empty.
func Decode(b []byte) (*Ledger, error) {
	l := &Ledger{}
	if len(b) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(b, l); err != nil {
		return nil, kinds.New(kinds.Internal, "decoding the fleet ledger: %v", err)
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

// stopOrdered reports whether the ledger has an order to stop an endpoint incarnation.
func (l *Ledger) stopOrdered(endpoint, incarnation string) bool {
	return slices.ContainsFunc(l.Orders, func(o Order) bool {
		return o.Action == ActionStop && o.Endpoint == endpoint && o.Incarnation == incarnation
	})
}
