package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Steady is a Candidate that tells how this daemon's attempts go there.
type Steady interface {
	Candidate
	// Idle reports whether no attempt of this daemon runs there and its last one succeeded.
	Idle() bool
}

// Kept sends a daemon's calls to one candidate of its own choice while that is idle, so that its connection there is
// used again, and leaves the others to Next. Daemons choose by their name, so that they differ.
type Kept[C Steady] struct {
	Host string
	Next Picker[C]
}

// Pick returns the candidate with the greatest rank for the daemon when it is idle, and else that of Next. Requests with
// a prompt are those of Next.
func (k *Kept[C]) Pick(now time.Duration, candidates []C, prefix uint64) C {
	if prefix != 0 {
		return k.Next.Pick(now, candidates, prefix)
	}
	own := xxhash.Sum64String(k.Host)
	best, rank := candidates[0], uint64(0)
	for _, c := range candidates {
		if r := Rank(own, c.Key()); r >= rank {
			best, rank = c, r
		}
	}
	if best.Idle() {
		return best
	}
	return k.Next.Pick(now, candidates, prefix)
}
