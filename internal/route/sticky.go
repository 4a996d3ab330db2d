package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// StickyCandidate is a Candidate that knows whether this daemon uses it at present.
type StickyCandidate interface {
	Candidate
	// Idle reports whether this daemon has no active attempt at the candidate and no failure since the last success.
	Idle() bool
}

// Sticky sends a daemon's requests without a prompt to one fixed candidate while it is idle, so that the connection to it
// is reused, and leaves all other requests to Fallback. The candidate depends on the host's name, so that daemons differ.
// It must not be used concurrently.
type Sticky[C StickyCandidate] struct {
	Host     string
	Fallback Picker[C]
}

// Pick returns the candidate with the greatest rank for the host when it is idle and the request has no prompt, else the
// pick of Fallback.
func (s *Sticky[C]) Pick(now time.Duration, candidates []C, prefix uint64) C {
	if prefix != 0 {
		return s.Fallback.Pick(now, candidates, prefix)
	}
	hostHash := xxhash.Sum64String(s.Host)
	best, rank := candidates[0], uint64(0)
	for _, c := range candidates {
		if r := Rank(hostHash, c.Key()); r >= rank {
			best, rank = c, r
		}
	}
	if best.Idle() {
		return best
	}
	return s.Fallback.Pick(now, candidates, prefix)
}
