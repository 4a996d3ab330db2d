package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reach"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// fakeLinks are reach.Links of which the test decides what they reach.
type fakeLinks struct {
	reach.Unbroken
	cutOff bool
	relays []string
	doubts int
}

func (f *fakeLinks) CutOff(time.Duration) bool           { return f.cutOff }
func (f *fakeLinks) Relays(time.Duration) []string       { return f.relays }
func (f *fakeLinks) Doubt(time.Duration, wire.LeaveMark) { f.doubts++ }

func newLinksRig(cutOff bool, relays ...string) (*rig, *fakeLinks) {
	g := newRig()
	links := &fakeLinks{cutOff: cutOff, relays: relays}
	g.component.Links = links
	return g, links
}

// cut tells the rig that its host is cut off.
func (g *rig) cut(links *fakeLinks, relays ...string) []event.Effect {
	links.cutOff, links.relays = true, relays
	return g.step(event.LinksChanged{CutOff: true})
}

// Requests at a host that had lost its links were sent to one endpoint after the other, although other hosts reached them.
func TestCutOffHostPassesRequestsOn(t *testing.T) {
	g, _ := newLinksRig(true, "h2", "h3")
	count := map[string]int{}
	for n := range 4 {
		s := requireStarted(t, g.step(arrival(uint64(n+1), "Ledger", "/lookup")))
		count[s.Relay]++
		if s.Endpoint != "" || s.Address != "" {
			t.Errorf("the attempt is made at %q", s.Endpoint)
		}
		want := &wire.PassTerms{Service: "s", Class: "Interactive", Idempotent: true, Tokens: 10}
		if diff := cmp.Diff(want, s.Pass); diff != "" {
			t.Errorf("terms (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff("Ledger", s.Organisation); diff != "" {
			t.Error(diff)
		}
	}
	if diff := cmp.Diff(map[string]int{"h2": 2, "h3": 2}, count); diff != "" {
		t.Errorf("calls by relay (-want +got):\n%s", diff)
	}
}

// What the other host, or a broken path to it, says of the run decides whether a request is tried again.
func TestPassedRequestRunsOnce(t *testing.T) {
	cases := map[string]struct {
		path   string
		run    kinds.Run
		reason string
		again  bool
		kind   kinds.Kind
	}{
		"RefusedNotRun":              {"/order", kinds.NotRun, event.ReasonRefused, true, ""},
		"NoPath":                     {"/order", kinds.NotRun, event.ReasonDial, true, ""},
		"BrokenPath":                 {"/order", kinds.Unknown, event.ReasonBroken, false, kinds.OutcomeUnknown},
		"BrokenPathMayRepeat":        {"/lookup", kinds.Unknown, event.ReasonBroken, true, ""},
		"CutAnswer":                  {"/order", kinds.Unknown, event.ReasonCut, false, kinds.StreamCut},
		"RefusedNotRunMayBeRepeated": {"/lookup", kinds.NotRun, event.ReasonRefused, true, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, links := newLinksRig(true, "h2", "h3")
			s := g.startRunning(t, arrival(1, "Ledger", c.path))
			done := attemptDone(s, c.run, c.reason)
			done.Begun = c.reason == event.ReasonCut
			effects := append(g.step(done), g.advance(time.Second)...)
			if !c.again {
				wantAnswers(t, effects, c.kind)
				return
			}
			if next := requireStarted(t, effects); next.Relay == s.Relay || next.Relay == "" {
				t.Errorf("tried again through %q after %q", next.Relay, s.Relay)
			}
			if links.doubts > 0 {
				t.Error("a failure of another host counts against the endpoints")
			}
		})
	}
}

// A request that was passed on was refused where one that arrives at a host with links waits for an endpoint to come back, and
// tried again where none was left at first.
func TestPassedRequestWaitsLikeOthers(t *testing.T) {
	g, _ := newLinksRig(true, "h2", "h3")
	s := g.startRunning(t, arrival(1, "Ledger", "/lookup"))
	none := attemptDone(s, kinds.NotRun, event.ReasonRefused)
	none.Refusal = kinds.NoEndpoint
	wantAnswers(t, g.step(none), kinds.NoEndpoint)
	s = g.startRunning(t, arrival(2, "Ledger", "/lookup"))
	effects := append(g.step(attemptDone(s, kinds.Unknown, event.ReasonBroken)), g.advance(time.Second)...)
	if again := requireStarted(t, effects); !again.Pass.Again {
		t.Error("the second attempt doesn't say so")
	}
	other := newRig()
	other.list()
	passed := passedArrival(1)
	wantAnswers(t, other.step(passed), kinds.NoEndpoint)
	passed = passedArrival(2)
	passed.Pass.Again = true
	wantAnswers(t, other.step(passed))
	requireStarted(t, other.list(rigEndpoint("a")))
}

