package proofs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/loadr"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// The site of the fairness measurements: 2 engines that make 2,000 tokens a second each, which is 100 answers of
// 40 tokens a second, for 8 organisations of equal weight.
const (
	fairOrganisations = 8
	fairAnswerTokens  = 40
	fairCapacity      = 100.0 // answers a second
	fairPart          = fairCapacity / fairOrganisations
	fairTime          = 6 * time.Second
	mostSlowdown      = 1.5 // of the others' p99 under one organisation's flood
	leastPart         = 0.9 // of its fair part that the worst-served organisation gets
)

func fairCluster(t *testing.T, overlay string) *proc.Cluster {
	t.Helper()
	args := []string{"--tokens", "2000", "--request-rate", "250", "--max-running", "8"}
	c := &proc.Cluster{
		Daemons: 2,
		Engines: []proc.Endpoint{{Name: "e1", Zone: "a", Args: args}, {Name: "e2", Zone: "b", Args: args}},
		Overlay: overlay,
		Site: func(s *config.Site) {
			s.Limits.ConcurrencyPerNode = 4
			s.Limits.QueuePerOrg = 200
			for i := range fairOrganisations {
				name := organisation(i)
				s.Organisations[name] = config.Organisation{Name: name, Weight: 1}
			}
		},
	}
	c.Start(t)
	return c
}

func organisation(i int) string { return fmt.Sprintf("O%d", i) }

// fairRun measures each organisation asking for demand answers a second, the first one for flood.
func fairRun(t *testing.T, overlay string, demand, flood float64) loadr.Report {
	t.Helper()
	c := fairCluster(t, overlay)
	plan := loadr.Plan{Duration: fairTime, Seed: 1}
	for _, h := range c.Hosts {
		plan.Targets = append(plan.Targets, h.URL())
	}
	for i := range fairOrganisations {
		rate := demand
		if i == 0 {
			rate = flood
		}
		plan.Sources = append(plan.Sources, loadr.Source{
			Organisation: organisation(i), Key: c.Key(organisation(i)), Path: wire.PathGenerate,
			Rate: rate, MaxTokens: fairAnswerTokens,
		})
	}
	report, err := loadr.Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// worstOther returns the greatest p99 and the least share of answered requests among the organisations but the first.
func worstOther(r loadr.Report) (p99, answered float64) {
	answered = 1
	for _, result := range r.Results[1:] {
		p99 = max(p99, result.P99)
		answered = min(answered, float64(result.Whole)/float64(max(1, result.Sent)))
	}
	return p99, answered
}

// worstPart returns the least served organisation's answers while the load lasted, as a part of an equal share.
func worstPart(r loadr.Report) float64 {
	least, all := r.Results[0].InTime, 0
	for _, result := range r.Results {
		least = min(least, result.InTime)
		all += result.InTime
	}
	return float64(least) / (float64(all) / float64(len(r.Results)))
}

func TestPolicyFairQueueUnderFlood(t *testing.T) {
	const demand, flood = 0.7 * fairPart, 10 * fairPart
	calm, _ := worstOther(fairRun(t, "", demand, demand))
	p99, answered := worstOther(fairRun(t, "", demand, flood))
	fifo, fifoAnswered := worstOther(fairRun(t, "QueuePolicy = Fifo\n", demand, flood))
	t.Logf("Policy=Fair Unflooded.P99=%.1f Flooded.P99=%.1f Ratio=%.2f Answered=%.3f Fifo.P99=%.1f Fifo.Ratio=%.2f Fifo.Answered=%.3f",
		calm, p99, p99/calm, answered, fifo, fifo/calm, fifoAnswered)
	if p99 > mostSlowdown*calm {
		t.Errorf("the others' p99 under the flood is %.1f ms, %.2f times the unflooded %.1f ms", p99, p99/calm, calm)
	}
	if answered < leastPart {
		t.Errorf("the worst-served other organisation had %.3f of its requests answered", answered)
	}
}

func TestPolicyFairQueueSaturated(t *testing.T) {
	const demand, flood = 1.5 * fairPart, 10 * fairPart
	fair := worstPart(fairRun(t, "", demand, flood))
	fifo := worstPart(fairRun(t, "QueuePolicy = Fifo\n", demand, flood))
	t.Logf("Policy=Fair WorstPart=%.3f Fifo.WorstPart=%.3f", fair, fifo)
	if fair < leastPart {
		t.Errorf("the worst-served organisation got %.3f of its fair part", fair)
	}
}
