package call

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// attempt sends a request to one endpoint once and forwards the response.
type attempt struct {
	executor        *Executor
	exchange        *Exchange
	start           event.StartAttempt
	callerCtx       context.Context
	ctx             context.Context
	cancel          context.CancelFunc
	gate            writeGate
	connectedPosted bool // AttemptConnected was posted
	conn            httptrace.GotConnInfo
	sentAt          time.Duration // when the attempt was allowed to write, 0 before
	sendDeadline    chan time.Duration
	forwarding      atomic.Bool // the response is being forwarded
	answerDecided   atomic.Bool // the endpoint has begun to answer, or is silent
	silent          atomic.Bool // the endpoint has not begun to answer in time
	report          event.AttemptDone
}

// runAttempt carries out one attempt and returns its report.
func (x *Executor) runAttempt(ctx context.Context, e *Exchange, c event.StartAttempt) event.AttemptDone {
	a := &attempt{executor: x, exchange: e, start: c, callerCtx: ctx, sendDeadline: make(chan time.Duration, 1)}
	a.ctx, a.cancel = context.WithTimeout(ctx, c.Deadline-x.Now())
	defer a.cancel()
	a.gate.now, a.gate.ctx = x.Now, a.ctx
	if c.AnswerBy > 0 {
		defer time.AfterFunc(c.AnswerBy-x.Now(), a.endSilent).Stop()
	}
	a.report = event.AttemptDone{Request: c.Request, Attempt: c.Attempt, Run: kinds.NotRun}
	defer e.clearCurrent()
	if !e.setCurrent(a) {
		return a.fail(event.ReasonStopped)
	}
	a.roundTrip()
	return a.report
}

// fail completes the report of an attempt that did not forward a whole response. A request of which any byte was written
// may have run.
func (a *attempt) fail(reason string) event.AttemptDone {
	if reason != event.ReasonRefused && a.gate.written.Load() > 0 {
		a.report.Run = kinds.Unknown
	}
	a.report.Reason = a.failureReason(reason)
	a.report.Begun = a.exchange.begun
	a.report.CanResume = a.start.Generation
	return a.report
}

// failureReason replaces reason when the caller's context or the attempt's ended first, so that a cancelled attempt is
// not reported as a failure of the endpoint.
func (a *attempt) failureReason(reason string) string {
	switch {
	case reason == event.ReasonRefused:
		return reason
	case a.callerCtx.Err() != nil:
		return event.ReasonCallerWrite
	case a.silent.Load():
		return event.ReasonSilent
	case a.ctx.Err() != nil && reason != event.ReasonCallerWrite:
		return event.ReasonStopped
	}
	return reason
}

// endSilent ends an attempt whose endpoint has not begun to answer.
func (a *attempt) endSilent() {
	if a.answerDecided.CompareAndSwap(false, true) {
		a.silent.Store(true)
		a.cancel()
	}
}

// allowWrites lets the attempt write if its first byte leaves before deadline.
func (a *attempt) allowWrites(deadline time.Duration) {
	select {
	case a.sendDeadline <- deadline:
	default:
	}
}

func (a *attempt) roundTrip() {
	build := a.newRequest
	if a.start.Relay != "" {
		build = a.newRelayRequest
	}
	req, err := build()
	if kinds.KindOf(err) == kinds.EndpointsUnreached {
		a.fail(event.ReasonDial)
		return
	}
	if err != nil {
		a.fail(event.ReasonBodyMissing)
		return
	}
	resp, err := a.transport().RoundTrip(req)
	if err != nil {
		a.report.Closed = a.start.Relay == "" && closedByEndpoint(err)
		a.fail(a.roundTripReason())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if !a.answerDecided.CompareAndSwap(false, true) {
		a.fail(event.ReasonSilent)
		return
	}
	a.handleResponse(resp)
}

func (a *attempt) transport() *conns.Checked {
	x := a.executor
	switch {
	case a.start.Identify:
		return x.streams
	case a.start.Brief && a.start.Idempotent:
		return x.brief
	case a.start.Brief:
		return x.briefOnce
	case a.start.Idempotent:
		return x.keepAlive
	default:
		return x.singleUse
	}
}

// closedByEndpoint reports whether an error of a connection means that the endpoint, or its host, closed or reset it. A
// connection that fails because nothing is heard any more has another error.
func closedByEndpoint(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func (a *attempt) roundTripReason() string {
	switch {
	case a.gate.written.Load() > 0:
		return event.ReasonBroken
	case a.gate.expired.Load():
		return event.ReasonExpired
	default:
		return event.ReasonDial
	}
}

// newRequest builds the request to the endpoint. It sets no GetBody, so that the transport cannot retry the request.
func (a *attempt) newRequest() (*http.Request, error) {
	body, err := a.requestBody()
	if err != nil {
		return nil, err
	}
	target := a.start.Path
	if target == "" {
		target = a.exchange.Target
	}
	req, err := conns.NewRequest(a.traced(), a.exchange.Method, a.start.Address, target)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	a.setRequestHeader(req)
	return req, nil
}

// traced returns the attempt's context for a request that waits for SendAttempt.
func (a *attempt) traced() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.awaitSend})
}

func (a *attempt) requestBody() ([]byte, error) {
	if !a.start.Generation {
		return a.exchange.Body, nil
	}
	if a.exchange.Generate == nil {
		return nil, kinds.New(kinds.NotFound, "no generation request")
	}
	generate := *a.exchange.Generate
	generate.Model = a.start.Model
	generate.Priority = a.start.Priority
	generate.Held = a.exchange.forwardedTokens
	return json.Marshal(generate)
}

func (a *attempt) setRequestHeader(req *http.Request) {
	req.Header = a.exchange.Header.Clone()
	req.Header.Del("Content-Length")
	req.Header.Del("Expect")
	names := &a.executor.Names
	req.Host = a.exchange.Host
	setIfPresent(req.Header, names.Request, a.exchange.ID)
	setIfPresent(req.Header, names.Attempt, a.executor.Incarnation+"."+strconv.FormatUint(a.start.Attempt, 10))
	setIfPresent(req.Header, names.Organisation, a.start.Organisation)
	setIfPresent(req.Header, names.Expect, a.start.Endpoint)
	setIfPresent(req.Header, names.Deadline, strconv.FormatInt(max(1, (a.start.Deadline-a.executor.Now()).Milliseconds()), 10))
	if a.start.Generation {
		req.Header.Set("Content-Type", "application/json")
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
}

// setIfPresent sets a header field, unless its name or value is empty.
func setIfPresent(h http.Header, name, value string) {
	if name != "" && value != "" {
		h.Set(name, value)
	}
}

// awaitSend posts AttemptConnected and waits for SendAttempt. The transport calls it when it has a connection, before
// it writes.
func (a *attempt) awaitSend(info httptrace.GotConnInfo) {
	a.conn = info
	if c, ok := conns.Inner(info.Conn).(*gatedConn); ok {
		c.gate.Store(&a.gate)
		a.executor.verify(c.Conn, wire.LeaveMark{Endpoint: a.start.Endpoint, Incarnation: a.start.Incarnation})
	}
	if a.connectedPosted {
		return
	}
	a.connectedPosted = true
	a.executor.Post(event.AttemptConnected{Request: a.start.Request, Attempt: a.start.Attempt})
	select {
	case deadline := <-a.sendDeadline:
		a.sentAt = a.executor.Now()
		a.gate.deadline.Store(int64(deadline))
	case <-a.ctx.Done():
	}
}
