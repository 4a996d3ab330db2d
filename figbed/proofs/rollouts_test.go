package proofs

import (
	"sync"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/trnr"
)

func TestTrainerTakesItsLots(t *testing.T) {
	spec := rolloutSpec()
	spec.Scorer = "scorer"
	c := rolloutCluster(t, 2, spec)
	trainRollout(t, c, spec, time.Minute, func(tr *trnr.Trainer) { tr.Lots = 6 })
}

// TestTwoTrainersOfOneModel has two trainers take lots of rollouts that share the engines' model; one publishes.
func TestTwoTrainersOfOneModel(t *testing.T) {
	spec := rolloutSpec()
	c := rolloutCluster(t, 3, spec)
	other := spec
	other.Name, other.Organisation = "letters", "South"
	c.CreateRollout(other)
	var both sync.WaitGroup
	both.Go(func() { trainRollout(t, c, spec, time.Minute, func(tr *trnr.Trainer) { tr.Lots = 5 }) })
	both.Go(func() {
		trainRollout(t, c, other, time.Minute, func(tr *trnr.Trainer) { tr.Lots, tr.Publish = 8, false })
	})
	both.Wait()
}