// A host that takes no calls answered at once, so that it had the fewest of them and got each next one; and the refusals used
// up the budget for retries.
func TestHostThatTakesNoCallsIsPassedBy(t *testing.T) {
	for name, done := range map[string]event.AttemptDone{
		"Stopping": {Reason: event.ReasonRefused, Refusal: kinds.Stopping}, "CutOffToo": {Reason: event.ReasonRefused, Refusal: kinds.EndpointsUnreached},
		"Gone": {Reason: event.ReasonDial}, "OtherSecret": {Reason: event.ReasonRefused},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newLinksRig(true, "h2", "h3")
			refused := 0
			for n := range uint64(40) {
				effects := g.step(arrival(n+1, "Ledger", "/order"))
				for {
					started := effectsOf[event.StartAttempt](effects)
					if len(started) == 0 {
						break
					}
					s := started[0]
					if s.Relay == "h3" {
						g.step(attemptDone(s, kinds.Ran, ""))
						break
					}
					refused++
					end := done
					end.Request, end.Attempt, end.Run = s.Request, s.Attempt, kinds.NotRun
					effects = g.step(end)
					if answers := effectsOf[event.AnswerRequest](effects); len(answers) > 0 {
						t.Fatalf("request %d: %v although h3 takes calls", n, answers)
					}
				}
			}
			if refused != 1 {
				t.Errorf("%d of 40 calls went to the host that takes none, want one", refused)
			}
		})
	}
}

// Requests that were under way when a host lost its links waited for their own deadline.
func TestRequestsUnderWayAreRerouted(t *testing.T) {
	cases := map[string]struct {
		path             string
		sent, head, want bool
	}{
		"Repeatable":              {"/lookup", true, false, true},
		"NotSentYet":              {"/order", false, false, true},
		"SentAndRunsOnce":         {"/order", true, false, false},
		"AnswerHasBegun":          {"/lookup", true, true, false},
		"RepeatableAndNotSentYet": {"/lookup", false, false, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, links := newLinksRig(false)
			s := requireStarted(t, g.step(arrival(1, "Ledger", c.path)))
			if c.sent {
				g.step(event.AttemptConnected{Request: s.Request, Attempt: s.Attempt})
			}
			if c.head {
				g.step(event.AttemptHead{Request: s.Request, Attempt: s.Attempt, Status: 200, Load: -1})
			}
			stopped := effectsOf[event.StopAttempt](g.cut(links, "h2"))
			if (len(stopped) == 1) != c.want {
				t.Fatalf("%d attempts stopped, want one: %v", len(stopped), c.want)
			}
			if !c.want {
				return
			}
			run := kinds.NotRun
			if c.sent {
				run = kinds.Unknown
			}
			if next := requireStarted(t, g.step(attemptDone(s, run, event.ReasonStopped))); next.Relay != "h2" {
				t.Errorf("the request goes on through %q, want h2", next.Relay)
			}
		})
	}
}

func passedArrival(request uint64) event.RequestArrived {
	return event.RequestArrived{
		Request: request, ID: "id", Path: "/lookup", Method: "POST", Own: true, Organisation: "Ledger", Class: "Interactive", Tokens: 10, Deadline: time.Minute,
		Pass: &wire.PassTerms{Service: "s", Class: "Interactive", Idempotent: true, Tokens: 10},
	}
}

