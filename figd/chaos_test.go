package main

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/trace"
	"github.com/figshift/figshift/internal/wire"
)

const (
	chaosQueueLimit  = 20 // Limits.QueuePerDaemon
	chaosConcurrency = 2
	chaosEndpoints   = 3
	maxPastEvents    = 16 // events kept for repetition
	stopSteps        = 20
	withdrawMaxDraw  = 20 // withdrawKey acts when it draws 0 from 0 to withdrawMaxDraw
)

// chaosRequest is what the test driver knows of one request.
type chaosRequest struct {
	idempotent bool
	answers    int
	sends      int  // attempts that were allowed to write
	mayHaveRun bool // an attempt may have run on an endpoint
}

// chaos simulates the environment of one daemon: a store that loses answers, endpoints that fail and peers that send
// messages again. It checks the invariants of requests after each step.
type chaos struct {
	t            *rapid.T
	daemon       *daemon
	now          time.Duration
	store        *fakeStore
	pendingCalls []event.Effect // object and endpoint calls that are not answered yet
	openAttempts []event.StartAttempt
	sent         map[uint64]bool
	pastEvents   []event.Event
	requests     map[uint64]*chaosRequest
	lastRequest  uint64
	recorder     *trace.Writer
}

func chaosSite() *config.Site {
	s := config.Defaults()
	s.Revision = 1
	s.Limits.QueuePerDaemon = chaosQueueLimit
	s.Limits.ConcurrencyPerNode = chaosConcurrency
	s.Organisations["North"] = config.Organisation{Name: "North", Weight: 1}
	s.Organisations["South"] = config.Organisation{Name: "South", Weight: 3}
	s.Routes["lookup"] = config.Route{Name: "lookup", Prefix: "/lookup", Service: "lookup", Class: config.Interactive, Idempotent: true, Timeout: 5 * time.Second}
	s.Routes["write"] = config.Route{Name: "write", Prefix: "/write", Service: "lookup", Class: config.Background, Timeout: 5 * time.Second}
	s.Zones["a"] = config.DefaultZone("a")
	return s
}

func newChaos(t *rapid.T, d *daemon) *chaos {
	return &chaos{t: t, daemon: d, now: time.Second, store: newFakeStore(chaosSite()), sent: map[uint64]bool{}, requests: map[uint64]*chaosRequest{}}
}

// stepReducer steps the reducer once and records the step.
func (c *chaos) stepReducer(now time.Duration, ev event.Event) []event.Effect {
	effects := c.daemon.state.Step(now, ev)
	if c.recorder != nil {
		if err := c.recorder.Add(now, ev, effects); err != nil {
			c.t.Fatal(err)
		}
	}
	return effects
}

// step applies one event, handles its effects and checks the invariants.
func (c *chaos) step(ev event.Event) {
	c.pastEvents = append(c.pastEvents, ev)
	if len(c.pastEvents) > maxPastEvents {
		c.pastEvents = c.pastEvents[1:]
	}
	for _, e := range c.stepReducer(c.now, ev) {
		c.handleEffect(e)
	}
	c.checkInvariants()
}

func (c *chaos) handleEffect(effect event.Effect) {
	switch e := effect.(type) {
	case event.StartAttempt:
		c.openAttempts = append(c.openAttempts, e)
	case event.SendAttempt:
		c.send(e)
	case event.AnswerRequest:
		c.answer(e)
	case event.GetObject, event.PutObject, event.ListObjects, event.WatchObjects, event.ListEndpoints:
		c.pendingCalls = append(c.pendingCalls, e)
	}
}

func (c *chaos) send(e event.SendAttempt) {
	c.sent[e.Attempt] = true
	r := c.requests[e.Request]
	if r == nil {
		c.t.Fatalf("attempt %d belongs to no known request", e.Attempt)
	}
	if !r.idempotent && r.mayHaveRun {
		c.t.Fatalf("request %d is not idempotent and was sent again after an attempt that may have run", e.Request)
	}
	r.sends++
}

