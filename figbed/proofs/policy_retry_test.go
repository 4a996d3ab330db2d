package proofs

import (
	"testing"

	"github.com/figshift/figshift/figbed/internal/gauge"
	"github.com/figshift/figshift/figbed/internal/servc"
	"github.com/figshift/figshift/internal/config"
)

const (
	maxAttemptsPerRequest = 1.1 // while endpoints fail
)

// Endpoints refuse some or all calls. The retry budget must keep retries from multiplying the load of a failing
// service; a run with an unlimited budget is measured for comparison.
func TestPolicyRetryBudget(t *testing.T) {
	t.Parallel()
	all := []string{"s1", "s2", "s3"}
	cases := map[string]struct {
		faults  servc.Faults
		failing []string
	}{
		"OneOfThreeFails":    {servc.Faults{RefuseAll: true}, all[:1]},
		"AllFail":            {servc.Faults{RefuseAll: true}, all},
		"EachThirdCallFails": {servc.Faults{RefuseEvery: 3}, all},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			attempts, complete := gauge.MeasureRetries(t, nil, test.faults, test.failing...)
			unlimited := func(s *config.Site) { s.Retry.BudgetShare = 1 }
			unlimitedAttempts, unlimitedComplete := gauge.MeasureRetries(t, unlimited, test.faults, test.failing...)
			t.Logf("Policy=RetryBudget Failing=%s Attempts=%.3f Whole=%.3f Unbounded.Attempts=%.3f Unbounded.Whole=%.3f",
				name, attempts, complete, unlimitedAttempts, unlimitedComplete)
			if attempts > maxAttemptsPerRequest {
				t.Errorf("%.3f attempts per request", attempts)
			}
		})
	}
}
