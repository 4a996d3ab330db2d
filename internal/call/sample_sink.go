package call

import (
	"net/http"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// sampleSink passes the segments of a sample to Samples.
type sampleSink struct {
	ref     event.SampleRef
	request uint64
	samples Samples
}

// Head returns an error, since a sample is always a generation.
func (s *sampleSink) Head(status int, _ http.Header) error {
	return kinds.New(kinds.EndpointRefused, "status %d in response to a sample, want a generation", status)
}

// Body returns an error, since a sample is always a generation.
func (s *sampleSink) Body([]byte) error {
	return kinds.New(kinds.EndpointRefused, "plain body in response to a sample, want a generation")
}

// Trailer does nothing.
func (s *sampleSink) Trailer(http.Header) {}

// Segment passes on the next segment.
func (s *sampleSink) Segment(segment wire.Segment) error {
	s.samples.AppendSegment(s.ref, s.request, segment)
	return nil
}

// Interrupt does nothing, since Samples.AppendSegment does not block.
func (s *sampleSink) Interrupt() {}
