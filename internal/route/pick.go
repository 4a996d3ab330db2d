package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Candidate is what a Picker needs to know of an endpoint.
type Candidate interface {
	// Key returns the name that prompts are hashed to.
	Key() string
	// Work returns the tokens that wait or run there at time now.
	Work(now time.Duration) float64
}

// Picker chooses one of the candidates, of which there is at least one, for a request whose prompt's head
// has the hash prefix (0 for none). A Picker must not be used concurrently.
type Picker[C Candidate] interface {
	Pick(now time.Duration, candidates []C, prefix uint64) C
}

// Turns picks the candidates one after the other; it is the baseline.
type Turns[C Candidate] struct{ next int }

// Pick returns the next candidate in turn.
func (t *Turns[C]) Pick(_ time.Duration, candidates []C, _ uint64) C {
	t.next++
	return candidates[t.next%len(candidates)]
}

// Affine sends equal prompt heads to the same candidate while its work stays within Slack times the mean,
// and else takes the less busy of two random ones.
type Affine[C Candidate] struct {
	Random *rand.Rand
	Slack  float64 // greatest work of an affine candidate, in means
	Spare  float64 // tokens by which any candidate may exceed that
}

// Pick returns the affine candidate or the less busy of two.
func (a *Affine[C]) Pick(now time.Duration, candidates []C, prefix uint64) C {
	if prefix != 0 {
		if c, ok := a.affine(now, candidates, prefix); ok {
			return c
		}
	}
	return a.better(now, candidates)
}

func (a *Affine[C]) affine(now time.Duration, candidates []C, prefix uint64) (C, bool) {
	best, rank, sum := candidates[0], uint64(0), 0.0
	for _, c := range candidates {
		sum += c.Work(now)
		if r := Rank(prefix, c.Key()); r >= rank {
			best, rank = c, r
		}
	}
	bound := a.Slack*sum/float64(len(candidates)) + a.Spare
	return best, best.Work(now) <= bound
}

func (a *Affine[C]) better(now time.Duration, candidates []C) C {
	c := candidates[a.Random.IntN(len(candidates))]
	d := candidates[a.Random.IntN(len(candidates))]
	if d.Work(now) < c.Work(now) {
		return d
	}
	return c
}

// Rank returns the rendezvous weight of a name for a hash; the greatest wins.
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
