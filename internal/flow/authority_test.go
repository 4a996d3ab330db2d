package flow

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
)

func TestEvidence(t *testing.T) {
	g := newRig()
	g.trust.until = g.now
	wantAnswers(t, g.step(arrival(1, "Ledger", "/lookup")), kinds.AuthorityStale)
	if len(pick[event.StartAttempt](g.step(arrival(2, "", "/public")))) != 1 {
		t.Error("an open route needs no evidence")
	}
	g.trust.until = farAhead
	s := started(t, g.step(arrival(3, "Ledger", "/lookup")))
	g.now += 2 * farAhead
	effects := g.step(event.AttemptConnected{Request: 3, Attempt: s.Attempt})
	if len(pick[event.SendAttempt](effects)) != 0 || len(pick[event.StopAttempt](effects)) != 1 {
		t.Error("an attempt was let to write on lapsed evidence")
	}
	wantAnswers(t, g.step(done(s, kinds.NotRun, event.ReasonStopped)), kinds.AuthorityStale)
}

func TestSendBeforeEvidenceLapses(t *testing.T) {
	g := newRig()
	g.trust.until = g.now + time.Second
	s := started(t, g.step(arrival(1, "Ledger", "/lookup")))
	sent := pick[event.SendAttempt](g.step(event.AttemptConnected{Request: 1, Attempt: s.Attempt}))
	want := []event.SendAttempt{{Request: 1, Attempt: s.Attempt, Before: g.trust.until}}
	if diff := cmp.Diff(want, sent); diff != "" {
		t.Error(diff)
	}
}

func TestRunningEndsWhenEvidenceStaysLapsed(t *testing.T) {
	g := newRig()
	s := g.run(t, arrival(1, "Ledger", "/lookup"))
	g.trust.until = g.now
	if len(pick[event.StopAttempt](g.after(0))) != 0 {
		t.Error("ended at once")
	}
	if len(pick[event.StopAttempt](g.after(staleGrace))) != 1 {
		t.Error("not ended")
	}
	d := done(s, kinds.Unknown, event.ReasonStopped)
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
			runs := g.run(t, arrival(1, "Ledger", "/lookup"))
			connects := started(t, g.step(arrival(2, "Ledger", "/lookup")))
			g.step(arrival(3, "Ledger", "/lookup"))
			g.keys.Entries["Ledger"] = entry
			effects := g.step(event.KeysInForce{})
			wantAnswers(t, effects, kinds.KeyWithdrawn)
			if diff := cmp.Diff(2, len(pick[event.StopAttempt](effects))); diff != "" {
				t.Error(diff)
			}
			wantAnswers(t, g.step(done(connects, kinds.NotRun, event.ReasonStopped)), kinds.KeyWithdrawn)
			d := done(runs, kinds.Unknown, event.ReasonStopped)
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
			if diff := cmp.Diff([]event.CallAuthorised{c.want}, pick[event.CallAuthorised](effects)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
