// Package reach knows whether this host reaches the endpoints, by its own connections and by what the other hosts say of
// theirs.
package reach

import (
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// Links tells what this host's connections to endpoints are worth.
type Links interface {
	// CutOff reports whether this host reaches hardly any endpoint although other hosts do.
	CutOff(now time.Duration) bool
	// Relays returns the names of the other hosts that reach endpoints and are not stopping, sorted.
	Relays(now time.Duration) []string
	// HostCutOff reports whether another host says that it reaches hardly any endpoint.
	HostCutOff(host string) bool
	// Doubt takes that a connection to an endpoint failed.
	Doubt(now time.Duration, endpoint wire.LeaveMark)
	// Waiting takes that something was sent to an endpoint at the time sent and is not answered yet, although it is late.
	Waiting(sent time.Duration)
}

// Unbroken is Links that are never cut. It is the baseline of Component.
type Unbroken struct{}

// CutOff returns false.
func (Unbroken) CutOff(time.Duration) bool { return false }

// Relays returns nil.
func (Unbroken) Relays(time.Duration) []string { return nil }

// HostCutOff returns false.
func (Unbroken) HostCutOff(string) bool { return false }

// Doubt does nothing.
func (Unbroken) Doubt(time.Duration, wire.LeaveMark) {}

// Waiting does nothing.
func (Unbroken) Waiting(time.Duration) {}
