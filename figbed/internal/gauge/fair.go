package gauge

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
	// FairPart is the answers a second that each organisation gets when all ask for more.
	FairPart = fairCapacity / fairOrganisations
	fairTime = 6 * time.Second
)

func fairCluster(t testing.TB, overlay string) *proc.Cluster {
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

// Fair measures each organisation asking for demand answers a second, the first one for flood.
// An answer may come up to grace after the end, 0 waits for all.
func Fair(t testing.TB, overlay string, demand, flood float64, grace time.Duration) loadr.Report {
	t.Helper()
	c := fairCluster(t, overlay)
	plan := loadr.Plan{Duration: fairTime, Grace: grace, Seed: 1}
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

// Neighbors is what the organisations but the first saw.
type Neighbors struct {
	P99      float64 // of all their answers
	Worst    float64 // the greatest of their own p99
	Answered float64 // the least part of the requests that was answered whole
}

// NeighborsOf returns what the organisations but the first saw in a measurement.
func NeighborsOf(r loadr.Report) Neighbors {
	o := Neighbors{P99: r.P99(organisation(0)), Answered: 1}
	for _, result := range r.Results[1:] {
		o.Worst = max(o.Worst, result.P99)
		o.Answered = min(o.Answered, float64(result.Whole)/float64(max(1, result.Sent)))
	}
	return o
}

// WorstPart returns the least served organisation's answers while the load lasted, as a part of an equal share.
func WorstPart(r loadr.Report) float64 {
	least, all := r.Results[0].InTime, 0
	for _, result := range r.Results {
		least = min(least, result.InTime)
		all += result.InTime
	}
	return float64(least) / (float64(all) / float64(len(r.Results)))
}
