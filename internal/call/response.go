package call

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	copyBufferBytes = 32 << 10
	maxBufferedBody = 64 << 10 // bytes; up to this length, an idempotent response is read completely before its head is forwarded
	maxSegmentBytes = 1 << 20  // of one encoded segment, with the empty lines before it
	headerTrue      = "true"
	headerOne       = "1"
)

// handleResponse checks the head of an endpoint's response, posts AttemptHead and forwards or reports the response.
func (a *attempt) handleResponse(resp *http.Response) {
	if !conns.EndsRequest(resp.StatusCode) {
		conns.Abandon(a.conn.Conn) // a whole answer may still come on it
		a.fail(event.ReasonBroken)
		return
	}
	if a.start.Relay != "" {
		a.handleRelayed(resp)
		return
	}
	names := &a.executor.Names
	if !names.IsResponseTo(resp, a.exchange.ID, a.conn.Reused) {
		conns.Abandon(a.conn.Conn) // the response that belongs to the attempt may still come on it
		a.fail(ForeignReason(a.conn.Reused))
		return
	}
	endpoint := wire.LeaveMark{Endpoint: a.start.Endpoint, Incarnation: a.start.Incarnation}
	if answered, ok := names.Answered(endpoint, a.sentAt, resp); ok {
		a.executor.Post(answered)
	}
	leaving := names.leaving(resp.Header)
	a.report.Status, a.report.Leaving = resp.StatusCode, leaving
	a.executor.Post(event.AttemptHead{
		Request: a.start.Request,
		Attempt: a.start.Attempt,
		Status:  resp.StatusCode,
		Load:    names.load(resp.Header),
		Leaving: leaving,
	})
	if names.refused(resp) {
		a.fail(event.ReasonRefused)
		return
	}
	a.forwardAnswer(resp)
}

// forwardAnswer forwards an endpoint's answer, or reports one that another endpoint may replace.
func (a *attempt) forwardAnswer(resp *http.Response) {
	switch {
	case resp.StatusCode >= http.StatusInternalServerError && !a.forwardsErrors():
		a.fail(event.ReasonStatus)
	case a.start.Generation && resp.StatusCode == http.StatusOK:
		a.forwardGeneration(resp)
	case a.exchange.begun:
		a.fail(event.ReasonCut)
	default:
		a.forwardPlain(resp)
	}
}

// forwardsErrors reports whether a 5xx response of the endpoint is forwarded to the requester.
func (a *attempt) forwardsErrors() bool {
	return a.start.PassErrors && !a.exchange.begun && a.start.Sample == nil
}

// forwardPlain forwards a response that is not a generation.
func (a *attempt) forwardPlain(resp *http.Response) {
	buffered, complete, err := a.readShortBody(resp)
	if err != nil {
		a.report.Closed = a.start.Relay == "" && closedByEndpoint(err)
		a.fail(event.ReasonCut)
		return
	}
	a.markBegun()
	if a.exchange.Sink.Head(resp.StatusCode, a.responseHeader(resp)) != nil {
		a.fail(event.ReasonCallerWrite)
		return
	}
	if len(buffered) > 0 {
		a.postBegan(resp)
		if a.exchange.Sink.Body(buffered) != nil {
			a.fail(event.ReasonCallerWrite)
			return
		}
	}
	if !complete && !a.forwardBody(resp) {
		return
	}
	a.exchange.Sink.Trailer(ForwardableHeader(resp.Trailer))
	a.markWhole()
}

// readShortBody reads the complete body of a short idempotent response, so that a truncated one can be retried before
// the requester has received anything.
func (a *attempt) readShortBody(resp *http.Response) (buffered []byte, complete bool, err error) {
	if !a.start.Idempotent || resp.ContentLength < 0 || resp.ContentLength > maxBufferedBody {
		return nil, false, nil
	}
	buffered, err = io.ReadAll(resp.Body)
	return buffered, err == nil, err
}

// responseHeader returns the header fields for the requester. A response that is delimited by the close of the
// connection is forwarded in the same way, since nothing shows whether it is complete.
func (a *attempt) responseHeader(resp *http.Response) http.Header {
	h := ForwardableHeader(resp.Header)
	if isUnframed(resp) {
		h.Set("Transfer-Encoding", "identity")
	}
	return h
}

