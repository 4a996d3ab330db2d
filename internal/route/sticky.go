package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Steady is a Candidate that knows whether this daemon uses it at present.
type Steady interface {
	Candidate
	// Idle reports whether this daemon has no active attempt at the candidate and no failure since the last success.
	Idle() bool
}

// Kept sends a daemon's requests without a prompt to one fixed candidate while it is idle, so that the connection to it
// is reused, and leaves all other requests to Next. The candidate depends on the host's name, so that daemons differ.
// It must not be used concurrently.
type Kept[C Steady] struct {
	Host string
	Next Picker[C]
}

// Pick returns the candidate with the greatest rank for the host when it is idle and the request has no prompt, else the
// pick of Next.
func (k *Kept[C]) Pick(now time.Duration, candidates []C, prefix uint64) C {
	if prefix != 0 {
		return k.Next.Pick(now, candidates, prefix)
	}
	hostHash := xxhash.Sum64String(k.Host)
	best, rank := candidates[0], uint64(0)
	for _, c := range candidates {
		if r := Rank(hostHash, c.Key()); r >= rank {
			best, rank = c, r
		}
	}
	if best.Idle() {
		return best
	}
	return k.Next.Pick(now, candidates, prefix)
}
