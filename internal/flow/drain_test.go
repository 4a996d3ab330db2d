package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// stopRig returns a rig of a host that was told to stop a time ago and has StopTime for it. Its requests are known to run for
// knownRun when that isn't 0.
func stopRig(t *testing.T, ago, knownRun time.Duration) *rig {
	t.Helper()
	g := newRig()
	g.component.Process.StopTime, g.component.Process.BalancerDelay = 7*time.Second, 6*time.Second
	site := rigSite()
	site.Limits.DefaultTimeout = 20 * time.Second
	g.step(event.ConfigInForce{Site: site})
	g.step(event.StopAsked{})
	if knownRun > 0 {
		g.advance(ago - knownRun)
		a := arrival(100, "Ledger", "/order")
		a.Deadline = g.now + 2*knownRun // before the end of the stop
		s := g.startRunning(t, a)
		g.advance(knownRun)
		g.step(attemptDone(s, kinds.Ran, ""))
		return g
	}
	g.advance(ago)
	return g
}

// Requests were sent to an endpoint that could not answer before the process ended, and cut.
func TestRequestThatOutlivesTheStopIsRefused(t *testing.T) {
	const run = 800 * time.Millisecond
	passed := func(idempotent bool) event.RequestArrived {
		return event.RequestArrived{
			Request: 1, Own: true, Organisation: "Ledger", Class: config.Interactive, Tokens: 10, Deadline: time.Minute,
			Pass: &wire.PassTerms{Service: "s", Class: string(config.Interactive), Idempotent: idempotent},
		}
	}
	cases := map[string]struct {
		ago, run time.Duration
		arrived  event.RequestArrived
		refused  bool
	}{
		"early":                        {time.Second, run, arrival(1, "Ledger", "/order"), false},
		"in time":                      {4800 * time.Millisecond, run, arrival(1, "Ledger", "/order"), false},
		"late, once only":              {5200 * time.Millisecond, run, arrival(1, "Ledger", "/order"), true},
		"in time, repeatable":          {5200 * time.Millisecond, run, arrival(1, "Ledger", "/lookup"), false},
		"late, repeatable":             {5800 * time.Millisecond, run, arrival(1, "Ledger", "/lookup"), true},
		"unknown run, once only":       {time.Second, 0, arrival(1, "Ledger", "/order"), true},
		"unknown run, repeatable":      {4 * time.Second, 0, arrival(1, "Ledger", "/lookup"), false},
		"unknown run, repeatable late": {5 * time.Second, 0, arrival(1, "Ledger", "/lookup"), true},
		"passed by another host":       {3800 * time.Millisecond, 2 * time.Second, passed(false), true},
		"passed, repeatable":           {3800 * time.Millisecond, 2 * time.Second, passed(true), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := stopRig(t, c.ago, c.run)
			effects := g.step(c.arrived)
			if !c.refused {
				requireStarted(t, effects)
				return
			}
			wantAnswers(t, effects, kinds.Stopping)
		})
	}
	t.Run("due before the end", func(t *testing.T) {
		g := stopRig(t, 5900*time.Millisecond, run)
		a := arrival(1, "Ledger", "/order")
		a.Deadline = g.now + 1050*time.Millisecond
		requireStarted(t, g.step(a))
	})
}

// A request that waits in the queue, or for its next attempt, while the time that is left passes.
func TestWaitingRequestThatOutlivesTheStopIsRefused(t *testing.T) {
	t.Run("queued", func(t *testing.T) {
		g := stopRig(t, time.Second, 800*time.Millisecond)
		a := g.startRunning(t, arrival(1, "Ledger", "/order"))
		g.startRunning(t, arrival(2, "Ledger", "/order"))
		wantAnswers(t, g.step(arrival(3, "Ledger", "/order")))
		wantAnswers(t, g.advance(5*time.Second), kinds.Stopping)
		if started := effectsOf[event.StartAttempt](g.step(attemptDone(a, kinds.Ran, ""))); len(started) > 0 {
			t.Errorf("%d attempts started", len(started))
		}
	})
	t.Run("retried", func(t *testing.T) {
		g := stopRig(t, time.Second, 800*time.Millisecond)
		s := g.startRunning(t, arrival(1, "Ledger", "/order"))
		g.advance(5 * time.Second)
		wantAnswers(t, g.step(attemptDone(s, kinds.NotRun, event.ReasonRefused)), kinds.EndpointRefused)
	})
}

// Requests that still ran at the end of the stop got no answer at all.
func TestAllRequestsAreAnsweredAtTheEndOfTheStop(t *testing.T) {
	cases := map[string]struct {
		done event.AttemptDone
		want kinds.Kind
	}{
		"may have run": {event.AttemptDone{Run: kinds.Unknown, Reason: event.ReasonStopped}, kinds.OutcomeUnknown},
		"has not run":  {event.AttemptDone{Run: kinds.NotRun, Reason: event.ReasonStopped}, kinds.Stopping},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := stopRig(t, time.Second, 100*time.Millisecond)
			s := g.startRunning(t, arrival(1, "Ledger", "/order"))
			if stopped := effectsOf[event.StopAttempt](g.advance(5900 * time.Millisecond)); len(stopped) > 0 {
				t.Error("the attempt was stopped before the end")
			}
			stopped := effectsOf[event.StopAttempt](g.advance(200 * time.Millisecond))
			if diff := cmp.Diff([]event.StopAttempt{{Request: s.Request, Attempt: s.Attempt}}, stopped); diff != "" {
				t.Errorf("attempts stopped at the end (-want +got):\n%s", diff)
			}
			c.done.Request, c.done.Attempt = s.Request, s.Attempt
			wantAnswers(t, g.step(c.done), c.want)
		})
	}
}
