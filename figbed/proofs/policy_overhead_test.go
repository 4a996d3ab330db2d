package proofs

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/loadr"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

const overheadDuration = 4 * time.Second

// Measures the latency that a daemon adds: the same calls and generations are sent through a daemon and directly to an
// endpoint at the same time. No limit is checked.
func TestPolicyOverhead(t *testing.T) {
	c := &proc.Cluster{
		Daemons:  1,
		Engines:  []proc.Endpoint{{Name: "e1", Zone: "a"}},
		Services: []proc.Endpoint{{Name: "s1", Zone: "a"}},
	}
	c.Start(t)
	cases := map[string]struct {
		endpoint string
		source   loadr.Source
	}{
		"PlainCall":  {"s1", loadr.Source{Path: "/lookup", Rate: 200}},
		"Generation": {"e1", loadr.Source{Path: wire.PathGenerate, Rate: 40, MaxTokens: 20}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			test.source.Organisation = "North"
			keyed := test.source
			keyed.Key = c.Key("North")
			var through, direct loadr.Result
			var group sync.WaitGroup
			group.Go(func() { through = measureLatency(t, loadr.Plan{Targets: []string{c.Hosts[0].URL()}}, keyed) })
			group.Go(func() {
				direct = measureLatency(t, loadr.Plan{Targets: []string{c.Endpoints[test.endpoint].URL()}, Direct: true}, test.source)
			})
			group.Wait()
			t.Logf("Overhead=%s P50=%.2f Direct.P50=%.2f P99=%.2f Direct.P99=%.2f FirstP50=%.2f Direct.FirstP50=%.2f",
				name, through.P50, direct.P50, through.P99, direct.P99, through.FirstP50, direct.FirstP50)
			if through.Whole < through.Sent || direct.Whole < direct.Sent {
				t.Errorf("not all requests were answered: through the daemon %v; direct %v", through, direct)
			}
		})
	}
}

func measureLatency(t *testing.T, plan loadr.Plan, source loadr.Source) loadr.Result {
	t.Helper()
	plan.Duration, plan.Seed, plan.Sources = overheadDuration, 1, []loadr.Source{source}
	report, err := loadr.Run(context.Background(), plan)
	if err != nil {
		t.Error(err)
		return loadr.Result{}
	}
	return report.Results[0]
}
