package proofs

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// TestOwnerKilled kills the rollout's holder before and after it seals a lot.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		rate   string
		sealed bool
	}{
		"BeforeSeal": {rate: "10"},
		"AfterSeal":  {rate: "200", sealed: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := drill.RunRollout(t, 3, drill.Spec(), "--request-rate", test.rate)
			taken := []wire.Lot{drill.TakeLot(t, c, drill.URLs(c), 0)}
			if test.sealed {
				waitSealed(t, c, 2)
			}
			before := drill.RolloutLedger(t, c).Lots
			old := drill.HolderBut(t, c, drill.RolloutDuty, nil)
			old.Kill()
			for n := uint64(1); n < 3; n++ {
				taken = append(taken, drill.TakeLot(t, c, drill.OtherURLs(c, old), n))
			}
			drill.CheckOnce(t, taken...)
			for _, s := range before {
				if s.Lot == 2 && s.Attempt != taken[1].Attempt {
					t.Errorf("lot 2 was sealed as attempt %d and handed over as %d", s.Attempt, taken[1].Attempt)
				}
			}
		})
	}
}

// TestAnswerToTheTrainerCut cuts the answer with a lot; the same cursor gets the same bytes again, from any daemon.
func TestAnswerToTheTrainerCut(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec())
	urls := drill.URLs(c)
	drill.TakeLot(t, c, urls, 0)
	waitSealed(t, c, 2)
	for _, h := range c.Hosts {
		h.Callers.LimitAnswers(600)
		if r := drill.AskLot(c, "http://"+h.Callers.Listen, drill.Trainer, 1); r.Err == nil && r.Status == http.StatusOK {
			t.Errorf("the answer of %s was not cut", h.Name)
		}
	}
	first := drill.TakeLot(t, c, urls[:1], 1)
	second := drill.TakeLot(t, c, urls[1:], 1)
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("the same cursor got other bytes: %s", diff)
	}
	third := drill.TakeLot(t, c, urls, 2)
	drill.CheckOnce(t, first, third)
	if r := drill.AskLot(c, urls[0], drill.Trainer, 1); r.Kind != kinds.BadCursor {
		t.Errorf("an acknowledged cursor was answered with status %d, kind %q", r.Status, r.Kind)
	}
}

// TestStoreAnswersLost loses answers of the store to writes of the ledger and of blocks after they took effect.
func TestStoreAnswersLost(t *testing.T) {
	t.Parallel()
	cases := map[string]string{"Ledger": "Duty/" + drill.RolloutDuty, "Blocks": "Blocks/"}
	for name, prefix := range cases {
		t.Run(name, func(t *testing.T) {
			spec := drill.Spec()
			c := drill.RunRollout(t, 2, spec)
			drill.Train(t, c, spec, time.Minute, func(tr *trnr.Trainer) {
				tr.Lots = 6
				tr.Notify = func(wire.Lot) { c.SetFaults(wire.Faults{LoseAnswers: 2, LosePrefix: prefix}) }
			})
		})
	}
}

// TestTwoConsumers has a second trainer ask at every daemon, before and after the holder is killed, and after a release.
func TestTwoConsumers(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 3, drill.Spec())
	first := drill.TakeLot(t, c, drill.URLs(c), 0)
	refused := func(urls []string) {
		t.Helper()
		for _, url := range urls {
			proc.WaitUntil(t, drill.LotBound, "the second consumer is refused", func() bool {
				r := drill.AskLot(c, url, "trainer-2", 1)
				if r.Status == http.StatusOK {
					t.Fatal("a second consumer was handed a lot")
				}
				return r.Kind == kinds.ConsumerHeld
			})
		}
	}
	refused(drill.URLs(c))
	old := drill.HolderBut(t, c, drill.RolloutDuty, nil)
	old.Kill()
	refused(drill.OtherURLs(c, old))
	urls := drill.OtherURLs(c, old)
	release := wire.Release{Consumer: drill.Trainer, Cursor: 1}
	if r := drill.Call(urls[0], c.Key("North"), wire.CallRelease, release); r.Status != http.StatusOK {
		t.Fatalf("the release was answered with status %d: %s", r.Status, r.Body)
	}
	var second drill.Reply
	proc.WaitUntil(t, drill.LotBound, "the second consumer gets the next lot", func() bool {
		second = drill.AskLot(c, urls[0], "trainer-2", 1)
		return second.Status == http.StatusOK
	})
	drill.CheckOnce(t, first, second.Lot(t))
	if r := drill.AskLot(c, urls[0], drill.Trainer, 1); r.Kind != kinds.ConsumerHeld {
		t.Errorf("the former consumer was answered with status %d, kind %q", r.Status, r.Kind)
	}
}

// TestOtherOrganisation asks with the key of an organisation that does not own the rollout.
func TestOtherOrganisation(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec())
	drill.TakeLot(t, c, drill.URLs(c), 0)
	for _, h := range c.Hosts {
		proc.WaitUntil(t, drill.LotBound, h.Name+" refuses another organisation's key", func() bool {
			r := drill.Call(h.URL(), c.Key("South"), wire.CallLots, wire.LotAsk{Consumer: drill.Trainer, Cursor: 0})
			if r.Status == http.StatusOK {
				t.Fatalf("%s handed a lot to another organisation", h.Name)
			}
			return r.Kind == kinds.Forbidden
		})
	}
}
