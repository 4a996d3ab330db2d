// Package call carries out attempts at endpoints.
package call

import (
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// Samples supplies the body of a sample's request and takes its answer. It is called concurrently.
type Samples interface {
	// Generate returns the request for a sample, false when the sample is not known here any more.
	Generate(ref event.SampleRef) (wire.Generate, bool)
	// Answer takes the next segment of a request's answer, in the answer's order and each once,
	// also across a resumed attempt.
	Answer(ref event.SampleRef, request uint64, segment wire.Segment)
}
