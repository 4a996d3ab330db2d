package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// A call for a score stayed at a silent endpoint until nothing was left of its time. Its first attempt must leave time for another
// endpoint; a caller's request may be answered as late as the caller waits.
func TestOwnCallLeavesASilentEndpoint(t *testing.T) {
	const left = 3 * time.Second
	own := func(path string) event.RequestArrived {
		return event.RequestArrived{Request: 1, Path: path, Tokens: 10, Own: true}
	}
	cases := map[string]struct {
		arrived event.RequestArrived
		want    time.Duration // until the endpoint must have begun to answer, 0 for no bound
		brief   bool
	}{
		"own":                 {own("/public"), left / 3, true},
		"own, not repeatable": {own("/order"), 0, true},
		"a caller's":          {arrival(1, "Ledger", "/lookup"), 0, false},
		"passed on":           {passedArrival(1), 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			c.arrived.Deadline = g.now + time.Millisecond + left
			s := g.startRunning(t, c.arrived)
			want := time.Duration(0)
			if c.want > 0 {
				want = c.arrived.Deadline - left + c.want
			}
			if diff := cmp.Diff([]any{want, c.brief}, []any{s.AnswerBy, s.Brief}); diff != "" {
				t.Errorf("answer by, brief (-want +got):\n%s", diff)
			}
			if want == 0 {
				return
			}
			wantAnswers(t, g.step(attemptDone(s, kinds.Unknown, event.ReasonSilent)))
			next := requireStarted(t, g.advance(200*time.Millisecond))
			if next.Endpoint == s.Endpoint || next.AnswerBy != 0 || !next.Brief || next.Deadline != c.arrived.Deadline {
				t.Errorf("the next attempt is at %s, answer by %v, deadline %v; want another endpoint and all that is left", next.Endpoint, next.AnswerBy, next.Deadline)
			}
		})
	}
}

// An endpoint that is silent to calls of this host's own must be ejected as one whose connections fail.
func TestSilentEndpointIsEjected(t *testing.T) {
	g := newRig()
	g.list(rigEndpoint("a"))
	for i := range uint64(3) {
		s := g.startRunning(t, event.RequestArrived{Request: i + 1, Path: "/order", Tokens: 10, Own: true})
		g.step(attemptDone(s, kinds.Unknown, event.ReasonSilent))
	}
	wantAnswers(t, g.step(arrival(4, "Ledger", "/order")), kinds.NoEndpoint)
}
