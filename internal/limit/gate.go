package limit

import (
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// Source is what sends a request to an endpoint.
type Source int

// The sources of requests to endpoints.
const (
	Requests Source = iota // callers' requests, samples and calls that score texts, with their retries
	Items                  // runs of items
	Orders                 // orders to engines, and the calls that read an engine's state before them
	Polls                  // polls of an endpoint's load
	sourceCount
)

// sourceNames holds the name of each Source in the log.
var sourceNames = [sourceCount]string{Requests: "Requests", Items: "Items", Orders: "Orders", Polls: "Polls"}

// Allowance is what this host may send to an endpoint. The zero value is that of an endpoint without a limit.
type Allowance struct {
	Limited   bool    // the endpoint names a limit; the other fields count only then
	Left      float64 // requests that may be sent now
	PerSecond float64 // this host's share of the limit
}

// Allows reports whether another request may be sent now.
func (a Allowance) Allows() bool { return !a.Limited || a.Left >= 1 }

// Gate decides what may be sent to endpoints. Whatever sends asks Allowance before and calls Take within the same step.
type Gate interface {
	// Allowance returns what this host may send to an endpoint from now on.
	Allowance(now time.Duration, endpoint wire.LeaveMark, source Source) Allowance
	// Take counts n requests that are sent to an endpoint now, or takes them back when n is negative. It may exceed the
	// allowance by less than n.
	Take(now time.Duration, endpoint wire.LeaveMark, source Source, n int)
}

// Unlimited is a Gate that ignores limits. It is the baseline of Component.
type Unlimited struct{}

// Allowance returns that of an endpoint without a limit.
func (Unlimited) Allowance(time.Duration, wire.LeaveMark, Source) Allowance { return Allowance{} }

// Take does nothing.
func (Unlimited) Take(time.Duration, wire.LeaveMark, Source, int) {}