// A call that was passed on went on to a third host, was tried more than once or was counted at both hosts.
func TestPassedCallIsTriedOnceHere(t *testing.T) {
	g, links := newLinksRig(false)
	s := g.startRunning(t, passedArrival(1))
	if s.Endpoint == "" || s.Organisation != "Ledger" || !s.PassErrors {
		t.Errorf("attempt %+v", s)
	}
	wantAnswers(t, g.step(attemptDone(s, kinds.Unknown, event.ReasonBroken)), kinds.OutcomeUnknown)
	s = g.startRunning(t, passedArrival(2))
	effects := g.step(attemptDone(s, kinds.Ran, ""))
	wantAnswers(t, effects, "")
	if served := g.component.servedTokens.Changes(g.now); len(served) > 0 {
		t.Errorf("tokens served: %v", served)
	}
	g.cut(links, "h2")
	wantAnswers(t, g.step(passedArrival(3)), kinds.EndpointsUnreached)
}

// A call that was passed on to a host that then lost its links itself waited for its deadline.
func TestPassedCallEndsWithTheLinks(t *testing.T) {
	g, links := newLinksRig(false)
	s := requireStarted(t, g.step(passedArrival(1)))
	if stopped := effectsOf[event.StopAttempt](g.cut(links, "h2")); len(stopped) != 1 {
		t.Fatalf("%d attempts stopped, want 1", len(stopped))
	}
	wantAnswers(t, g.step(attemptDone(s, kinds.NotRun, event.ReasonStopped)), kinds.EndpointsUnreached)
}

// Endpoints stayed ejected after the links were back, since the host took its links' failures for theirs.
func TestFailuresOfLinksAreForgotten(t *testing.T) {
	g, links := newLinksRig(false)
	for n := range uint64(8) {
		effects := g.step(arrival(n+1, "Ledger", "/order"))
		for _, s := range effectsOf[event.StartAttempt](effects) {
			g.step(attemptDone(s, kinds.Unknown, event.ReasonBroken))
		}
	}
	wantAnswers(t, g.step(arrival(20, "Ledger", "/order")), kinds.NoEndpoint)
	g.cut(links, "h2")
	links.cutOff = false
	g.step(event.LinksChanged{})
	requireStarted(t, g.step(arrival(21, "Ledger", "/order")))
}

// A stream that is taken up at a host without links must go on at its version through another host.
func TestResumedStreamIsPassedOn(t *testing.T) {
	g, _ := newStreamRig(softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2"))
	g.component.Links = &fakeLinks{cutOff: true, relays: []string{"h2"}}
	s := requireStarted(t, g.step(resumed(1, "first")))
	want := &wire.PassTerms{Service: "s", Class: "Interactive", Streaming: true, Bound: true, Software: "v1", Resumes: "first", Tokens: 10}
	if diff := cmp.Diff(want, s.Pass); diff != "" || s.Relay != "h2" {
		t.Errorf("through %q, terms (-want +got):\n%s", s.Relay, diff)
	}
	other, _ := newStreamRig(softwareEndpoint("a", "v1"), softwareEndpoint("b", "v2"))
	passed := passedArrival(1)
	passed.Pass, passed.LastEvent = want, "5"
	if got := requireStarted(t, other.step(passed)); got.Endpoint != "a" {
		t.Errorf("the other host sends it to %s, want a", got.Endpoint)
	}
}

// An answer to another request counted as a failure of its endpoint and as a doubt of this host's links. It only leaves open
// whether the request ran.
func TestForeignAnswerIsNoFailureOfTheEndpoint(t *testing.T) {
	cases := map[string]struct {
		path  string
		again int
		kinds []kinds.Kind
	}{
		"idempotent":     {"/lookup", 1, nil},
		"not idempotent": {"/order", 0, []kinds.Kind{kinds.OutcomeUnknown}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, links := newLinksRig(false)
			s := g.startRunning(t, arrival(1, "Ledger", c.path))
			effects := g.step(attemptDone(s, kinds.Unknown, event.ReasonForeign))
			wantAnswers(t, effects, c.kinds...)
			if links.doubts > 0 {
				t.Error("the host doubts its links")
			}
			if diff := cmp.Diff(c.again, len(effectsOf[event.StartAttempt](g.advance(time.Second)))); diff != "" {
				t.Errorf("further attempts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(route.Inconclusive, attemptResult(attemptDone(s, kinds.Unknown, event.ReasonForeign))); diff != "" {
				t.Errorf("what the attempt shows of its endpoint (-want +got):\n%s", diff)
			}
		})
	}
}