func (c *chaos) answer(e event.AnswerRequest) {
	r := c.requests[e.Request]
	if r == nil {
		return // a sample's request, raised by the rollout component
	}
	r.answers++
	if e.Kind != "" && kinds.AnswerFor(e.Kind).Run == kinds.NotRun && r.mayHaveRun && !r.idempotent {
		c.t.Fatalf("request %d is answered %s as not run, but an attempt may have run", e.Request, e.Kind)
	}
}

func (c *chaos) checkInvariants() {
	open := 0
	for id, r := range c.requests {
		if r.answers > 1 {
			c.t.Fatalf("request %d has %d answers", id, r.answers)
		}
		if r.answers == 0 {
			open++
		}
	}
	if maxOpen := chaosQueueLimit + chaosEndpoints*chaosConcurrency; open > maxOpen {
		c.t.Fatalf("%d requests are open, more than %d", open, maxOpen)
	}
}

func (c *chaos) requestArrives() {
	c.lastRequest++
	write := rapid.Bool().Draw(c.t, "write")
	ev := event.RequestArrived{
		Request:  c.lastRequest,
		KeyHash:  rapid.SampledFrom([]string{northKey, northKey, southKey, southKey, southKey, unknownKey, ""}).Draw(c.t, "key"),
		Path:     "/lookup",
		Method:   "POST",
		Tokens:   rapid.IntRange(0, 5000).Draw(c.t, "tokens"),
		Deadline: c.now + time.Duration(rapid.IntRange(500, 9000).Draw(c.t, "deadline"))*time.Millisecond,
	}
	if write {
		ev.Path = "/write"
	}
	c.requests[c.lastRequest] = &chaosRequest{idempotent: !write}
	c.step(ev)
}

// answerCall answers one pending call to the store. The answer may be lost, before or after the call takes effect.
func (c *chaos) answerCall() {
	if len(c.pendingCalls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.pendingCalls)-1).Draw(c.t, "call")
	call := c.pendingCalls[i]
	c.pendingCalls = slices.Delete(c.pendingCalls, i, i+1)
	c.store.endpoints = c.endpoints()
	kind := rapid.SampledFrom([]kinds.Kind{"", "", "", kinds.StoreUnavailable}).Draw(c.t, "kind")
	lost := kind != "" && rapid.Bool().Draw(c.t, "lost before effect")
	c.step(c.store.answer(c.now, call, kind, lost))
}

func (c *chaos) endpoints() []wire.Endpoint {
	var all []wire.Endpoint
	for _, name := range []string{"s1", "s2", "s3"} {
		state := rapid.SampledFrom([]wire.EndpointState{wire.Live, wire.Live, wire.Leaving}).Draw(c.t, "state")
		all = append(all, wire.Endpoint{Name: name, Incarnation: "1", Kind: wire.Service, Service: "lookup", Zone: "a", Address: name, State: state})
	}
	return all
}

// advanceAttempt lets one attempt connect, answer or end, in any order and possibly more than once.
func (c *chaos) advanceAttempt() {
	if len(c.openAttempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.openAttempts)-1).Draw(c.t, "attempt")
	a := c.openAttempts[i]
	switch rapid.IntRange(0, 2).Draw(c.t, "move") {
	case 0:
		c.step(event.AttemptConnected{Request: a.Request, Attempt: a.Attempt})
	case 1:
		c.step(event.AttemptHead{Request: a.Request, Attempt: a.Attempt, Status: 200, Load: rapid.IntRange(-1, 9000).Draw(c.t, "load")})
	case 2:
		c.openAttempts = slices.Delete(c.openAttempts, i, i+1)
		c.endAttempt(a)
	}
}

