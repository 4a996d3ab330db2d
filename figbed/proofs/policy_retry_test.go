package proofs

import (
	"testing"

	"github.com/figshift/figshift/figbed/internal/gauge"
	"github.com/figshift/figshift/figbed/internal/servc"
	"github.com/figshift/figshift/internal/config"
)

const (
	mostAttempts = 1.1 // attempts a request under a failing endpoint
)

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
			attempts, whole := gauge.Retry(t, nil, test.faults, test.failing...)
			unbounded := func(s *config.Site) { s.Retry.BudgetShare = 1 }
			free, freeWhole := gauge.Retry(t, unbounded, test.faults, test.failing...)
			t.Logf("Policy=RetryBudget Failing=%s Attempts=%.3f Whole=%.3f Unbounded.Attempts=%.3f Unbounded.Whole=%.3f",
				name, attempts, whole, free, freeWhole)
			if attempts > mostAttempts {
				t.Errorf("%.3f attempts a request", attempts)
			}
		})
	}
}
