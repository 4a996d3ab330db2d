package call

import (
	"net/http"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// sampleSink hands a sample's answer to the samples' keeper.
type sampleSink struct {
	ref     event.SampleRef
	request uint64
	samples Samples
}

// Head refuses an answer that is no generation.
func (s *sampleSink) Head(status int, _ http.Header) error {
	return kinds.New(kinds.EndpointRefused, "a sample was answered with status %d", status)
}

// Body refuses an answer that is no generation.
func (s *sampleSink) Body([]byte) error {
	return kinds.New(kinds.EndpointRefused, "a sample was answered with a body")
}

// Trailer does nothing.
func (s *sampleSink) Trailer(http.Header) {}

// Segment hands on the next segment.
func (s *sampleSink) Segment(segment wire.Segment) error {
	s.samples.Answer(s.ref, s.request, segment)
	return nil
}

// Interrupt does nothing, since the keeper does not block.
func (s *sampleSink) Interrupt() {}
