package gauge

import (
	"context"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/loadr"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

// The measurement of cache affinity: the prompts share 24 prefixes of 200 tokens, and each of 4 engines caches 8 of them.
const (
	cachePrefixes       = 24
	cachePrefixWords    = 200
	cacheDuration       = 5 * time.Second
	cacheWarmUpDuration = 2 * time.Second
)

// MeasureCacheAffinity measures generations whose prompts share prefixes. It returns the fraction of the prompt tokens
// that were cached, and the 99th percentile of the latency in milliseconds of the source for which it is highest. When
// hot is above 0, a second organisation sends hot requests per second that all share one more prefix. The overlay is
// added to the settings of the daemons.
func MeasureCacheAffinity(t testing.TB, overlay string, hot float64) (hits, p99 float64) {
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
		Rate: 40, MaxTokens: 20, Prefixes: cachePrefixes, PromptWords: cachePrefixWords,
	}
	plan := loadr.Plan{Duration: cacheDuration, Seed: 1, Targets: []string{c.Hosts[0].URL(), c.Hosts[1].URL()}}
	plan.Sources = append(plan.Sources, source)
	if hot > 0 {
		source.Name, source.Organisation, source.Key = "Hot", "South", c.Key("South")
		source.Rate, source.Prefixes = hot, 1
		plan.Sources = append(plan.Sources, source)
	}
	warmUp := plan
	warmUp.Duration, warmUp.Seed = cacheWarmUpDuration, 2
	for _, p := range []loadr.Plan{warmUp, plan} {
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
