package proofs

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/soak"
)

// soakFaultSpan is the time in which faults begin. The run goes on until the system has settled after the last one.
const soakFaultSpan = 20 * time.Second

// soakSeeds are the seeds that CI runs; docs/SOAK.md lists the seeds that failed.
var soakSeeds = []uint64{1}

// Random faults of hosts, network, store and servers overlap on real processes under continuous load. The histories of
// callers, servers and the platform must satisfy all invariants of package soak.
func TestSoak(t *testing.T) {
	t.Parallel()
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := soak.Soak{Seed: seed, Span: soakFaultSpan, Hosts: 4, Port: firstPlatformPort + portsPerPlatform*int(lastPortRange.Add(1))}
			h := s.Run(t)
			if len(h.Runs) == 0 || len(h.Jobs) == 0 || len(h.Reports) == 0 {
				t.Errorf("%d runs, %d jobs and %d usage reports: the load did not cover all of them", len(h.Runs), len(h.Jobs), len(h.Reports))
			}
		})
	}
}

// The clock of the host that reports usage jumps 10 s ahead for 5 s, and later 10 s back. No window may be reported
// before its end or twice.
func TestSoakClockJumps(t *testing.T) {
	t.Parallel()
	s := soak.Soak{Seed: 1, Hosts: 3, Port: firstPlatformPort + portsPerPlatform*int(lastPortRange.Add(1)), Faults: []soak.Fault{
		{Kind: soak.ClockJump, Target: 1, Start: 5 * time.Second, Duration: 5 * time.Second, Amount: 10_000},
		{Kind: soak.ClockJump, Target: 1, Start: 12 * time.Second, Duration: 5 * time.Second, Amount: -10_000},
	}}
	if h := s.Run(t); len(h.Reports) == 0 {
		t.Error("no usage window was reported")
	}
}
