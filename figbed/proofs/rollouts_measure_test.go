package proofs

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/wire"
)

// 2 % of the attempts are 10 times slower. Hedges, alone and with spare groups, must shorten the time that the trainer
// is idle; it is also measured with spare groups alone and without stragglers.
func TestStragglersWithHedgesAndSpareGroups(t *testing.T) {
	t.Parallel()
	const lots = 8
	run := func(name, stragglers string, spareGroups int, hedgeMultiple float64) time.Duration {
		spec := drill.Spec()
		spec.Groups, spec.SamplesPerGroup, spec.MaxTokens = 8, 8, 40
		spec.SpareGroups, spec.HedgeMultiple = spareGroups, hedgeMultiple
		c := drill.RunRollout(t, 2, spec, "--tokens", "20000", "--request-rate", "100", "--max-running", "128",
			"--stragglers", stragglers, "--straggler-factor", "10")
		before := c.Calls()
		s := drill.Train(t, c, spec, 2*time.Minute, func(tr *trnr.Trainer) {
			tr.Lots, tr.Publish, tr.StepTime = lots, false, 300*time.Millisecond
		})
		after := c.Calls()
		t.Logf("%s: idle %v a lot, %d object writes a lot", name, s.Idle/lots, (after.Writes-before.Writes)/lots)
		return s.Idle
	}
	run("no stragglers", "0", 0, -1)
	neither := run("no hedges, no spare groups", "0.02", 0, -1)
	spares := run("one spare group of 8", "0.02", 1, -1)
	hedges := run("hedges", "0.02", 0, 0)
	both := run("hedges and one spare group of 8", "0.02", 1, 0)
	if both >= neither || hedges >= neither {
		t.Errorf("idle time %v with hedges, %v with both, %v with spare groups, %v with neither", hedges, both, spares, neither)
	}
}

// outageLength is the length of the store outage. The figures in docs/PROOFS.md are measured with -outage=60s.
var outageLength = flag.Duration("outage", 20*time.Second, "length of the store outage in TestIdleThroughAnOutage")

// A trainer takes lots during a store outage, without and with lots sealed ahead. With 10 lots sealed ahead it must be
// idle for at most a tenth of the outage.
func TestIdleThroughAnOutage(t *testing.T) {
	t.Parallel()
	const ahead = 10
	outage := *outageLength
	stepTime := outage / ahead
	idle := map[int]time.Duration{}
	for _, ahead := range []int{0, ahead} {
		spec := drill.Spec()
		spec.SealAhead, spec.MaxStaleness = ahead, 10
		c := drill.RunRollout(t, 3, spec)
		first := drill.TakeLot(t, c, drill.URLs(c), 0)
		waitSealed(t, c, first.Lot+uint64(ahead))
		end := time.Now().Add(outage)
		c.SetFaults(wire.Faults{Outage: true})
		for cursor := first.Lot; time.Now().Before(end); cursor++ {
			requestedAt := time.Now()
			if !proc.Poll(time.Until(end), func() bool {
				return drill.RequestLot(c, c.Hosts[int(cursor)%3].URL(), drill.Trainer, cursor).Status == 200
			}) {
				idle[ahead] += time.Since(requestedAt)
				break
			}
			idle[ahead] += time.Since(requestedAt)
			time.Sleep(min(stepTime, time.Until(end)))
		}
		t.Logf("%d lots sealed ahead: idle %v of an outage of %v with steps of %v", ahead, idle[ahead].Round(time.Millisecond), outage, stepTime)
	}
	if idle[ahead] > outage/10 {
		t.Errorf("idle for %v of %v", idle[ahead], outage)
	}
}

// Measures the time from a confirmed publish until all engines report the version. It must not exceed swapTimeout.
func TestPublishReachesAllEngines(t *testing.T) {
	c := drill.NewCluster(3, drill.Spec())
	c.Engines = nil
	for i := range 8 {
		c.Engines = append(c.Engines, proc.Endpoint{Name: "e" + strconv.Itoa(i), Zone: []string{"a", "b"}[i%2]})
	}
	c.Start(t)
	c.CreateRollout(drill.Spec())
	drill.TakeLot(t, c, drill.URLs(c), 0)
	for version := uint64(2); version < 6; version++ {
		drill.PublishVersion(t, c, drill.URLs(c), version)
		published := time.Now()
		proc.WaitUntil(t, swapTimeout, "all engines have the version", func() bool {
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

// processUse returns the processor time and the resident memory in bytes of a process.
func processUse(t *testing.T, pid int) (time.Duration, int) {
	t.Helper()
	const ticksPerSecond, utime, stime, rssPages = 100, 11, 12, 21 // indices in the fields after the process's name
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	number := func(i int) int {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	cpu := time.Duration(number(utime)+number(stime)) * time.Second / ticksPerSecond
	return cpu, number(rssPages) * os.Getpagesize()
}

// Measures object writes, bytes of blocks, processor time and memory by the number of samples in a lot.
func TestLotSizes(t *testing.T) {
	t.Parallel()
	const lots = 3
	for _, groups := range []int{8, 64, 512} {
		spec := drill.Spec()
		spec.Groups, spec.SamplesPerGroup, spec.SpareGroups, spec.MaxTokens, spec.SealAhead = groups, 8, groups/8, 128, 0
		c := drill.RunRollout(t, 2, spec, "--tokens", "1000000", "--request-rate", "10000", "--max-running", "512", "--segment", "64")
		holder := drill.WaitHolderExcept(t, c, drill.RolloutDuty, nil)
		callsBefore := c.Calls()
		cpuBefore, _ := processUse(t, holder.PID())
		s := drill.Train(t, c, spec, 3*time.Minute, func(tr *trnr.Trainer) { tr.Lots, tr.Publish = lots, false })
		callsAfter := c.Calls()
		cpuAfter, rss := processUse(t, holder.PID())
		bytes := 0
		for _, o := range c.Objects("Blocks/") {
			bytes += len(o.Value)
		}
		samples := lots * groups * 8
		t.Logf("%d samples a lot: %.1f object writes a lot, %d bytes of the blocks that are left, holder %v of processor time a sample, %d MB, %v a lot",
			groups*8, float64(callsAfter.Writes-callsBefore.Writes)/lots, bytes, (cpuAfter-cpuBefore)/time.Duration(samples), rss>>20, s.Took/lots)
	}
}
