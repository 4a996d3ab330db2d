package proofs

import (
	"strconv"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/wire"
)

// TestStragglersWithHedgesAndSpareGroups measures trainer idle time with 2 % of the attempts 10 times slower,
// with and without hedges and spare groups.
func TestStragglersWithHedgesAndSpareGroups(t *testing.T) {
	const lots = 8
	run := func(name string, spare int, hedge float64) time.Duration {
		spec := rolloutSpec()
		spec.Groups, spec.SamplesPerGroup, spec.MaxTokens = 8, 8, 40
		spec.SpareGroups, spec.HedgeMultiple = spare, hedge
		c := rolloutCluster(t, 2, spec, "--tokens", "20000", "--request-rate", "100", "--max-running", "128",
			"--stragglers", "0.02", "--straggler-factor", "10")
		before := c.Calls()
		s := trainRollout(t, c, spec, 2*time.Minute, func(tr *trnr.Trainer) {
			tr.Lots, tr.Publish, tr.StepTime = lots, false, 300*time.Millisecond
		})
		after := c.Calls()
		t.Logf("%s: idle %v a lot, %d object writes a lot", name, s.Idle/lots, (after.Writes-before.Writes)/lots)
		return s.Idle
	}
	none := run("no hedges, no spare groups", 0, -1)
	spares := run("one spare group of 8", 1, -1)
	hedges := run("hedges", 0, 0)
	both := run("hedges and one spare group of 8", 1, 0)
	if both >= none || hedges >= none {
		t.Errorf("idle time %v with hedges, %v with both, %v with spare groups, %v with neither", hedges, both, spares, none)
	}
}

// TestIdleThroughAnOutage measures trainer idle time through a store outage of 60 s with lots sealed ahead.
func TestIdleThroughAnOutage(t *testing.T) {
	const outage, step = 60 * time.Second, 6 * time.Second
	idle := map[int]time.Duration{}
	for _, ahead := range []int{0, 10} {
		spec := rolloutSpec()
		spec.SealAhead, spec.MaxStaleness = ahead, 10
		c := rolloutCluster(t, 3, spec)
		first := takeLot(t, c, daemonURLs(c), 0)
		waitSealed(t, c, first.Lot+uint64(ahead))
		end := time.Now().Add(outage)
		c.SetFaults(wire.Faults{Outage: true})
		for cursor := first.Lot; time.Now().Before(end); cursor++ {
			asked := time.Now()
			if !proc.Within(time.Until(end), func() bool {
				return askLot(c, c.Hosts[int(cursor)%3].URL(), trainerName, cursor).status == 200
			}) {
				idle[ahead] += time.Since(asked)
				break
			}
			idle[ahead] += time.Since(asked)
			time.Sleep(min(step, time.Until(end)))
		}
		t.Logf("%d lots sealed ahead: idle %v of an outage of %v with steps of %v", ahead, idle[ahead].Round(time.Millisecond), outage, step)
	}
	if idle[10] > outage/10 {
		t.Errorf("idle for %v of %v", idle[10], outage)
	}
}

// TestPublishReachesAllEngines measures the time from a confirmed publish to the last engine's own report of it.
func TestPublishReachesAllEngines(t *testing.T) {
	c := newRolloutCluster(3, rolloutSpec())
	c.Engines = nil
	for i := range 8 {
		c.Engines = append(c.Engines, proc.Endpoint{Name: "e" + strconv.Itoa(i), Zone: []string{"a", "b"}[i%2]})
	}
	c.Start(t)
	c.CreateRollout(rolloutSpec())
	takeLot(t, c, daemonURLs(c), 0)
	for version := uint64(2); version < 6; version++ {
		publishVersion(t, c, daemonURLs(c), version)
		published := time.Now()
		proc.WaitUntil(t, swapBound, "all engines have the version", func() bool {
			for _, e := range c.Endpoints {
				if e.State().Version != version {
					return false
				}
			}
			return true
		})
		t.Logf("version %d on 8 engines after %v", version, time.Since(published).Round(time.Millisecond))
	}
}
