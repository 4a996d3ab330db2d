package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
)

func TestNoAttemptWithoutTrust(t *testing.T) {
	g := newRig()
	g.trust.until = g.now
	wantAnswers(t, g.step(arrival(1, "Ledger", "/lookup")), kinds.AuthorityStale)
	if len(effectsOf[event.StartAttempt](g.step(arrival(2, "", "/public")))) != 1 {
		t.Error("a request on an open route was not sent while the authority is not trusted")
	}
	g.trust.until = initialTrust
	s := requireStarted(t, g.step(arrival(3, "Ledger", "/lookup")))
	g.now += 2 * initialTrust
	effects := g.step(event.AttemptConnected{Request: 3, Attempt: s.Attempt})
	if len(effectsOf[event.SendAttempt](effects)) != 0 || len(effectsOf[event.StopAttempt](effects)) != 1 {
		t.Error("an attempt was allowed to write after trust had lapsed")
	}
	wantAnswers(t, g.step(attemptDone(s, kinds.NotRun, event.ReasonStopped)), kinds.AuthorityStale)
}

func TestSendBeforeTrustLapses(t *testing.T) {
	g := newRig()
	g.trust.until = g.now + time.Second
	s := requireStarted(t, g.step(arrival(1, "Ledger", "/lookup")))
	sent := effectsOf[event.SendAttempt](g.step(event.AttemptConnected{Request: 1, Attempt: s.Attempt}))
	want := []event.SendAttempt{{Request: 1, Attempt: s.Attempt, Before: g.trust.until}}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Error(diff)
	}
}

func TestRunningEndsWhenTrustStaysLapsed(t *testing.T) {
	g := newRig()
	s := g.startRunning(t, arrival(1, "Ledger", "/lookup"))
	g.trust.until = g.now
	if len(effectsOf[event.StopAttempt](g.advance(0))) != 0 {
		t.Error("the running attempt was stopped before the grace period had passed")
	}
	if len(effectsOf[event.StopAttempt](g.advance(staleAnswerGrace))) != 1 {
		t.Error("the running attempt was not stopped after the grace period")
	}
	d := attemptDone(s, kinds.Unknown, event.ReasonStopped)
	d.Begun = true
	wantAnswers(t, g.step(d), kinds.StreamCut)
}

func TestKeyWithdrawn(t *testing.T) {
	for name, entry := range map[string]keys.Entry{
		"withdrawn":          {Organisation: "Ledger", State: keys.Withdrawn},
		"other organisation": {Organisation: "Andina", State: keys.Active},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			running := g.startRunning(t, arrival(1, "Ledger", "/lookup"))
			connecting := requireStarted(t, g.step(arrival(2, "Ledger", "/lookup")))
			g.step(arrival(3, "Ledger", "/lookup"))
			g.keys.Entries["Ledger"] = entry
			effects := g.step(event.KeysInForce{})
			wantAnswers(t, effects, kinds.KeyWithdrawn)
			if diff := cmp.Diff(2, len(effectsOf[event.StopAttempt](effects))); diff != "" {
				t.Error(diff)
			}
			wantAnswers(t, g.step(attemptDone(connecting, kinds.NotRun, event.ReasonStopped)), kinds.KeyWithdrawn)
			d := attemptDone(running, kinds.Unknown, event.ReasonStopped)
			d.Begun = true
			wantAnswers(t, g.step(d), kinds.StreamCut)
		})
	}
}

func TestAuthoriseCall(t *testing.T) {
	g := newRig()
	for name, c := range map[string]struct {
		hash string
		want event.CallAuthorised
	}{
		"active":  {hash: "Ledger", want: event.CallAuthorised{Owner: "o", Seq: 1, Organisation: "Ledger"}},
		"missing": {want: event.CallAuthorised{Owner: "o", Seq: 1, Kind: kinds.KeyMissing}},
		"unknown": {hash: "x", want: event.CallAuthorised{Owner: "o", Seq: 1, Kind: kinds.KeyUnknown}},
	} {
		t.Run(name, func(t *testing.T) {
			effects := g.step(event.AuthoriseCall{Owner: "o", Seq: 1, KeyHash: c.hash})
			if diff := cmp.Diff([]event.CallAuthorised{c.want}, effectsOf[event.CallAuthorised](effects)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
