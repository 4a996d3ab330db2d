package figshift

import (
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/wire"
)

// Generate is a generation request.
type Generate = wire.Generate

// Segment is one part of a generation's answer, with the weight version that produced it.
type Segment = wire.Segment

// ErrCut is returned by Stream.Next if the answer ended before it was complete.
var ErrCut = errors.New("answer ended before it was complete")

// Stream is the answer to a Generate call. It must not be used concurrently.
type Stream struct {
	body    io.ReadCloser
	decoder *json.Decoder
	done    bool
}

// Generate starts a generation on the route at path, such as /v1/generate.
// The returned error is an *Error when the service refused.
func (c *Client) Generate(ctx context.Context, path string, req Generate) (*Stream, error) {
	resp, err := c.post(ctx, path, req)
	if err != nil {
		return nil, err
	}
	return &Stream{body: resp.Body, decoder: json.NewDecoder(resp.Body)}, nil
}

// Next returns the next segment. The last one has Done set and carries the token counts; io.EOF follows it. ErrCut
// means that the answer ended early.
func (s *Stream) Next() (Segment, error) {
	if s.done {
		return Segment{}, io.EOF
	}
	var segment Segment
	if err := s.decoder.Decode(&segment); err != nil {
		return Segment{}, ErrCut
	}
	if segment.Error != "" {
		return Segment{}, errors.Wrap(ErrCut, segment.Error)
	}
	s.done = segment.Done
	return segment, nil
}

// Close ends the answer. An unfinished generation is cancelled.
func (s *Stream) Close() error {
	return s.body.Close()
}
