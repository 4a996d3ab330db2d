package gauge

import (
	"context"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/loadr"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

// The site of the affinity measurements: 24 heads of 200 tokens, of which each of 4 engines caches 8.
const (
	cacheHeads     = 24
	cacheHeadWords = 200
	cacheTime      = 5 * time.Second
	cacheWarmUp    = 2 * time.Second
)

// Cache measures prompts that share heads; hot is the rate of one head more.
func Cache(t testing.TB, overlay string, hot float64) (hits, p99 float64) {
	t.Helper()
	c := &proc.Cluster{Daemons: 2, Overlay: overlay}
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		c.Engines = append(c.Engines, proc.Endpoint{Name: name, Zone: "a", Args: []string{
			"--tokens", "2000", "--request-rate", "250", "--max-running", "8", "--prefill", "1000", "--cache", "1700",
		}})
	}
	c.Zones = []string{"a"}
	c.Start(t)
	source := loadr.Source{
		Organisation: "North", Key: c.Key("North"), Path: wire.PathGenerate,
		Rate: 40, MaxTokens: 20, Prefixes: cacheHeads, PromptWords: cacheHeadWords,
	}
	plan := loadr.Plan{Duration: cacheTime, Seed: 1, Targets: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}}
	plan.Sources = append(plan.Sources, source)
	if hot > 0 {
		source.Name, source.Organisation, source.Key = "Hot", "South", c.Key("South")
		source.Rate, source.Prefixes = hot, 1
		plan.Sources = append(plan.Sources, source)
	}
	warm := plan
	warm.Duration, warm.Seed = cacheWarmUp, 2
	for _, p := range []loadr.Plan{warm, plan} {
		report, err := loadr.Run(context.Background(), p)
		if err != nil {
			t.Fatal(err)
		}
		hits, p99 = hitsAndP99(report)
	}
	return hits, p99
}

func hitsAndP99(r loadr.Report) (hits, p99 float64) {
	cached, prompt := 0, 0
	for _, result := range r.Results {
		cached += result.CachedTokens
		prompt += result.PromptTokens
		p99 = max(p99, result.P99)
	}
	return float64(cached) / float64(max(1, prompt)), p99
}
