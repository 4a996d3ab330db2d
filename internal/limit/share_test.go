package limit

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Shares that the hosts compute from the same wants must add up to the limit, and a host that wants more must not get less.
func TestFairShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		wants := make([]float64, 1+random.IntN(12))
		for i := range wants {
			wants[i] = 0.05 + random.ExpFloat64()*2
		}
		total, sum := 0.1+random.Float64()*10, 0.0
		shares := make([]float64, len(wants))
		for i, own := range wants {
			others := slices.Delete(slices.Clone(wants), i, i+1)
			shares[i] = fairShare(total, own, others)
			sum += shares[i]
			if more := fairShare(total, own+1, slices.Clone(others)); more < shares[i]-1e-9 {
				t.Errorf("wants %v of %v: share %v, and %v with one more", wants, total, shares[i], more)
			}
			if len(others) > 0 {
				others[0]++
				if less := fairShare(total, own, others); less > shares[i]+1e-9 {
					t.Errorf("wants %v of %v: share %v, and %v when another wants one more", wants, total, shares[i], less)
				}
			}
		}
		if math.Abs(sum-total) > 1e-6 {
			t.Errorf("the shares %v of %v for the wants %v add up to %v", shares, total, wants, sum)
		}
	}
}
