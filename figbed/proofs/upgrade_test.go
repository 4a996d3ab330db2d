package proofs

import (
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/soak"
)

const (
	upgradeHosts = 3
	upgradeSpan  = 18 * time.Second
)

// Guards against a build that breaks a promise beside the one in production. The hosts of a fleet of the production release
// change to this build one by one, and back, under load with jobs, ends of jobs, streams that are taken up again, withdrawn
// keys, limits, servers that drain, crash and start again, and kills.
func TestUpgradeAndBack(t *testing.T) {
	t.Parallel()
	s := soak.Soak{
		Seed: 1, Hosts: upgradeHosts, Port: firstPlatformPort + portsPerPlatform*int(lastPortRange.Add(1)), Faults: soak.DrawUpgrade(1, upgradeHosts, upgradeSpan),
		OldPrograms: proc.BuildRelease(t, proc.ProductionCommit(t)),
	}
	h := s.Run(t)
	newStarts, oldStarts, ended := map[int]bool{}, map[int]int{}, 0
	for _, start := range h.Starts {
		if start.Old {
			oldStarts[start.Host]++
			continue
		}
		newStarts[start.Host] = true
		if start.Build != proc.BuildName {
			t.Errorf("host-%d tells build %q, want %q", start.Host, start.Build, proc.BuildName)
		}
	}
	for host := 1; host <= upgradeHosts; host++ {
		if !newStarts[host] || oldStarts[host] < 2 {
			t.Errorf("host-%d did not run the old build, this one and the old one again", host)
		}
	}
	for _, j := range h.Jobs {
		if !j.Ended.IsZero() {
			ended++
		}
	}
	if ended == 0 || len(h.Runs) == 0 || len(h.Reports) == 0 {
		t.Errorf("%d jobs ended, %d runs and %d usage reports: the load did not cover all of them", ended, len(h.Runs), len(h.Reports))
	}
}
