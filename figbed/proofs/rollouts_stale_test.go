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

// checkStaleness fails the test when a lot has a sample that is older than the rollout's MaxStaleness at the newest
// version.
func checkStaleness(t *testing.T, lot wire.Lot, newest uint64) {
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

// waitSealed waits until the ledger lists a lot as sealed.
func waitSealed(t *testing.T, c *proc.Cluster, lot uint64) {
	t.Helper()
	proc.WaitUntil(t, drill.LotTimeout, "the lot is sealed", func() bool {
		for _, s := range drill.RolloutLedger(t, c).Lots {
			if s.Lot == lot {
				return true
			}
		}
		return false
	})
}

// A version is published that makes a lot stale after it was sealed and before it is handed over. The lot must be
// replaced by a new attempt with fresh samples.
func TestPublishBetweenSealAndHandOver(t *testing.T) {
	t.Parallel()
	c := drill.RunRollout(t, 2, drill.Spec())
	urls := drill.URLs(c)
	first := drill.TakeLot(t, c, urls, 0)
	waitSealed(t, c, 2)
	drill.PublishVersion(t, c, urls, 9)
	second := drill.TakeLot(t, c, urls, 1)
	checkStaleness(t, second, 9)
	drill.CheckNoDuplicates(t, first, second)
	if len(second.Replaces) != 1 || second.Attempt <= second.Replaces[0] {
		t.Errorf("attempt %d of lot 2 replaces %v", second.Attempt, second.Replaces)
	}
}

// The holder of the rollout's duty is suspended, a version is published at its successor, and the former holder is
// resumed with requests for a lot in its socket. It must not hand over a stale lot. Trust.Bound is raised, so that it
// does not refuse the requests for lack of evidence for their key.
func TestHolderSuspendedAcrossAPublish(t *testing.T) {
	t.Parallel()
	cases := map[string]bool{"ResumesAmongPeers": false, "ResumesCutFromPeers": true}
	for name, cut := range cases {
		t.Run(name, func(t *testing.T) {
			c := drill.NewCluster(3, drill.Spec())
			c.Site = func(s *config.Site) { s.Trust.Bound = time.Minute }
			c.Start(t)
			c.CreateRollout(drill.Spec())
			drill.TakeLot(t, c, drill.URLs(c), 0)
			waitSealed(t, c, 2)
			formerHolder := drill.WaitHolderExcept(t, c, drill.RolloutDuty, nil)
			formerHolder.Signal(syscall.SIGSTOP)
			drill.WaitHolderExcept(t, c, drill.RolloutDuty, formerHolder)
			drill.PublishVersion(t, c, drill.OtherURLs(c, formerHolder), 9)
			if cut {
				formerHolder.CutPeers()
			}
			resumeWithPendingRequests(t, c, formerHolder)
			checkStaleness(t, drill.TakeLot(t, c, drill.OtherURLs(c, formerHolder), 1), 9)
		})
	}
}

// resumeWithPendingRequests sends requests for a lot to a suspended daemon, resumes it, and checks any lot that it
// answers with.
func resumeWithPendingRequests(t *testing.T, c *proc.Cluster, formerHolder *proc.Host) {
	t.Helper()
	var requests sync.WaitGroup
	for range 8 {
		requests.Go(func() {
			if r := drill.RequestLot(c, formerHolder.URL(), drill.Trainer, 1); r.Status == http.StatusOK {
				checkStaleness(t, r.Lot(t), 9)
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // lets the requests reach the socket of the suspended process
	formerHolder.Signal(syscall.SIGCONT)
	requests.Wait()
}

// The store is down for longer than the leases. Lots that were sealed ahead must still be handed over, by every daemon
// and each sample once.
func TestSealedLotsInAnOutage(t *testing.T) {
	t.Parallel()
	spec := drill.Spec()
	spec.SealAhead, spec.MaxStaleness = 3, 4
	c := drill.RunRollout(t, 3, spec)
	urls := drill.URLs(c)
	taken := []wire.Lot{drill.TakeLot(t, c, urls, 0)}
	waitSealed(t, c, 4)
	c.SetFaults(wire.Faults{Outage: true})
	time.Sleep(outageBeforeRequest) // longer than the lease, so that no daemon holds the duty
	for n := uint64(1); n < 4; n++ {
		taken = append(taken, drill.TakeLot(t, c, urls, n))
	}
	c.SetFaults(wire.Faults{})
	taken = append(taken, drill.TakeLot(t, c, urls, 4))
	drill.CheckNoDuplicates(t, taken...)
}

// outageBeforeRequest is the time for which the store is down before the trainer requests a lot.
const outageBeforeRequest = 8 * time.Second
