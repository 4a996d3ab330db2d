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

// The measurement of fairness: 2 engines generate 2,000 tokens per second each, which is 100 responses of 40 tokens per
// second, for 8 organisations of equal weight.
const (
	fairOrganisations  = 8
	fairResponseTokens = 40
	fairCapacity       = 100.0 // responses per second
	// FairShare is the number of responses per second that each organisation gets when all request more.
	FairShare    = fairCapacity / fairOrganisations
	fairDuration = 6 * time.Second
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
				name := organisationName(i)
				s.Organisations[name] = config.Organisation{Name: name, Weight: 1}
			}
		},
	}
	c.Start(t)
	return c
}

func organisationName(i int) string { return fmt.Sprintf("O%d", i) }

// MeasureFairness measures organisations that request demand responses per second each, except for the first one, which
// requests flood. It waits up to grace for outstanding responses after the end of the load; 0 waits for all. The
// overlay is added to the settings of the daemons.
func MeasureFairness(t testing.TB, overlay string, demand, flood float64, grace time.Duration) loadr.Report {
	t.Helper()
	c := fairCluster(t, overlay)
	plan := loadr.Plan{Duration: fairDuration, Grace: grace, Seed: 1}
	for _, h := range c.Hosts {
		plan.Targets = append(plan.Targets, h.URL())
	}
	for i := range fairOrganisations {
		rate := demand
		if i == 0 {
			rate = flood
		}
		plan.Sources = append(plan.Sources, loadr.Source{
			Organisation: organisationName(i), Key: c.Key(organisationName(i)), Path: wire.PathGenerate,
			Rate: rate, MaxTokens: fairResponseTokens,
		})
	}
	report, err := loadr.Run(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Neighbors summarizes the results of all organisations except the first one. Times are in milliseconds.
type Neighbors struct {
	P99      float64 // 99th percentile of the latency of all their responses
	Worst    float64 // highest 99th percentile of a single organisation
	Answered float64 // lowest fraction of an organisation's requests that got a complete response
}

// NeighborsOf summarizes the results of all organisations except the first one.
func NeighborsOf(r loadr.Report) Neighbors {
	neighbors := Neighbors{P99: r.P99(organisationName(0)), Answered: 1}
	for _, result := range r.Results[1:] {
		neighbors.Worst = max(neighbors.Worst, result.P99)
		neighbors.Answered = min(neighbors.Answered, float64(result.Whole)/float64(max(1, result.Sent)))
	}
	return neighbors
}

// LowestShare returns the number of responses that the organisation with the fewest got within the duration of the
// load, divided by the mean over all organisations.
func LowestShare(r loadr.Report) float64 {
	fewest, total := r.Results[0].InTime, 0
	for _, result := range r.Results {
		fewest = min(fewest, result.InTime)
		total += result.InTime
	}
	return float64(fewest) / (float64(total) / float64(len(r.Results)))
}
