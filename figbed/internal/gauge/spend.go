// Package gauge measures the policies on small clusters with the load tool, ours and the baseline alike.
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

// The site of the spending measurement: 2 zones of at most 3 engines, ordered from a pool of 8, lookups that the
// on-demand floors can carry, and a trainer.
const (
	spendTime      = 14 * time.Second
	spendReclaimAt = 6 * time.Second
	// SpendLots is the number of lots that the trainer takes.
	SpendLots  = 6
	spendFloor = 1 // on-demand engines of a zone
)

// Spent is the outcome of one run.
type Spent struct {
	Cost       float64
	CheapShare float64 // of the generated tokens
	Lookups    loadr.Result
	Trained    trnr.Summary
}

// String returns the outcome as key=value pairs.
func (s Spent) String() string {
	return fmt.Sprintf("Cost=%.1f CheapShare=%.3f Lookup.P99=%.1f Lookup.Refused=%v Lookup.Unknown=%d Lots=%d IdleMS=%d Problems=%d",
		s.Cost, s.CheapShare, s.Lookups.P99, s.Lookups.Refused, s.Lookups.Unknown,
		s.Trained.Lots, s.Trained.Idle.Milliseconds(), len(s.Trained.Problems))
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
				zone.OnDemandFloor, zone.MaxEndpoints, zone.MaxCheap = spendFloor, 3, 2
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
	proc.WaitUntil(t, 20*time.Second, "the on-demand floors are live", func() bool { return liveOnDemand(c) >= 2*spendFloor })
	return c
}

// liveOnDemand returns the on-demand engines that every daemon sees as live.
func liveOnDemand(c *proc.Cluster) int {
	least := -1
	for _, h := range c.Hosts {
		status, _ := h.Status()
		n := 0
		for _, e := range status.Endpoints {
			if e.Price == wire.OnDemand && e.State == wire.Live {
				n++
			}
		}
		if least < 0 || n < least {
			least = n
		}
	}
	return least
}

// Spend runs lookups and a trainer under a spending policy while a zone's cheap engines are reclaimed.
func Spend(t testing.TB, policy config.SpendPolicy) Spent {
	t.Helper()
	c := spendCluster(t, policy)
	c.CreateRollout(wire.RolloutSpec{
		Name: "r", Organisation: "South", Model: proc.Model, Lots: SpendLots, Groups: 8, SamplesPerGroup: 8,
		SpareGroups: 1, MaxTokens: 100, MaxStaleness: 2, SealAhead: 1, Prompts: []string{"one prompt", "another prompt"},
	})
	var s Spent
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Trained = spendTrain(t, c)
	}()
	reclaim := time.AfterFunc(spendReclaimAt, func() { c.SetFaults(wire.Faults{ReclaimZone: "a"}) })
	defer reclaim.Stop()
	before := c.Calls().Cost
	plan := loadr.Plan{Duration: spendTime, Seed: 1, Targets: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}}
	plan.Sources = []loadr.Source{{
		Organisation: "North", Key: c.Key("North"), Path: wire.PathGenerate, Rate: 20, MaxTokens: 40, Prefixes: 8,
	}}
	report, err := loadr.Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	s.Cost = c.Calls().Cost - before
	<-done
	s.Lookups = report.Results[0]
	s.CheapShare = cheapShare(c)
	return s
}

func spendTrain(t testing.TB, c *proc.Cluster) trnr.Summary {
	trainer := &trnr.Trainer{
		Daemons: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}, Key: c.Key("South"), Rollout: "r", Consumer: "trainer",
		Lots: SpendLots, Count: 64, MaxStaleness: 2, FirstVersion: 1, StepTime: 300 * time.Millisecond, Publish: true,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*spendTime)
	defer cancel()
	summary, err := trainer.Run(ctx)
	if err != nil {
		t.Errorf("trainer: %v", err)
	}
	return summary
}

// cheapShare returns the part of the asked-for tokens that went to engines while they were paid as cheap ones.
func cheapShare(c *proc.Cluster) float64 {
	cheap, all := 0, 0
	for _, e := range c.Endpoints {
		var assigned wire.Endpoint
		for _, request := range e.Seen().Requests {
			switch request.Path {
			case plat.PathAssign:
				_ = json.Unmarshal([]byte(request.Body), &assigned)
			case wire.PathGenerate:
				var g wire.Generate
				_ = json.Unmarshal([]byte(request.Body), &g)
				tokens := g.MaxTokens - len(g.Held)
				all += tokens
				if assigned.Price == wire.Cheap {
					cheap += tokens
				}
			}
		}
	}
	return float64(cheap) / float64(max(1, all))
}
