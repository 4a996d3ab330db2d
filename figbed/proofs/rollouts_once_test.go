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

// The holder of the rollout's duty is killed before or after it seals a lot. Its successor must hand over every sample
// only once, and a sealed lot under the attempt under which it was sealed.
func TestHolderKilled(t *testing.T) {
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
			formerHolder := drill.WaitHolderExcept(t, c, drill.RolloutDuty, nil)
			formerHolder.Kill()
			for n := uint64(1); n < 3; n++ {
				taken = append(taken, drill.TakeLot(t, c, drill.OtherURLs(c, formerHolder), n))
			}
			drill.CheckNoDuplicates(t, taken...)
			for _, s := range before {
				if s.Lot == 2 && s.Attempt != taken[1].Attempt {
					t.Errorf("lot 2 was sealed as attempt %d and handed over as %d", s.Attempt, taken[1].Attempt)
				}
			}
		})
	}
}

// The connection is cut in the response that carries a lot. The same cursor must get the same lot again from any daemon,
// until the trainer acknowledges it by asking for the next one.
func TestAnswerToTheTrainerCut(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec())
	urls := drill.URLs(c)
	drill.TakeLot(t, c, urls, 0)
	waitSealed(t, c, 2)
	for _, h := range c.Hosts {
		h.CallerLink.LimitResponses(600)
		if r := drill.RequestLot(c, "http://"+h.CallerLink.Listen, drill.Trainer, 1); r.Err == nil && r.Status == http.StatusOK {
			t.Errorf("the answer of %s was not cut", h.Name)
		}
	}
	first := drill.TakeLot(t, c, urls[:1], 1)
	second := drill.TakeLot(t, c, urls[1:], 1)
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("the same cursor got another lot (-first +second): %s", diff)
	}
	third := drill.TakeLot(t, c, urls, 2)
	drill.CheckNoDuplicates(t, first, third)
	if r := drill.RequestLot(c, urls[0], drill.Trainer, 1); r.Kind != kinds.BadCursor {
		t.Errorf("an acknowledged cursor was answered with status %d, kind %q", r.Status, r.Kind)
	}
}

// The store's responses to writes of the ledger or of blocks are lost after the writes took effect. The trainer must
// still get every lot without a problem.
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

// A second trainer asks every daemon for lots, before and after the holder of the duty is killed. It must be refused
// until the first trainer releases the rollout; then it must get the next lot, and the first one must be refused.
func TestTwoConsumers(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 3, drill.Spec())
	first := drill.TakeLot(t, c, drill.URLs(c), 0)
	waitRefused := func(urls []string) {
		t.Helper()
		for _, url := range urls {
			proc.WaitUntil(t, drill.LotTimeout, "the second consumer is refused", func() bool {
				r := drill.RequestLot(c, url, "trainer-2", 1)
				if r.Status == http.StatusOK {
					t.Fatal("a second consumer was handed a lot")
				}
				return r.Kind == kinds.ConsumerHeld
			})
		}
	}
	waitRefused(drill.URLs(c))
	formerHolder := drill.WaitHolderExcept(t, c, drill.RolloutDuty, nil)
	formerHolder.Kill()
	waitRefused(drill.OtherURLs(c, formerHolder))
	urls := drill.OtherURLs(c, formerHolder)
	release := wire.Release{Consumer: drill.Trainer, Cursor: 1}
	if r := drill.Call(urls[0], c.Key("North"), wire.CallRelease, release); r.Status != http.StatusOK {
		t.Fatalf("the release was answered with status %d: %s", r.Status, r.Body)
	}
	var second drill.Reply
	proc.WaitUntil(t, drill.LotTimeout, "the second consumer gets the next lot", func() bool {
		second = drill.RequestLot(c, urls[0], "trainer-2", 1)
		return second.Status == http.StatusOK
	})
	drill.CheckNoDuplicates(t, first, second.Lot(t))
	if r := drill.RequestLot(c, urls[0], drill.Trainer, 1); r.Kind != kinds.ConsumerHeld {
		t.Errorf("the former consumer was answered with status %d, kind %q", r.Status, r.Kind)
	}
}

// Lots are asked for with the key of an organisation that does not own the rollout. Every daemon must refuse that.
func TestOtherOrganisation(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec())
	drill.TakeLot(t, c, drill.URLs(c), 0)
	for _, h := range c.Hosts {
		proc.WaitUntil(t, drill.LotTimeout, h.Name+" refuses another organisation's key", func() bool {
			r := drill.Call(h.URL(), c.Key("South"), wire.CallLots, wire.LotAsk{Consumer: drill.Trainer, Cursor: 0})
			if r.Status == http.StatusOK {
				t.Fatalf("%s handed a lot to another organisation", h.Name)
			}
			return r.Kind == kinds.Forbidden
		})
	}
}
