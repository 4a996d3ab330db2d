package call

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// attempt is one try at a request at one endpoint.
type attempt struct {
	x        *Executor
	exchange *Exchange
	start    event.StartAttempt
	caller   context.Context
	ctx      context.Context
	cancel   context.CancelFunc
	gate     gate
	asked    bool // AttemptConnected was posted
	sent     chan time.Duration
	handing  atomic.Bool // the answer is being handed on
	report   event.AttemptDone
}

// try carries out one attempt and returns how it ended.
func (x *Executor) try(ctx context.Context, e *Exchange, c event.StartAttempt) event.AttemptDone {
	a := &attempt{x: x, exchange: e, start: c, caller: ctx, sent: make(chan time.Duration, 1)}
	a.ctx, a.cancel = context.WithTimeout(ctx, c.Deadline-x.Now())
	defer a.cancel()
	a.gate.now, a.gate.ctx = x.Now, a.ctx
	a.report = event.AttemptDone{Request: c.Request, Attempt: c.Attempt, Run: kinds.NotRun}
	defer e.release()
	if !e.hold(a) {
		return a.end(event.ReasonStopped)
	}
	a.run()
	return a.report
}

// end completes the report. What was written before a failure may have run.
func (a *attempt) end(reason string) event.AttemptDone {
	if reason != event.ReasonRefused && a.gate.written.Load() > 0 {
		a.report.Run = kinds.Unknown
	}
	a.report.Reason = a.cause(reason)
	a.report.Begun = a.exchange.begun
	a.report.CanResume = a.start.Generation
	return a.report
}

// cause tells a failure of the endpoint from an end that was asked for.
func (a *attempt) cause(reason string) string {
	switch {
	case reason == event.ReasonRefused:
		return reason
	case a.caller.Err() != nil:
		return event.ReasonCaller
	case a.ctx.Err() != nil && reason != event.ReasonCaller:
		return event.ReasonStopped
	}
	return reason
}

// allow opens the gate until before.
func (a *attempt) allow(before time.Duration) {
	select {
	case a.sent <- before:
	default:
	}
}

func (a *attempt) run() {
	req, err := a.request()
	if err != nil {
		a.end(event.ReasonGone)
		return
	}
	transport := a.x.reused
	if !a.start.Idempotent {
		transport = a.x.fresh
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.end(a.roundTripReason())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.answer(resp)
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

// request builds the endpoint's request. It has no GetBody, so that the transport cannot repeat it.
func (a *attempt) request() (*http.Request, error) {
	body, err := a.body()
	if err != nil {
		return nil, err
	}
	target := a.start.Path
	if target == "" {
		target = a.exchange.Target
	}
	trace := &httptrace.ClientTrace{GotConn: a.connected}
	ctx := httptrace.WithClientTrace(a.ctx, trace)
	req, err := http.NewRequestWithContext(ctx, a.exchange.Method, "http://"+a.start.Address+target, nil)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
		req.ContentLength = int64(len(body))
	}
	a.setHeader(req)
	return req, nil
}

func (a *attempt) body() ([]byte, error) {
	if !a.start.Generation {
		return a.exchange.Body, nil
	}
	if a.exchange.Generate == nil {
		return nil, kinds.New(kinds.NotFound, "no generation request")
	}
	g := *a.exchange.Generate
	g.Model = a.start.Model
	g.Priority = a.start.Priority
	g.Held = a.exchange.held
	return json.Marshal(g)
}

func (a *attempt) setHeader(req *http.Request) {
	req.Header = a.exchange.Header.Clone()
	req.Header.Del("Content-Length")
	req.Header.Del("Expect")
	names := &a.x.Names
	req.Host = a.exchange.Host
	set(req.Header, names.Request, a.exchange.ID)
	set(req.Header, names.Attempt, a.x.Incarnation+"."+strconv.FormatUint(a.start.Attempt, 10))
	set(req.Header, names.Organisation, a.start.Organisation)
	set(req.Header, names.Expect, a.start.Endpoint)
	set(req.Header, names.Deadline, strconv.FormatInt(max(1, (a.start.Deadline-a.x.Now()).Milliseconds()), 10))
	if a.start.Generation {
		req.Header.Set("Content-Type", "application/json")
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "")
	}
}

// set sets a field that is used and has a value.
func set(h http.Header, name, value string) {
	if name != "" && value != "" {
		h.Set(name, value)
	}
}

// connected asks for leave to write on the connection and waits for it. The transport calls it before it writes.
func (a *attempt) connected(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*gatedConn); ok {
		c.gate.Store(&a.gate)
	}
	if a.asked {
		return
	}
	a.asked = true
	a.x.Post(event.AttemptConnected{Request: a.start.Request, Attempt: a.start.Attempt})
	select {
	case before := <-a.sent:
		a.gate.before.Store(int64(before))
	case <-a.ctx.Done():
	}
}
