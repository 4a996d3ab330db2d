package proofs

import (
	"testing"

	"github.com/figshift/figshift/figbed/internal/gauge"
	"github.com/figshift/figshift/internal/config"
)

const (
	maxCostRatio = 0.8
)

// Runs lookups and a trainer with a mix of on-demand and cheap engines, whose cheap ones are reclaimed in one zone,
// and with as many on-demand engines as the limits allow. The mix must cost less and still serve all lookups and the
// trainer.
func TestPolicySpend(t *testing.T) {
	t.Parallel()
	mix := gauge.MeasureSpending(t, config.FollowDemand)
	peak := gauge.MeasureSpending(t, config.HoldPeak)
	t.Logf("Policy=FollowDemand %v", mix)
	t.Logf("Policy=HoldPeak %v Cost.Ratio=%.2f", peak, mix.Cost/peak.Cost)
	if len(mix.Load.Refused) > 0 || mix.Load.Unknown > 0 {
		t.Errorf("lookups within the capacity of the on-demand floor were refused or cut: %v", mix.Load)
	}
	if mix.Cost > maxCostRatio*peak.Cost {
		t.Errorf("cost %.1f, with on-demand engines only %.1f", mix.Cost, peak.Cost)
	}
	if mix.Trainer.Lots < gauge.SpendLots || len(mix.Trainer.Problems) > 0 {
		t.Errorf("trainer: %v %v", mix.Trainer, mix.Trainer.Problems)
	}
}
