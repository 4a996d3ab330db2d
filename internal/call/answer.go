package call

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	copyBuffer   = 32 << 10
	holdBackMost = 64 << 10 // bytes of an idempotent answer that are read whole before its head is handed on
	lineMost     = 1 << 20  // bytes of one segment
	isTrue       = "true"
)

// answer takes an endpoint's answer from its head on.
func (a *attempt) answer(resp *http.Response) {
	names := &a.x.Names
	if !names.answers(resp, a.exchange.ID) {
		a.end(event.ReasonBroken)
		return
	}
	leaving := names.Leaving != "" && resp.Header.Get(names.Leaving) == isTrue
	a.report.Status, a.report.Leaving = resp.StatusCode, leaving
	a.x.Post(event.AttemptHead{
		Request: a.start.Request,
		Attempt: a.start.Attempt,
		Status:  resp.StatusCode,
		Load:    names.load(resp.Header),
		Leaving: leaving,
	})
	switch {
	case names.refused(resp):
		a.end(event.ReasonRefused)
	case resp.StatusCode >= http.StatusInternalServerError && !a.passes():
		a.end(event.ReasonStatus)
	case a.start.Generation && resp.StatusCode == http.StatusOK:
		a.stream(resp)
	case a.exchange.begun:
		a.end(event.ReasonCut)
	default:
		a.hand(resp)
	}
}

// passes reports whether an endpoint's 5xx answer goes to the requester.
func (a *attempt) passes() bool {
	return a.start.PassErrors && !a.exchange.begun && a.start.Sample == nil
}

// hand hands a plain answer on.
func (a *attempt) hand(resp *http.Response) {
	early, whole, err := a.holdBack(resp)
	if err != nil {
		a.end(event.ReasonCut)
		return
	}
	a.begin()
	if a.exchange.Sink.Head(resp.StatusCode, a.header(resp)) != nil {
		a.end(event.ReasonCaller)
		return
	}
	if len(early) > 0 && a.exchange.Sink.Body(early) != nil {
		a.end(event.ReasonCaller)
		return
	}
	if !whole && !a.copy(resp.Body) {
		return
	}
	a.exchange.Sink.Trailer(Forwardable(resp.Trailer))
	a.whole()
}

// holdBack reads a short idempotent answer whole, so that one that is cut can be tried again unseen.
func (a *attempt) holdBack(resp *http.Response) (early []byte, whole bool, err error) {
	if !a.start.Idempotent || resp.ContentLength < 0 || resp.ContentLength > holdBackMost {
		return nil, false, nil
	}
	early, err = io.ReadAll(resp.Body)
	return early, err == nil, err
}

// header returns the fields that go to the requester. An answer whose end is the connection's end is handed on
// in the same way, since nothing shows whether it is whole.
func (a *attempt) header(resp *http.Response) http.Header {
	h := Forwardable(resp.Header)
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1 {
		h.Set("Transfer-Encoding", "identity")
	}
	return h
}

func (a *attempt) begin() {
	a.handing.Store(true)
	a.exchange.begun = true
}

// copy hands the body on as it comes and reports whether it came whole.
func (a *attempt) copy(body io.Reader) bool {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 && a.exchange.Sink.Body(buffer[:n]) != nil {
			a.end(event.ReasonCaller)
			return false
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			a.end(event.ReasonCut)
			return false
		}
	}
}

func (a *attempt) whole() {
	a.report.Whole, a.report.Begun, a.report.Run = true, true, kinds.Ran
}

// stream hands a generation's segments on until the last one. A stream that ends without it is cut.
func (a *attempt) stream(resp *http.Response) {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, copyBuffer), lineMost)
	for lines.Scan() {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var s wire.Segment
		if json.Unmarshal(lines.Bytes(), &s) != nil || s.Error != "" {
			break
		}
		a.begin()
		if s.Done {
			a.finish(s)
			return
		}
		if !a.segment(s) {
			return
		}
	}
	a.exchange.made += a.report.GeneratedTokens
	a.end(event.ReasonCut)
}

func (a *attempt) segment(s wire.Segment) bool {
	a.count(s)
	if a.exchange.Sink.Segment(s) != nil {
		a.end(event.ReasonCaller)
		return false
	}
	return true
}

// count notes the tokens of a segment and their version.
func (a *attempt) count(s wire.Segment) {
	if len(s.Tokens) == 0 {
		return
	}
	a.exchange.held = append(a.exchange.held, s.Tokens...)
	a.report.GeneratedTokens += len(s.Tokens)
	runs := a.report.Versions
	if n := len(runs); n > 0 && runs[n-1].Version == s.Version {
		runs[n-1].Tokens += len(s.Tokens)
		return
	}
	a.report.Versions = append(runs, event.VersionRun{Version: s.Version, Tokens: len(s.Tokens)})
}

// finish hands the last segment on, with the counts of the whole answer.
func (a *attempt) finish(s wire.Segment) {
	a.count(s)
	a.report.PromptTokens, a.report.CachedTokens = s.PromptTokens, s.CachedTokens
	a.report.GeneratedTokens = max(a.report.GeneratedTokens, s.GeneratedTokens)
	a.report.HasUsage = true
	s.GeneratedTokens = a.exchange.made + a.report.GeneratedTokens
	if a.exchange.Sink.Segment(s) != nil {
		a.end(event.ReasonCaller)
		return
	}
	a.whole()
}
