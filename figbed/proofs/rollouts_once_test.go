package proofs

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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
			c := rolloutCluster(t, 3, rolloutSpec(), "--request-rate", test.rate)
			taken := []wire.Lot{takeLot(t, c, daemonURLs(c), 0)}
			if test.sealed {
				waitSealed(t, c, 2)
			}
			before := rolloutLedger(t, c).Lots
			old := dutyHolder(t, c, rolloutDuty, nil)
			old.Kill()
			for n := uint64(1); n < 3; n++ {
				taken = append(taken, takeLot(t, c, otherURLs(c, old), n))
			}
			checkOnce(t, taken...)
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
	c := rolloutCluster(t, 2, rolloutSpec())
	urls := daemonURLs(c)
	takeLot(t, c, urls, 0)
	waitSealed(t, c, 2)
	for _, h := range c.Hosts {
		h.Callers.LimitAnswers(600)
		if r := askLot(c, "http://"+h.Callers.Listen, trainerName, 1); r.err == nil && r.status == http.StatusOK {
			t.Errorf("the answer of %s was not cut", h.Name)
		}
	}
	first := takeLot(t, c, urls[:1], 1)
	second := takeLot(t, c, urls[1:], 1)
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("the same cursor got other bytes: %s", diff)
	}
	third := takeLot(t, c, urls, 2)
	checkOnce(t, first, third)
	if r := askLot(c, urls[0], trainerName, 1); r.kind != kinds.BadCursor {
		t.Errorf("an acknowledged cursor was answered with status %d, kind %q", r.status, r.kind)
	}
}

// TestStoreAnswersLost loses answers of the store to writes of the ledger and of blocks after they took effect.
func TestStoreAnswersLost(t *testing.T) {
	t.Parallel()
	cases := map[string]string{"Ledger": "Duty/" + rolloutDuty, "Blocks": "Blocks/"}
	for name, prefix := range cases {
		t.Run(name, func(t *testing.T) {
			spec := rolloutSpec()
			c := rolloutCluster(t, 2, spec)
			trainRollout(t, c, spec, time.Minute, func(tr *trnr.Trainer) {
				tr.Lots = 6
				tr.Notify = func(wire.Lot) { c.SetFaults(wire.Faults{LoseAnswers: 2, LosePrefix: prefix}) }
			})
		})
	}
}

// TestTwoConsumers has a second trainer ask at every daemon, before and after the holder is killed, and after a release.
func TestTwoConsumers(t *testing.T) {
	t.Parallel()
	c := rolloutCluster(t, 3, rolloutSpec())
	first := takeLot(t, c, daemonURLs(c), 0)
	refused := func(urls []string) {
		t.Helper()
		for _, url := range urls {
			proc.WaitUntil(t, lotBound, "the second consumer is refused", func() bool {
				r := askLot(c, url, "trainer-2", 1)
				if r.status == http.StatusOK {
					t.Fatal("a second consumer was handed a lot")
				}
				return r.kind == kinds.ConsumerHeld
			})
		}
	}
	refused(daemonURLs(c))
	old := dutyHolder(t, c, rolloutDuty, nil)
	old.Kill()
	refused(otherURLs(c, old))
	urls := otherURLs(c, old)
	release := wire.Release{Consumer: trainerName, Cursor: 1}
	if r := callRollout(urls[0], c.Key("North"), wire.CallRelease, release); r.status != http.StatusOK {
		t.Fatalf("the release was answered with status %d: %s", r.status, r.body)
	}
	var second trainerReply
	proc.WaitUntil(t, lotBound, "the second consumer gets the next lot", func() bool {
		second = askLot(c, urls[0], "trainer-2", 1)
		return second.status == http.StatusOK
	})
	checkOnce(t, first, second.lot(t))
	if r := askLot(c, urls[0], trainerName, 1); r.kind != kinds.ConsumerHeld {
		t.Errorf("the former consumer was answered with status %d, kind %q", r.status, r.kind)
	}
}

// TestOtherOrganisation asks with the key of an organisation that does not own the rollout.
func TestOtherOrganisation(t *testing.T) {
	t.Parallel()
	c := rolloutCluster(t, 2, rolloutSpec())
	takeLot(t, c, daemonURLs(c), 0)
	for _, h := range c.Hosts {
		proc.WaitUntil(t, lotBound, h.Name+" refuses another organisation's key", func() bool {
			r := callRollout(h.URL(), c.Key("South"), wire.CallLots, wire.LotAsk{Consumer: trainerName, Cursor: 0})
			if r.status == http.StatusOK {
				t.Fatalf("%s handed a lot to another organisation", h.Name)
			}
			return r.kind == kinds.Forbidden
		})
	}
}
