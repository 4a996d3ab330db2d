// Package call sends requests to endpoints and forwards their responses.
package call

import (
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// Samples supplies the generation request of a sample and receives the response. Its methods are called concurrently.
type Samples interface {
	// Generate returns the request for a sample, false when the sample is no longer known.
	Generate(ref event.SampleRef) (wire.Generate, bool)
	// AppendSegment receives the next segment of the response to a request. Segments arrive in order and once each, also
	// when another attempt resumes the response.
	AppendSegment(ref event.SampleRef, request uint64, segment wire.Segment)
}
