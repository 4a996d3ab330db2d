package proofs

import (
	"context"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/trnr"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

const (
	pathLots      = 3
	samplesPerLot = 4
	pathTimeout   = 30 * time.Second
)

// A trainer takes a few scored lots, checks each, and publishes a new version after it. Guards the path from the
// creation of a rollout to the trainer without faults.
func TestPathOfALot(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{
		Daemons: 2,
		Engines: []proc.Endpoint{{Name: "e1", Zone: "a"}, {Name: "e2", Zone: "b"}},
		Scorers: []proc.Endpoint{{Name: "sc", Zone: "a"}},
		Site:    func(s *config.Site) { s.Lease = drill.ShortLease() },
	}
	c.Start(t)
	c.CreateRollout(wire.RolloutSpec{
		Name: "r", Organisation: "North", Model: proc.Model, Scorer: "scorer", Lots: pathLots, Groups: 2,
		SamplesPerGroup: 2, MaxTokens: 20, MaxStaleness: 1, SealAhead: 1, Prompts: []string{"a prompt"},
	})
	trainer := &trnr.Trainer{
		Daemons: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}, Key: c.Key("North"), Rollout: "r", Consumer: "trainer",
		Lots: pathLots, Count: samplesPerLot, MaxStaleness: 1, FirstVersion: 1, Publish: true,
		Notify: func(lot wire.Lot) {
			for _, sample := range lot.Samples {
				if !sample.Scored {
					t.Errorf("sample %s has no score", sample.ID)
				}
			}
		},
	}
	ctx, cancel := context.WithTimeout(context.Background(), pathTimeout)
	defer cancel()
	summary, err := trainer.Run(ctx)
	if err != nil || len(summary.Problems) > 0 {
		t.Errorf("%v: %v %v", err, summary, summary.Problems)
	}
}

// A zone whose on-demand floor is 1 has no engine. The daemons must order exactly one, and serve generations from it.
func TestPathOfAnOrder(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{
		Daemons:  2,
		Engines:  []proc.Endpoint{{Name: "spare", Args: []string{"--spare"}}},
		Platform: []string{"--start-time", "300ms"},
		Site: func(s *config.Site) {
			s.Lease = drill.ShortLease()
			zone := config.DefaultZone("a")
			zone.OnDemandFloor, zone.Model = 1, proc.Model
			s.Zones["a"] = zone
		},
	}
	c.Start(t)
	g := wire.Generate{Prompt: "a prompt", MaxTokens: 8}
	proc.WaitUntil(t, pathTimeout, "the ordered engine serves a generation", func() bool {
		return c.Hosts[1].Generate(c.Key("South"), g).Complete()
	})
	orders := c.Calls().Orders
	if len(orders) != 1 || orders[0].Action != "Start" || orders[0].Price != wire.OnDemand {
		t.Errorf("orders: %+v", orders)
	}
}

// Each daemon serves one generation. The usage reports must add up to the tokens that the caller was told, with a
// window that is reported again counted once.
func TestPathOfAUsageWindow(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{
		Daemons: 2,
		Engines: []proc.Endpoint{{Name: "e1", Zone: "a"}},
		Site: func(s *config.Site) {
			s.Lease = drill.ShortLease()
			s.Usage = config.Usage{Window: time.Second, Grace: 500 * time.Millisecond, Flush: 200 * time.Millisecond}
		},
	}
	c.Start(t)
	var counted uint64
	for _, h := range c.Hosts {
		a := h.Generate(c.Key("North"), wire.Generate{Prompt: "one two three", MaxTokens: 10})
		if !a.Complete() {
			t.Fatalf("incomplete answer: status %d, error %v: %s", a.Status, a.Err, a.Body)
		}
		last := a.Segments[len(a.Segments)-1]
		counted += uint64(last.PromptTokens + last.GeneratedTokens)
	}
	reported := func() (tokens uint64) {
		windows := map[uint64]bool{}
		for _, report := range c.Calls().Reports {
			for _, f := range report.Figures {
				if !windows[report.Window] {
					tokens += f.PromptTokens + f.GeneratedTokens
				}
			}
			windows[report.Window] = true
		}
		return tokens
	}
	proc.WaitUntil(t, pathTimeout, "the usage is reported", func() bool { return reported() == counted })
}
