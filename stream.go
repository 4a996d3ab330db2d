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

// Segment is one part of a generation's answer with the weight version that produced it.
type Segment = wire.Segment

// ErrCut is returned by Stream.Next when the answer ended before it was whole.
var ErrCut = errors.New("answer is not whole")

// Stream is the answer to a Generate. It must not be used concurrently.
type Stream struct {
	body io.ReadCloser
	dec  *json.Decoder
	done bool
}

// Generate starts a generation on the route at path, such as /v1/generate.
// The returned error is an *Error when the service refused.
func (c *Client) Generate(ctx context.Context, path string, req Generate) (*Stream, error) {
	resp, err := c.post(ctx, path, req)
	if err != nil {
		return nil, err
	}
	return &Stream{body: resp.Body, dec: json.NewDecoder(resp.Body)}, nil
}

// Next returns the next segment; the last one has Done set and the token counts, and io.EOF follows it.
// ErrCut means that the answer ended early.
func (s *Stream) Next() (Segment, error) {
	if s.done {
		return Segment{}, io.EOF
	}
	var seg Segment
	if err := s.dec.Decode(&seg); err != nil {
		return Segment{}, ErrCut
	}
	if seg.Error != "" {
		return Segment{}, errors.Wrap(ErrCut, seg.Error)
	}
	s.done = seg.Done
	return seg, nil
}

// Close ends the answer; an unfinished generation is cancelled.
func (s *Stream) Close() error {
	return s.body.Close()
}
