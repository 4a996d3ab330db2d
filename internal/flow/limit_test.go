package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

// fakeLimits is a limit.Gate whose allowances the test sets. Each request takes one from its endpoint.
type fakeLimits map[string]limit.Allowance

func (f fakeLimits) Allowance(_ time.Duration, endpoint wire.LeaveMark, _ limit.Source) limit.Allowance {
	return f[endpoint.Endpoint]
}

func (f fakeLimits) Take(_ time.Duration, endpoint wire.LeaveMark, _ limit.Source, n int) {
	a := f[endpoint.Endpoint]
	a.Left -= float64(n)
	f[endpoint.Endpoint] = a
}

// Requests went to an endpoint beyond its limit, or waited for it until their deadline.
func TestRequestsKeepToLimits(t *testing.T) {
	cases := map[string]struct {
		limits    fakeLimits
		arrived   event.RequestArrived
		endpoints []string // of the attempts that start at once
		kind      kinds.Kind
	}{
		"one endpoint has no allowance": {
			limits:  fakeLimits{"a": {Limited: true, Left: 0.9, PerSecond: 1}},
			arrived: arrival(1, "Ledger", "/lookup"), endpoints: []string{"b"},
		},
		"the only allowance": {
			limits:  fakeLimits{"a": {Limited: true, PerSecond: 1}, "b": {Limited: true, Left: 1, PerSecond: 1}},
			arrived: arrival(1, "Ledger", "/lookup"), endpoints: []string{"b"},
		},
		"a short wait": {
			limits:  fakeLimits{"a": {Limited: true, PerSecond: 5}, "b": {Limited: true, PerSecond: 5}},
			arrived: arrival(1, "Ledger", "/lookup"),
		},
		"a long wait": {
			limits:  fakeLimits{"a": {Limited: true, PerSecond: 1}, "b": {Limited: true, PerSecond: 1}},
			arrived: arrival(1, "Ledger", "/lookup"), kind: kinds.EndpointsLimited,
		},
		"no share at all": {
			limits:  fakeLimits{"a": {Limited: true}, "b": {Limited: true}},
			arrived: arrival(1, "Ledger", "/lookup"), kind: kinds.EndpointsLimited,
		},
		"a call of our own waits": {
			limits:  fakeLimits{"a": {Limited: true, PerSecond: 1}, "b": {Limited: true, PerSecond: 1}},
			arrived: event.RequestArrived{Request: 1, Path: "/public", Tokens: 10, Own: true},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			g.component.Limits = c.limits
			effects := g.step(c.arrived)
			var endpoints []string
			for _, s := range effectsOf[event.StartAttempt](effects) {
				endpoints = append(endpoints, s.Endpoint)
			}
			if diff := cmp.Diff(c.endpoints, endpoints); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
			answers := effectsOf[event.AnswerRequest](effects)
			if c.kind == "" && len(answers) > 0 {
				t.Errorf("answered with %s", answers[0].Kind)
			}
			if c.kind != "" && (len(answers) != 1 || answers[0].Kind != c.kind || answers[0].RetryAfter <= 0) {
				t.Errorf("answers %+v, want %s at once with a time to wait", answers, c.kind)
			}
		})
	}
}

// Callers that were refused at the same time were told to return at the same time, and long after the limit allows it.
func TestLimitedRetriesAreSpread(t *testing.T) {
	g := newRig()
	g.component.Limits = fakeLimits{"a": {Limited: true, PerSecond: 1}, "b": {Limited: true, PerSecond: 1.5}}
	times := map[time.Duration]bool{}
	for n := range uint64(20) {
		for _, a := range effectsOf[event.AnswerRequest](g.step(arrival(n+1, "Ledger", "/lookup"))) {
			times[a.RetryAfter] = true
			if a.RetryAfter < minLimitRetry/2 || a.RetryAfter > time.Second {
				t.Errorf("Retry-After %v although a request may be sent after 400 ms", a.RetryAfter)
			}
		}
	}
	if len(times) < 15 {
		t.Errorf("20 refusals have %d different times to wait", len(times))
	}
}

// A host that refuses requests because of limits wants a greater share.
func TestRefusedRequestsCountAsWanted(t *testing.T) {
	g := newRig()
	g.component.Limits = fakeLimits{"a": {Limited: true}, "b": {Limited: true}}
	for n := range uint64(4) {
		wantAnswers(t, g.step(arrival(n+1, "Ledger", "/lookup")), kinds.EndpointsLimited)
	}
	a, other := wire.LeaveMark{Endpoint: "a", Incarnation: "1"}, wire.LeaveMark{Endpoint: "a", Incarnation: "2"}
	wants := map[wire.LeaveMark]float64{a: 0, other: 0}
	g.component.AddWants(g.now, wants)
	if wants[a] <= 0 || wants[other] != 0 {
		t.Errorf("wants after four refusals: %v", wants)
	}
}
