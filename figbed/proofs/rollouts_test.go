package proofs

import (
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/trnr"
)

func TestTrainerTakesItsLots(t *testing.T) {
	spec := rolloutSpec()
	spec.Scorer = "scorer"
	c := rolloutCluster(t, 2, spec)
	train(t, c, spec, time.Minute, func(tr *trnr.Trainer) { tr.Lots = 6 })
}
