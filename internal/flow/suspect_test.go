package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/crash"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// fakeCrashes is a crash.Watch whose verdicts the test sets, by digest. It records what it is told.
type fakeCrashes struct {
	verdicts  map[string]crash.Verdict
	closed    []string // digest@endpoint
	completed []string // digest
}

func (f *fakeCrashes) Verdict(_ time.Duration, id crash.ID) crash.Verdict {
	return f.verdicts[id.Digest]
}

func (f *fakeCrashes) Closed(_ time.Duration, id crash.ID, endpoint wire.LeaveMark, _ time.Duration, _ *event.Batch) {
	f.closed = append(f.closed, id.Organisation+"/"+id.Digest+"@"+endpoint.Endpoint)
}

func (f *fakeCrashes) Completed(_ time.Duration, id crash.ID, _ *event.Batch) {
	f.completed = append(f.completed, id.Organisation+"/"+id.Digest)
}

func newSuspectRig(verdicts map[string]crash.Verdict) (*rig, *fakeCrashes) {
	g, crashes := newRig(), &fakeCrashes{verdicts: verdicts}
	g.component.Crashes = crashes
	g.component.site.Limits.ConcurrencyPerNode = 8
	return g, crashes
}

func arrivalOf(request uint64, digest string) event.RequestArrived {
	a := arrival(request, "Ledger", "/lookup")
	a.Digest = digest
	return a
}

// A request that is given up got to an endpoint again, or its caller waited for the answer.
func TestGivenUpRequestIsAnsweredAtOnce(t *testing.T) {
	g, _ := newSuspectRig(map[string]crash.Verdict{"bad": crash.GivenUp})
	effects := g.step(arrivalOf(1, "bad"))
	wantAnswers(t, effects, kinds.EndpointsCrashed)
	if n := len(effectsOf[event.StartAttempt](effects)); n > 0 {
		t.Errorf("%d attempts", n)
	}
	if a := effectsOf[event.AnswerRequest](effects)[0]; a.RetryAfter != 0 {
		t.Errorf("the caller is told to come back after %v", a.RetryAfter)
	}
}

// A request that is given up while it waits, or after an attempt of its own, must not be sent; and once an endpoint may have
// run it, the answer must not say that it did not run.
func TestGivenUpWhileUnderWay(t *testing.T) {
	g, crashes := newSuspectRig(map[string]crash.Verdict{})
	running := g.startRunning(t, arrivalOf(1, "bad"))
	done := attemptDone(running, kinds.Unknown, event.ReasonBroken)
	done.Closed = true
	wantAnswers(t, g.step(done))
	crashes.verdicts["bad"] = crash.GivenUp
	effects := g.advance(time.Second)
	wantAnswers(t, effects, kinds.OutcomeUnknown)
	if n := len(effectsOf[event.StartAttempt](effects)); n > 0 {
		t.Errorf("%d attempts after the request was given up", n)
	}
	if diff := cmp.Diff([]string{"Ledger/bad@" + running.Endpoint}, crashes.closed); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
}

// Requests that had been beside each other when an endpoint crashed were retried together on the next one, so that the
// innocent ones crashed with the cause again.
func TestSuspectsRunApart(t *testing.T) {
	g, _ := newSuspectRig(map[string]crash.Verdict{"x": crash.Suspect, "y": crash.Suspect, "z": crash.Suspect})
	x := requireStarted(t, g.step(arrivalOf(1, "x")))
	y := requireStarted(t, g.step(arrivalOf(2, "y")))
	if x.Endpoint == y.Endpoint {
		t.Errorf("two suspects run on %s", x.Endpoint)
	}
	if n := len(effectsOf[event.StartAttempt](g.step(arrivalOf(3, "z")))); n > 0 {
		t.Error("a third suspect runs beside another one")
	}
	if n := len(effectsOf[event.StartAttempt](g.step(arrivalOf(4, "x")))); n > 0 {
		t.Error("a suspect runs twice at a time")
	}
	requireStarted(t, g.step(arrivalOf(5, "clear"))) // there is no endpoint without a suspect
	z := requireStarted(t, g.step(attemptDone(y, kinds.Ran, "")))
	if z.Request != 3 || z.Endpoint != y.Endpoint {
		t.Errorf("request %d runs on %s after the suspect there has ended, want 3 on %s", z.Request, z.Endpoint, y.Endpoint)
	}
}

// Only a closed connection to an endpoint that is to stay counts against a request.
func TestWhatCountsAsCrash(t *testing.T) {
	cases := map[string]struct {
		done    func(*event.AttemptDone)
		leaving bool
		closed  int
		whole   int
	}{
		"closed":             {done: func(d *event.AttemptDone) { d.Run, d.Reason, d.Closed = kinds.Unknown, event.ReasonBroken, true }, closed: 1},
		"closed in the body": {done: func(d *event.AttemptDone) { d.Run, d.Reason, d.Closed = kinds.Unknown, event.ReasonCut, true }, closed: 1},
		"silent":             {done: func(d *event.AttemptDone) { d.Run, d.Reason = kinds.Unknown, event.ReasonBroken }},
		"stopped":            {done: func(d *event.AttemptDone) { d.Run, d.Reason, d.Closed = kinds.Unknown, event.ReasonStopped, true }},
		"not connected":      {done: func(d *event.AttemptDone) { d.Reason, d.Closed = event.ReasonDial, true }},
		"said to leave": {done: func(d *event.AttemptDone) {
			d.Run, d.Reason, d.Closed, d.Leaving = kinds.Unknown, event.ReasonCut, true, true
		}},
		"known to leave": {done: func(d *event.AttemptDone) { d.Run, d.Reason, d.Closed = kinds.Unknown, event.ReasonBroken, true }, leaving: true},
		"whole":          {done: func(d *event.AttemptDone) { d.Run, d.Whole = kinds.Ran, true }, whole: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, crashes := newSuspectRig(nil)
			s := g.startRunning(t, arrivalOf(1, "d"))
			if c.leaving {
				g.step(event.DrainEndpoint{Mark: wire.LeaveMark{Endpoint: s.Endpoint, Incarnation: "1"}})
			}
			d := event.AttemptDone{Request: s.Request, Attempt: s.Attempt, Run: kinds.NotRun}
			c.done(&d)
			g.step(d)
			if diff := cmp.Diff([]int{c.closed, c.whole}, []int{len(crashes.closed), len(crashes.completed)}); diff != "" {
				t.Errorf("closed and complete (-want +got):\n%s", diff)
			}
		})
	}
}
