package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an endpoint that a Picker may choose.
type Candidate interface {
	// Key returns the name that is hashed together with the prompt prefix.
	Key() string
	// Work returns the estimated tokens queued or running at the endpoint at time now.
	Work(now time.Duration) float64
}

// Picker chooses one of the candidates for a request. There must be at least one candidate; prefix is the hash of the
// beginning of the prompt, 0 for none. A Picker must not be used concurrently.
type Picker[C Candidate] interface {
	Pick(now time.Duration, candidates []C, prefix uint64) C
}

// RoundRobin picks the candidates in round-robin order. It is the baseline that other pickers are compared with.
type RoundRobin[C Candidate] struct{ last int }

// Pick returns the next candidate in turn.
func (t *RoundRobin[C]) Pick(_ time.Duration, candidates []C, _ uint64) C {
	t.last++
	return candidates[t.last%len(candidates)]
}

// PrefixAffinity sends requests with the same prompt prefix to the same candidate as long as its work is at most MaxLoad
// times the mean plus Allowance, and otherwise takes the less loaded of two random candidates. It must not be used
// concurrently.
type PrefixAffinity[C Candidate] struct {
	Random    *rand.Rand
	MaxLoad   float64 // maximum work of the preferred candidate, as a multiple of the mean work
	Allowance float64 // tokens by which the work may exceed that
}

// Pick returns the preferred candidate of the prefix, or the less loaded of two random ones.
func (a *PrefixAffinity[C]) Pick(now time.Duration, candidates []C, prefix uint64) C {
	if prefix != 0 {
		if c, ok := a.preferred(now, candidates, prefix); ok {
			return c
		}
	}
	return a.lessLoaded(now, candidates)
}

// preferred returns the candidate with the greatest rank for the prefix and whether its work is within the limit.
func (a *PrefixAffinity[C]) preferred(now time.Duration, candidates []C, prefix uint64) (C, bool) {
	best, rank, sum := candidates[0], uint64(0), 0.0
	for _, c := range candidates {
		sum += c.Work(now)
		if r := Rank(prefix, c.Key()); r >= rank {
			best, rank = c, r
		}
	}
	limit := a.MaxLoad*sum/float64(len(candidates)) + a.Allowance
	return best, best.Work(now) <= limit
}

// lessLoaded returns the less loaded of two random candidates.
func (a *PrefixAffinity[C]) lessLoaded(now time.Duration, candidates []C) C {
	c := candidates[a.Random.IntN(len(candidates))]
	d := candidates[a.Random.IntN(len(candidates))]
	if d.Work(now) < c.Work(now) {
		return d
	}
	return c
}

// Rank returns the rendezvous hashing weight of a name for a hash; the name with the greatest weight wins.
// It may be called concurrently.
func Rank(hash uint64, name string) uint64 {
	const (
		mixA = 0xff51afd7ed558ccd
		mixB = 0xc4ceb9fe1a85ec53
	)
	h := hash ^ xxhash.Sum64String(name)
	h = (h ^ h>>33) * mixA
	h = (h ^ h>>33) * mixB
	return h ^ h>>33
}
