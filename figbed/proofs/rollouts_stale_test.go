package proofs

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// checkFresh fails for each sample that is older than the bound at a version.
func checkFresh(t *testing.T, lot wire.Lot, newest uint64) {
	t.Helper()
	for _, s := range lot.Samples {
		for _, v := range s.Versions {
			if v+uint64(drill.Spec().MaxStaleness) < newest {
				t.Errorf("lot %d was handed over with sample %s of version %d at version %d", lot.Lot, s.ID, v, newest)
				return
			}
		}
	}
}

// waitSealed waits until the ledger holds a lot.
func waitSealed(t *testing.T, c *proc.Cluster, lot uint64) {
	t.Helper()
	proc.WaitUntil(t, drill.LotBound, "a lot is sealed ahead", func() bool {
		for _, s := range drill.RolloutLedger(t, c).Lots {
			if s.Lot == lot {
				return true
			}
		}
		return false
	})
}

// TestPublishBetweenSealAndHandOver publishes far ahead of a lot that is sealed and not handed over.
func TestPublishBetweenSealAndHandOver(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec())
	urls := drill.URLs(c)
	first := drill.TakeLot(t, c, urls, 0)
	waitSealed(t, c, 2)
	drill.PublishVersion(t, c, urls, 9)
	second := drill.TakeLot(t, c, urls, 1)
	checkFresh(t, second, 9)
	drill.CheckOnce(t, first, second)
	if len(second.Replaces) != 1 || second.Attempt <= second.Replaces[0] {
		t.Errorf("attempt %d of lot 2 replaces %v", second.Attempt, second.Replaces)
	}
}

// TestOwnerFrozenAcrossAPublish stops the rollout's holder, publishes at its successor, and wakes the holder with
// asks in its socket. The evidence for keys is let grow old, so that it refuses none of them.
func TestOwnerFrozenAcrossAPublish(t *testing.T) {
	t.Parallel()
	cases := map[string]bool{"WakesAmongPeers": false, "WakesCutFromPeers": true}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			c := drill.NewCluster(3, drill.Spec())
			c.Site = func(s *config.Site) { s.Trust.Bound = time.Minute }
			c.Start(t)
			c.CreateRollout(drill.Spec())
			drill.TakeLot(t, c, drill.URLs(c), 0)
			waitSealed(t, c, 2)
			old := drill.HolderBut(t, c, drill.RolloutDuty, nil)
			old.Signal(syscall.SIGSTOP)
			drill.HolderBut(t, c, drill.RolloutDuty, old)
			drill.PublishVersion(t, c, drill.OtherURLs(c, old), 9)
			if cut {
				old.CutPeers()
			}
			wakeWithAsks(t, c, old)
			checkFresh(t, drill.TakeLot(t, c, drill.OtherURLs(c, old), 1), 9)
		})
	}
}

// wakeWithAsks sends asks to a stopped daemon, wakes it and checks what it answers.
func wakeWithAsks(t *testing.T, c *proc.Cluster, old *proc.Host) {
	t.Helper()
	var asks sync.WaitGroup
	for range 8 {
		asks.Go(func() {
			if r := drill.AskLot(c, old.URL(), drill.Trainer, 1); r.Status == http.StatusOK {
				checkFresh(t, r.Lot(t), 9)
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // lets the asks reach the stopped process's socket
	old.Signal(syscall.SIGCONT)
	asks.Wait()
}

// TestSealedLotsInAnOutage has lots sealed ahead handed over while the store is down, by the holder and by another.
func TestSealedLotsInAnOutage(t *testing.T) {
	t.Parallel()
	spec := drill.Spec()
	spec.SealAhead, spec.MaxStaleness = 3, 4
	c := drill.RunRollout(t, 3, spec)
	urls := drill.URLs(c)
	taken := []wire.Lot{drill.TakeLot(t, c, urls, 0)}
	waitSealed(t, c, 4)
	c.SetFaults(wire.Faults{Outage: true})
	time.Sleep(outageBefore) // longer than the lease, so that nobody holds the duty
	for n := uint64(1); n < 4; n++ {
		taken = append(taken, drill.TakeLot(t, c, urls, n))
	}
	c.SetFaults(wire.Faults{})
	taken = append(taken, drill.TakeLot(t, c, urls, 4))
	drill.CheckOnce(t, taken...)
}

// outageBefore is the length of an outage before the trainer asks.
const outageBefore = 8 * time.Second
