package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	// maxRounds is the number of crashes, each in a run that began after the one before, after which a request is given up.
	maxRounds = 3
	// maxCrashes is the number of crashes after which two such rounds are enough. Several hosts can send the repeats of a
	// request at the same time, and endpoints that crash together for another reason are one round.
	maxCrashes = 3
	minRounds  = 2
)

// crashed is an endpoint that crashed, as far as is known, while it ran a request.
type crashed struct {
	endpoint wire.LeaveMark
	sent     time.Duration // when the request was sent to it
	at       time.Duration // when its connection was closed
}

// record is what is known of one request.
type record struct {
	crashes   []crashed     // in the order in which they were seen
	clearedAt time.Duration // when the request was last answered in full, 0 for never; crashes before then don't count
}

// add adds a crash and reports whether it is new. Of several times for one crash, the earliest counts, since news that is
// delayed makes a crash look later.
func (r *record) add(c crashed) bool {
	if r.clearedAt > 0 && c.at <= r.clearedAt {
		return false
	}
	i := slices.IndexFunc(r.crashes, func(o crashed) bool { return o.endpoint == c.endpoint })
	switch {
	case i < 0:
		r.crashes = append(r.crashes, c)
	case c.at < r.crashes[i].at:
		r.crashes[i] = c
	default:
		return false
	}
	slices.SortStableFunc(r.crashes, func(a, b crashed) int { return cmp.Compare(a.at, b.at) })
	return i < 0
}

// verdict returns what follows from the crashes.
func (r *record) verdict() Verdict {
	rounds := r.rounds()
	switch {
	case rounds >= maxRounds, rounds >= minRounds && len(r.crashes) >= maxCrashes:
		return GivenUp
	case rounds > 0:
		return Suspect
	default:
		return Clear
	}
}

// rounds returns the greatest number of crashes of which each run began after the crash before.
func (r *record) rounds() int {
	rounds, last := 0, time.Duration(0)
	for _, c := range r.crashes {
		if rounds == 0 || c.sent >= last {
			rounds, last = rounds+1, c.at
		}
	}
	return rounds
}

// lastCrash returns when the last crash was seen, 0 without one.
func (r *record) lastCrash() time.Duration {
	if len(r.crashes) == 0 {
		return 0
	}
	return r.crashes[len(r.crashes)-1].at
}