func (a *attempt) markBegun() {
	a.forwarding.Store(true)
	a.exchange.begun = true
}

// postBegan posts StreamBegan for a stream of events.
func (a *attempt) postBegan(resp *http.Response) {
	if isEventStream(resp) {
		a.executor.Post(event.StreamBegan{Request: a.start.Request, Attempt: a.start.Attempt})
	}
}

// forwardBody forwards the body as it arrives and reports whether it was complete. Of an unframed stream of events, only the
// events tell.
func (a *attempt) forwardBody(resp *http.Response) bool {
	buffer := make([]byte, copyBufferBytes)
	events := eventScanner{resuming: a.exchange.Header.Get(lastEventHeader) != ""}
	checked := isUnframed(resp) && isEventStream(resp)
	for begun := false; ; {
		n, err := resp.Body.Read(buffer)
		if n > 0 && !begun {
			begun = true
			a.postBegan(resp)
		}
		if n > 0 && a.exchange.Sink.Body(buffer[:n]) != nil {
			a.fail(event.ReasonCallerWrite)
			return false
		}
		if checked {
			events.scan(buffer[:n])
		}
		if err == io.EOF && (!checked || events.whole()) {
			return true
		}
		if err != nil {
			a.report.Closed = a.start.Relay == "" && closedByEndpoint(err)
			a.fail(event.ReasonCut)
			return false
		}
	}
}

func (a *attempt) markWhole() {
	a.report.Whole, a.report.Begun, a.report.Run = true, true, kinds.Ran
}

// forwardGeneration forwards the segments of a generation up to the last one. A stream that ends without a last segment
// is reported as cut.
func (a *attempt) forwardGeneration(resp *http.Response) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, copyBufferBytes), maxSegmentBytes)
	for empty := 0; lines.Scan() && empty <= maxSegmentBytes; {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			empty += len(lines.Bytes()) + 1
			continue
		}
		empty = 0
		var s wire.Segment
		if json.Unmarshal(lines.Bytes(), &s) != nil || !a.continues(s) {
			break
		}
		a.markBegun()
		if s.Done {
			a.forwardLastSegment(s)
			return
		}
		if !a.forwardSegment(s) {
			return
		}
	}
	a.exchange.earlierTokens += a.report.GeneratedTokens
	a.report.Closed = closedByEndpoint(lines.Err())
	a.fail(event.ReasonCut)
}

// continues reports whether a segment takes the generation on. One that brings nothing may be any other JSON, and one beyond what
// was asked for belongs to a stream without end, which is not kept until its deadline.
func (a *attempt) continues(s wire.Segment) bool {
	if s.Error != "" || len(s.Tokens) == 0 && !s.Done {
		return false
	}
	return len(a.exchange.forwardedTokens)+len(s.Tokens) <= a.exchange.Generate.MaxTokens
}

func (a *attempt) forwardSegment(s wire.Segment) bool {
	a.countTokens(s)
	if a.exchange.Sink.Segment(s) != nil {
		a.fail(event.ReasonCallerWrite)
		return false
	}
	return true
}

// countTokens records the tokens of a segment and the weight version that made them.
func (a *attempt) countTokens(s wire.Segment) {
	if len(s.Tokens) == 0 {
		return
	}
	a.exchange.forwardedTokens = append(a.exchange.forwardedTokens, s.Tokens...)
	a.report.GeneratedTokens += len(s.Tokens)
	runs := a.report.Versions
	if n := len(runs); n > 0 && runs[n-1].Version == s.Version {
		runs[n-1].Tokens += len(s.Tokens)
		return
	}
	a.report.Versions = append(runs, event.VersionRun{Version: s.Version, Tokens: len(s.Tokens)})
}

// forwardLastSegment forwards the last segment, with the token counts of the response over all attempts.
func (a *attempt) forwardLastSegment(s wire.Segment) {
	a.countTokens(s)
	a.report.PromptTokens, a.report.CachedTokens = s.PromptTokens, s.CachedTokens
	a.report.GeneratedTokens = max(a.report.GeneratedTokens, s.GeneratedTokens)
	a.report.HasUsage = true
	s.GeneratedTokens = a.exchange.earlierTokens + a.report.GeneratedTokens
	if a.exchange.Sink.Segment(s) != nil {
		a.fail(event.ReasonCallerWrite)
		return
	}
	a.markWhole()
}
