package proofs

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/soak"
)

// soakSpan is the time in which faults begin; the run goes on until all has settled.
const soakSpan = 20 * time.Second

// soakSeeds are those that CI plays; docs/SOAK.md has the table of seeds that failed.
var soakSeeds = []uint64{1}

// Answers the pattern: faults of hosts, network, store and servers overlap, on real processes, while callers and trainers
// go on. What callers, servers and the platform see keeps every promise.
func TestSoak(t *testing.T) {
	t.Parallel()
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := soak.Soak{Seed: seed, Span: soakSpan, Hosts: 4, Port: firstEstatePort + portsOfAnEstate*int(platformPorts.Add(1))}
			h := s.Run(t)
			if len(h.Runs) == 0 || len(h.Jobs) == 0 || len(h.Reports) == 0 {
				t.Errorf("%d runs, %d jobs and %d usage reports: the load did not reach all", len(h.Runs), len(h.Jobs), len(h.Reports))
			}
		})
	}
}

// Answers the pattern: the clock of the host that reports usage jumps ahead, then back. No window is reported before its
// end or twice.
func TestSoakClockJumps(t *testing.T) {
	t.Parallel()
	s := soak.Soak{Seed: 1, Hosts: 3, Port: firstEstatePort + portsOfAnEstate*int(platformPorts.Add(1)), Faults: []soak.Fault{
		{Kind: soak.ClockJump, Target: 1, At: 5 * time.Second, For: 5 * time.Second, Amount: 10_000},
		{Kind: soak.ClockJump, Target: 1, At: 12 * time.Second, For: 5 * time.Second, Amount: -10_000},
	}}
	if h := s.Run(t); len(h.Reports) == 0 {
		t.Error("no window was reported")
	}
}
