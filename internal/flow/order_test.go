package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// invariantChecker checks the invariants that effects must keep for any order of events.
type invariantChecker struct {
	tb              rapid.TB
	rig             *rig
	activeAttempts  map[uint64]event.StartAttempt // attempts without AttemptDone, by request
	startedAttempts []event.StartAttempt
	answered        map[uint64]bool
	mayHaveRun      map[uint64]bool // requests that an attempt may have run
	leaving         map[wire.LeaveMark]bool
}

func (c *invariantChecker) step(ev event.Event) {
	c.check(c.rig.step(ev))
	own, all, retried := 0, 0, 0
	for _, r := range c.rig.component.requests {
		if r.attempts > 0 && r.phase == queued {
			retried++
		}
	}
	for _, name := range []string{"Ledger", "Andina", ""} {
		own, all = c.rig.component.Queue.Len(name)
		// Requests queued for a retry may exceed the limit.
		if own > c.rig.component.site.Limits.QueuePerOrg+retried {
			c.tb.Fatalf("%d requests of %q are queued, above the limit", own, name)
		}
	}
	if all > c.rig.component.site.Limits.QueuePerDaemon+retried {
		c.tb.Fatalf("%d requests are queued, above the limit", all)
	}
}

func (c *invariantChecker) check(effects []event.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case event.StartAttempt:
			c.checkStart(e)
		case event.AnswerRequest:
			c.checkAnswer(e)
		}
	}
}

func (c *invariantChecker) checkStart(e event.StartAttempt) {
	if _, ok := c.activeAttempts[e.Request]; ok || c.answered[e.Request] {
		c.tb.Fatalf("request %d got an attempt while another one was active or after its answer", e.Request)
	}
	if c.leaving[wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}] {
		c.tb.Fatalf("attempt started at the leaving endpoint %s", e.Endpoint)
	}
	if c.mayHaveRun[e.Request] && !e.Idempotent {
		c.tb.Fatalf("request %d is not idempotent, may have run and was retried", e.Request)
	}
	c.activeAttempts[e.Request] = e
	c.startedAttempts = append(c.startedAttempts, e)
}

func (c *invariantChecker) checkAnswer(e event.AnswerRequest) {
	if c.answered[e.Request] {
		c.tb.Fatalf("request %d was answered twice", e.Request)
	}
	c.answered[e.Request] = true
	if e.Kind != "" && kinds.AnswerFor(e.Kind).Run == kinds.NotRun && c.mayHaveRun[e.Request] {
		c.tb.Fatalf("request %d may have run and was answered with %s", e.Request, e.Kind)
	}
}

// endAttempt steps the end of an attempt and updates the expected state. Ends of earlier attempts may be repeated.
func (c *invariantChecker) endAttempt(d event.AttemptDone) {
	if c.activeAttempts[d.Request].Attempt == d.Attempt {
		delete(c.activeAttempts, d.Request)
		if d.Run != kinds.NotRun {
			c.mayHaveRun[d.Request] = true
		}
	}
	c.step(d)
}

var endReasons = []string{
	"", event.ReasonDial, event.ReasonExpired, event.ReasonRefused, event.ReasonBroken, event.ReasonStatus,
	event.ReasonCut, event.ReasonStopped, event.ReasonCallerWrite, event.ReasonBodyMissing,
}

// drawAttemptDone draws an AttemptDone whose fields are consistent with each other, as those of the executor are.
func drawAttemptDone(rt *rapid.T, s event.StartAttempt) event.AttemptDone {
	d := event.AttemptDone{Request: s.Request, Attempt: s.Attempt, Reason: rapid.SampledFrom(endReasons).Draw(rt, "reason")}
	d.Run = rapid.SampledFrom([]kinds.Run{kinds.NotRun, kinds.Unknown}).Draw(rt, "run")
	d.CanResume = rapid.Bool().Draw(rt, "resume")
	d.Leaving = rapid.IntRange(0, 9).Draw(rt, "leaving") == 0
	switch d.Reason {
	case "":
		d.Run, d.Whole, d.Begun = kinds.Ran, true, true
	case event.ReasonDial, event.ReasonRefused, event.ReasonExpired, event.ReasonBodyMissing:
		d.Run = kinds.NotRun
	case event.ReasonBroken, event.ReasonStatus, event.ReasonCut:
		d.Run = kinds.Unknown
	}
	d.Begun = d.Begun || (d.Run == kinds.Unknown && rapid.Bool().Draw(rt, "begun"))
	return d
}

func TestInvariantsInAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &invariantChecker{
			tb: rt, rig: newRig(), activeAttempts: map[uint64]event.StartAttempt{}, answered: map[uint64]bool{},
			mayHaveRun: map[uint64]bool{}, leaving: map[wire.LeaveMark]bool{},
		}
		requests := uint64(0)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				requests++
				c.step(arrival(requests, rapid.SampledFrom([]string{"Ledger", "Andina", "", "x"}).Draw(rt, "key"),
					rapid.SampledFrom([]string{"/lookup", "/order", "/reconcile", "/public", "/none"}).Draw(rt, "path")))
			},
			"connect": func(rt *rapid.T) {
				if len(c.startedAttempts) > 0 {
					s := rapid.SampledFrom(c.startedAttempts).Draw(rt, "attempt")
					c.step(event.AttemptConnected{Request: s.Request, Attempt: s.Attempt})
				}
			},
			"end": func(rt *rapid.T) {
				if len(c.startedAttempts) > 0 {
					c.endAttempt(drawAttemptDone(rt, rapid.SampledFrom(c.startedAttempts).Draw(rt, "attempt")))
				}
			},
			"time": func(rt *rapid.T) {
				c.check(c.rig.advance(time.Duration(rapid.IntRange(0, 9000).Draw(rt, "ms")) * time.Millisecond))
			},
			"cancel": func(rt *rapid.T) { c.step(event.CancelRequest{Request: rapid.Uint64Range(0, 20).Draw(rt, "id")}) },
			"key": func(rt *rapid.T) {
				state := rapid.SampledFrom([]keys.State{keys.Active, keys.Withdrawn}).Draw(rt, "state")
				c.rig.keys.Entries["Ledger"] = keys.Entry{Organisation: "Ledger", State: state}
				c.step(event.KeysInForce{})
			},
			"trust": func(rt *rapid.T) {
				c.rig.trust.until = c.rig.now + time.Duration(rapid.IntRange(0, 100_000).Draw(rt, "ms"))*time.Millisecond
			},
			"leave": func(rt *rapid.T) {
				mark := wire.LeaveMark{Endpoint: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "endpoint"), Incarnation: fmt.Sprint(requests)}
				c.leaving[mark] = true
				c.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Leaving: []wire.LeaveMark{mark}}})
			},
			"list": func(rt *rapid.T) {
				a, b := rigEndpoint("a"), rigEndpoint("b")
				a.Incarnation = fmt.Sprint(rapid.Uint64Range(0, requests).Draw(rt, "incarnation"))
				a.State = rapid.SampledFrom([]wire.EndpointState{wire.Live, wire.Leaving, wire.Starting}).Draw(rt, "state")
				c.step(event.EndpointsListed{List: wire.EndpointList{Endpoints: []wire.Endpoint{a, b}}})
			},
		})
		c.finishAll(rt)
	})
}

// finishAll ends all attempts and lets all timers fire; no request may remain.
func (c *invariantChecker) finishAll(rt *rapid.T) {
	for range 100 {
		var active []event.StartAttempt
		for _, s := range c.activeAttempts {
			active = append(active, s)
		}
		slices.SortFunc(active, func(a, b event.StartAttempt) int { return int(a.Request) - int(b.Request) })
		for _, s := range active {
			c.endAttempt(drawAttemptDone(rt, s))
		}
		c.check(c.rig.advance(time.Minute))
	}
	if diff := cmp.Diff(0, len(c.rig.component.requests)); diff != "" {
		rt.Fatal("unanswered requests (-want +got):", diff)
	}
}

func TestSameEventsGiveSameEffects(t *testing.T) {
	replay := func() []event.Effect {
		g := newRig()
		var all []event.Effect
		for i := range uint64(200) {
			all = append(all, g.step(arrival(i, []string{"Ledger", "Andina"}[i%2], "/lookup"))...)
			for _, s := range effectsOf[event.StartAttempt](all) {
				if s.Attempt%3 != i%3 {
					all = append(all, g.step(attemptDone(s, kinds.Unknown, event.ReasonBroken))...)
				}
			}
			all = append(all, g.advance(100*time.Millisecond)...)
			all = append(all, g.step(event.StatusAsked{Seq: i})...)
		}
		return all
	}
	if diff := cmp.Diff(replay(), replay()); diff != "" {
		t.Error(diff)
	}
}
