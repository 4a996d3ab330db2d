// Package crash recognises the requests of callers under which endpoints crash, wherever in the fleet they come, so that
// they are not sent to one endpoint after the other.
package crash

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// ID identifies a request by its content. It is the same for all repeats of a request, whichever host they come to.
type ID struct {
	Organisation string
	Digest       string // as in event.RequestArrived, "" for a request that is never suspected
}

// Verdict is what is known of a request.
type Verdict int

// The verdicts, in the order in which a request gets them.
const (
	Clear   Verdict = iota
	Suspect         // an endpoint crashed while it ran the request, alone or beside others
	GivenUp         // no endpoint gets the request again
)

// Watch decides whether a request may be sent to an endpoint.
type Watch interface {
	// Verdict returns what is known of a request at time now.
	Verdict(now time.Duration, id ID) Verdict
	// Closed takes that an endpoint closed the connection on which it ran a request that was sent at the time sent.
	Closed(now time.Duration, id ID, endpoint wire.LeaveMark, sent time.Duration, out *event.Batch)
	// Completed takes that an endpoint answered a request in full.
	Completed(now time.Duration, id ID, out *event.Batch)
}

// Trusting is a Watch that suspects no request. It is the baseline of Component.
type Trusting struct{}

// Verdict returns Clear.
func (Trusting) Verdict(time.Duration, ID) Verdict { return Clear }

// Closed does nothing.
func (Trusting) Closed(time.Duration, ID, wire.LeaveMark, time.Duration, *event.Batch) {}

// Completed does nothing.
func (Trusting) Completed(time.Duration, ID, *event.Batch) {}
