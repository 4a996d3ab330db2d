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

// Gate counts what is sent to endpoints.
type Gate interface {
	// Take counts n requests that are sent to an endpoint now.
	Take(now time.Duration, endpoint wire.LeaveMark, source Source, n int)
}

// Unlimited is a Gate that knows no limits.
type Unlimited struct{}

// Take does nothing.
func (Unlimited) Take(time.Duration, wire.LeaveMark, Source, int) {}
