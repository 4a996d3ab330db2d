package proofs

import (
	"testing"

	"github.com/figshift/figshift/figbed/internal/gauge"
)

const (
	minHitRatioGain = 1.5  // ratio of the hit rates of prefix affinity and round robin
	maxP99Ratio     = 1.25 // ratio of the p99 of prefix affinity and round robin
)

// Prompts share prefixes. Routing by prefix must raise the cache hits over round robin, and one very frequent prefix
// must not overload the engine that it is routed to.
func TestPolicyPrefixAffinity(t *testing.T) {
	t.Parallel()
	cases := map[string]float64{"EvenHeads": 0, "OneHotHead": 60}
	for name, hotRate := range cases {
		t.Run(name, func(t *testing.T) {
			hits, p99 := gauge.MeasureCacheAffinity(t, "", hotRate)
			roundRobinHits, roundRobinP99 := gauge.MeasureCacheAffinity(t, "PickPolicy = Turns\n", hotRate)
			t.Logf("Policy=Affine Heads=%s Hits=%.3f P99=%.1f Turns.Hits=%.3f Turns.P99=%.1f Hits.Ratio=%.2f P99.Ratio=%.2f",
				name, hits, p99, roundRobinHits, roundRobinP99, hits/roundRobinHits, p99/roundRobinP99)
			if hotRate == 0 && hits < minHitRatioGain*roundRobinHits {
				t.Errorf("hit ratio %.3f, with round robin %.3f", hits, roundRobinHits)
			}
			if p99 > maxP99Ratio*roundRobinP99 {
				t.Errorf("p99 %.1f ms, with round robin %.1f ms", p99, roundRobinP99)
			}
		})
	}
}
