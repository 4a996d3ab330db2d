// Package origin remembers at which software version of a service callers' streams began, on whichever host, so that a
// stream that is taken up again goes on at that version.
package origin

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

// Stream identifies a caller's stream by the id of the attempt that brought its first event.
type Stream struct{ Organisation, ID string }

// Origin is where a stream began.
type Origin struct{ Service, Software string }

// Memory remembers the origins of streams.
type Memory interface {
	// Began takes that the first event of a stream, or of a part of it that was taken up again, is passed on.
	Began(now time.Duration, stream Stream, at Origin, out *event.Batch)
	// Lookup returns the origin of a stream; ok is false when it is not known on this host.
	Lookup(now time.Duration, stream Stream) (at Origin, ok bool)
	// Seek asks other hosts for a stream's origin. It returns false when there is nobody to ask; else
	// event.StreamSought follows, once Lookup knows the origin or no host does.
	Seek(now time.Duration, stream Stream, out *event.Batch) bool
	// Alone reports whether there is no other host at which a stream can have begun.
	Alone() bool
}

// Forgetful is a Memory that knows no stream. It is the baseline of Component.
type Forgetful struct{}

// Began does nothing.
func (Forgetful) Began(time.Duration, Stream, Origin, *event.Batch) {}

// Lookup returns false.
func (Forgetful) Lookup(time.Duration, Stream) (Origin, bool) { return Origin{}, false }

// Alone returns true.
func (Forgetful) Alone() bool { return true }

// Seek returns false.
func (Forgetful) Seek(time.Duration, Stream, *event.Batch) bool { return false }
