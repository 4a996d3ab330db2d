// Package gauge measures the daemon's policies and the baselines that they are compared with on small clusters, using the
// load generator.
package gauge

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/loadr"
	"github.com/figshift/figshift/figbed/internal/plat"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// The measurement of spending: 2 availability zones of at most 3 engines, which are ordered from a pool of 8, a load that
// the on-demand engines of the floors can serve, and a trainer.
const (
	spendDuration  = 14 * time.Second
	spendReclaimAt = 6 * time.Second
	// SpendLots is the number of lots that the trainer fetches.
	SpendLots          = 6
	spendOnDemandFloor = 1 // minimum number of on-demand engines in a zone
)

// SpendResult is the outcome of one run of MeasureSpending.
type SpendResult struct {
	Cost       float64 // units of the platform
	CheapShare float64 // fraction of the requested tokens that cheap engines generated
	Load       loadr.Result
	Trainer    trnr.Summary
}

// String returns the outcome as key=value pairs.
func (s SpendResult) String() string {
	return fmt.Sprintf("Cost=%.1f CheapShare=%.3f Lookup.P99=%.1f Lookup.Refused=%v Lookup.Unknown=%d Lots=%d IdleMS=%d Problems=%d",
		s.Cost, s.CheapShare, s.Load.P99, s.Load.Refused, s.Load.Unknown,
		s.Trainer.Lots, s.Trainer.Idle.Milliseconds(), len(s.Trainer.Problems))
}

func spendCluster(t testing.TB, policy config.SpendPolicy) *proc.Cluster {
	t.Helper()
	c := &proc.Cluster{
		Daemons:  2,
		Platform: []string{"--start-time", "500ms", "--stop-time", "1s", "--reclaim-notice", "1s"},
		Site: func(s *config.Site) {
			s.Lease = drill.ShortLease()
			s.Spend.Policy = policy
			for _, name := range []string{"a", "b"} {
				zone := config.DefaultZone(name)
				zone.OnDemandFloor, zone.MaxEndpoints, zone.MaxCheap = spendOnDemandFloor, 3, 2
				zone.TokensPerEngine, zone.StartTime, zone.ScaleDownAfter = 1000, 500*time.Millisecond, 3*time.Second
				zone.Model = proc.Model
				s.Zones[name] = zone
			}
		},
	}
	for i := range 8 {
		c.Engines = append(c.Engines, proc.Endpoint{Name: fmt.Sprintf("x%d", i), Args: []string{"--spare", "--tokens", "2000"}})
	}
	c.Start(t)
	proc.WaitUntil(t, 20*time.Second, "the on-demand floors are live", func() bool { return liveOnDemand(c) >= 2*spendOnDemandFloor })
	return c
}

// liveOnDemand returns the number of live on-demand engines in the status of the daemon that reports the fewest.
func liveOnDemand(c *proc.Cluster) int {
	fewest := -1
	for _, h := range c.Hosts {
		status, _ := h.Status()
		n := 0
		for _, e := range status.Endpoints {
			if e.Price == wire.OnDemand && e.State == wire.Live {
				n++
			}
		}
		if fewest < 0 || n < fewest {
			fewest = n
		}
	}
	return fewest
}

// MeasureSpending runs a load and a trainer under a spending policy, and reclaims the cheap engines of one zone
// meanwhile.
func MeasureSpending(t testing.TB, policy config.SpendPolicy) SpendResult {
	t.Helper()
	c := spendCluster(t, policy)
	c.CreateRollout(wire.RolloutSpec{
		Name: "r", Organisation: "South", Model: proc.Model, Lots: SpendLots, Groups: 8, SamplesPerGroup: 8,
		SpareGroups: 1, MaxTokens: 100, MaxStaleness: 2, SealAhead: 1, Prompts: []string{"one prompt", "another prompt"},
	})
	var s SpendResult
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Trainer = runTrainer(t, c)
	}()
	reclaim := time.AfterFunc(spendReclaimAt, func() { c.SetFaults(wire.Faults{ReclaimZone: "a"}) })
	defer reclaim.Stop()
	before := c.Calls().Cost
	plan := loadr.Plan{Duration: spendDuration, Seed: 1, Targets: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}}
	plan.Sources = []loadr.Source{{
		Organisation: "North", Key: c.Key("North"), Path: wire.PathGenerate, Rate: 20, MaxTokens: 40, Prefixes: 8,
	}}
	report, err := loadr.Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	s.Cost = c.Calls().Cost - before
	<-done
	s.Load = report.Results[0]
	s.CheapShare = cheapShare(c)
	return s
}

func runTrainer(t testing.TB, c *proc.Cluster) trnr.Summary {
	trainer := &trnr.Trainer{
		Daemons: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}, Key: c.Key("South"), Rollout: "r", Consumer: "trainer",
		Lots: SpendLots, Count: 64, MaxStaleness: 2, FirstVersion: 1, StepTime: 300 * time.Millisecond, Publish: true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*spendDuration)
	defer cancel()
	summary, err := trainer.Run(ctx)
	if err != nil {
		t.Errorf("trainer: %v", err)
	}
	return summary
}

// cheapShare returns the fraction of the requested tokens whose requests went to engines while these had the cheap price.
func cheapShare(c *proc.Cluster) float64 {
	cheap, total := 0, 0
	for _, e := range c.Endpoints {
		var assigned wire.Endpoint
		for _, request := range e.Received().Requests {
			switch request.Path {
			case plat.PathAssign:
				_ = json.Unmarshal([]byte(request.Body), &assigned)
			case wire.PathGenerate:
				var g wire.Generate
				_ = json.Unmarshal([]byte(request.Body), &g)
				tokens := g.MaxTokens - len(g.Held)
				total += tokens
				if assigned.Price == wire.Cheap {
					cheap += tokens
				}
			}
		}
	}
	return float64(cheap) / float64(max(1, total))
}