// attemptEnds are the outcomes that an attempt that was allowed to write may truthfully report.
var attemptEnds = []event.AttemptDone{
	{Run: kinds.Ran, Whole: true, Status: 200},
	{Run: kinds.NotRun, Reason: event.ReasonRefused, Status: 503},
	{Run: kinds.NotRun, Reason: event.ReasonExpired},
	{Run: kinds.Unknown, Reason: event.ReasonBroken},
	{Run: kinds.Unknown, Reason: event.ReasonCut, Begun: true},
	{Run: kinds.Ran, Reason: event.ReasonStatus, Status: 500},
}

func (c *chaos) endAttempt(a event.StartAttempt) {
	ev := event.AttemptDone{Run: kinds.NotRun, Reason: event.ReasonDial}
	if c.sent[a.Attempt] {
		ev = rapid.SampledFrom(attemptEnds).Draw(c.t, "end")
	}
	ev.Request, ev.Attempt = a.Request, a.Attempt
	if ev.Run != kinds.NotRun && c.requests[a.Request] != nil {
		c.requests[a.Request].mayHaveRun = true
	}
	c.step(ev)
	if rapid.Bool().Draw(c.t, "twice") {
		c.step(ev)
	}
}

func (c *chaos) tick() {
	c.now += time.Duration(rapid.IntRange(1, 400).Draw(c.t, "ms")) * time.Millisecond
	c.step(event.Tick{})
}

func (c *chaos) repeatEvent() {
	if len(c.pastEvents) > 0 {
		ev := rapid.SampledFrom(c.pastEvents).Draw(c.t, "past")
		if _, ok := ev.(event.RequestArrived); !ok {
			c.step(ev)
		}
	}
}

func (c *chaos) receiveHeartbeat() {
	host := rapid.SampledFrom([]string{"h2", "h3"}).Draw(c.t, "peer")
	c.step(event.PeerUp{Host: host, Incarnation: "p"})
	b := wire.Beat{
		Seq:            rapid.Uint64Range(1, 50).Draw(c.t, "seq"),
		ConfigRevision: rapid.Uint64Range(0, 2).Draw(c.t, "config"),
		EvidenceAgeMS:  rapid.Int64Range(-1, 4000).Draw(c.t, "evidence"),
		OwnContactMS:   rapid.Int64Range(-1, 4000).Draw(c.t, "contact"),
		Served:         []wire.Served{{Organisation: "North", Tokens: rapid.Uint64().Draw(c.t, "served")}},
		Leaving:        []wire.LeaveMark{{Endpoint: "s1", Incarnation: "1"}},
		Duties:         []wire.DutyHeld{{Duty: "Usage", Epoch: rapid.Uint64Range(0, 9).Draw(c.t, "epoch")}},
	}
	c.step(event.PeerReceived{Host: host, Incarnation: "p", Message: wire.Message{Beat: &b}})
}

func (c *chaos) withdrawKey() {
	if rapid.IntRange(0, withdrawMaxDraw).Draw(c.t, "withdraw") > 0 {
		return
	}
	c.store.write("Keys/a", keyShard(keys.Withdrawn))
}

func (c *chaos) run() {
	now, ready := bootDaemon(c.store, c.now, c.stepReducer)
	if !ready {
		c.t.Fatalf("not ready after %d steps", bootSteps)
	}
	c.now = now
	actions := []func(){c.requestArrives, c.requestArrives, c.answerCall, c.answerCall, c.answerCall, c.advanceAttempt, c.advanceAttempt, c.tick, c.tick, c.repeatEvent, c.receiveHeartbeat, c.withdrawKey}
	steps := rapid.IntRange(20, 400).Draw(c.t, "steps")
	for range steps {
		actions[rapid.IntRange(0, len(actions)-1).Draw(c.t, "action")]()
	}
	if rapid.Bool().Draw(c.t, "stop") {
		c.step(event.StopAsked{})
	}
	for range stopSteps {
		actions[rapid.IntRange(0, len(actions)-1).Draw(c.t, "last action")]()
	}
}
