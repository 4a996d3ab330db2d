package call

import (
	"net/http"
	"strings"

	"github.com/figshift/figshift/internal/wire"
)

const (
	eventStreamType = "text/event-stream"
	lastEventHeader = "Last-Event-Id"
)

// isEventStream reports whether a response is a stream of events.
func isEventStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
}

// isUnframed reports whether the body of an endpoint's response ends with its connection.
func isUnframed(resp *http.Response) bool {
	return resp.Header.Get(wire.HeaderUnframed) != "" || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1
}

// eventScanner follows a stream of events, of which it tells whether it ends within an event.
type eventScanner struct {
	begun    bool // an event has ended
	pending  bool // a line of the next event has ended
	inLine   bool
	comment  bool // the line is a comment
	afterCR  bool
	resuming bool // the caller holds events already
}

// scan reads the next bytes.
func (s *eventScanner) scan(p []byte) {
	for _, b := range p {
		lineFeed := b == '\n' && s.afterCR
		s.afterCR = b == '\r'
		switch {
		case lineFeed:
		case b != '\n' && b != '\r':
			s.comment = s.inLine && s.comment || !s.inLine && b == ':'
			s.inLine = true
		case s.inLine:
			s.pending = s.pending || !s.comment
			s.inLine = false
		default:
			s.begun = s.begun || s.pending
			s.pending = false
		}
	}
}

// whole reports whether the stream may end here: after an event. One that goes on after the events that the caller holds may
// bring no more.
func (s *eventScanner) whole() bool {
	return !s.inLine && !s.pending && (s.begun || s.resuming)
}
