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

// TestTwoTrainersOfOneModel has two trainers take lots of rollouts that share the engines' model; one publishes.
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

// TestHoldersStopGracefully stops each daemon in turn while a trainer takes lots; all exit cleanly and no lot is lost.
func TestHoldersStopGracefully(t *testing.T) {
	t.Parallel()
	spec := drill.Spec()
	c := drill.RunRollout(t, 3, spec)
	var trainer sync.WaitGroup
	trainer.Go(func() {
		drill.Train(t, c, spec, time.Minute, func(tr *trnr.Trainer) { tr.Lots, tr.StepTime = 10, 500*time.Millisecond })
	})
	for range 2 {
		old := drill.HolderBut(t, c, drill.RolloutDuty, nil)
		waitSealed(t, c, drill.RolloutLedger(t, c).Acked+1)
		stopped := time.Now()
		old.Signal(syscall.SIGTERM)
		if code := old.ExitCode(holderStopBound); code != 0 {
			t.Errorf("%s ended with code %d", old.Name, code)
		}
		next := drill.HolderBut(t, c, drill.RolloutDuty, old)
		t.Logf("%s took the duty over from %s %v after the stop", next.Name, old.Name, time.Since(stopped).Round(time.Millisecond))
	}
	trainer.Wait()
}

const holderStopBound = 15 * time.Second

// TestZoneReclaimedDuringLots takes all cheap engines of a zone away while lots are made on them.
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
		t.Errorf("%d lots came", lots)
	}
}
