package proofs

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/wire"
)

func TestTrainerTakesItsLots(t *testing.T) {
	t.Parallel()
	spec := drill.Spec()
	spec.Scorer = "scorer"
	c := drill.RunRollout(t, 2, spec)
	drill.Train(t, c, spec, time.Minute, func(tr *trnr.Trainer) { tr.Lots = 6 })
}

// Two trainers take lots of two rollouts that share the model and its engines, and only one publishes versions. Both
// must get all their lots.
func TestTwoTrainersOfOneModel(t *testing.T) {
	t.Parallel()
	spec := drill.Spec()
	c := drill.RunRollout(t, 3, spec)
	other := spec
	other.Name, other.Organisation = "letters", "South"
	c.CreateRollout(other)
	var both sync.WaitGroup
	both.Go(func() { drill.Train(t, c, spec, time.Minute, func(tr *trnr.Trainer) { tr.Lots = 5 }) })
	both.Go(func() {
		drill.Train(t, c, other, time.Minute, func(tr *trnr.Trainer) { tr.Lots, tr.Publish = 8, false })
	})
	both.Wait()
}

// Two holders in turn are stopped gracefully while a trainer takes lots. They must exit with code 0 within
// holderStopTimeout, and the trainer must get every lot.
func TestHoldersStopGracefully(t *testing.T) {
	t.Parallel()
	spec := drill.Spec()
	c := drill.RunRollout(t, 3, spec)
	var trainer sync.WaitGroup
	trainer.Go(func() {
		drill.Train(t, c, spec, time.Minute, func(tr *trnr.Trainer) { tr.Lots, tr.StepTime = 10, 500*time.Millisecond })
	})
	for range 2 {
		formerHolder := drill.WaitHolderExcept(t, c, drill.RolloutDuty, nil)
		waitSealed(t, c, drill.RolloutLedger(t, c).Acked+1)
		stopped := time.Now()
		formerHolder.Signal(syscall.SIGTERM)
		if code := formerHolder.ExitCode(holderStopTimeout); code != 0 {
			t.Errorf("%s: exit code %d", formerHolder.Name, code)
		}
		next := drill.WaitHolderExcept(t, c, drill.RolloutDuty, formerHolder)
		t.Logf("%s took the duty over from %s %v after the stop", next.Name, formerHolder.Name, time.Since(stopped).Round(time.Millisecond))
	}
	trainer.Wait()
}

const holderStopTimeout = 15 * time.Second

// All cheap engines of a zone are reclaimed while they generate samples. The trainer must get every lot.
func TestZoneReclaimedDuringLots(t *testing.T) {
	t.Parallel()
	spec := drill.Spec()
	c := drill.NewCluster(2, spec, "--request-rate", "40")
	cheap := append([]string{"--price", "Cheap"}, c.Engines[0].Args...)
	for _, name := range []string{"c1", "c2"} {
		c.Engines = append(c.Engines, proc.Endpoint{Name: name, Zone: "b", Args: cheap})
	}
	c.Platform = []string{"--reclaim-notice", "500ms"}
	c.Start(t)
	c.CreateRollout(spec)
	lots := 0
	drill.Train(t, c, spec, time.Minute, func(tr *trnr.Trainer) {
		tr.Lots = 6
		tr.Notify = func(lot wire.Lot) {
			lots++
			if lot.Lot == 2 {
				c.SetFaults(wire.Faults{ReclaimZone: "b"})
			}
		}
	})
	if lots != 6 {
		t.Errorf("%d lots were handed over, want 6", lots)
	}
}
