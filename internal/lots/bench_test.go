package lots

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// BenchmarkLot builds lots of different sizes, with a tick every 50 ms during the 60 s that a lot takes.
func BenchmarkLot(b *testing.B) {
	for _, groups := range []int{8, 64, 512} {
		b.Run(fmt.Sprintf("Samples%d", groups*8), func(b *testing.B) {
			spec := newSpec()
			spec.Groups, spec.SamplesPerGroup, spec.SpareGroups, spec.SealAhead = groups, 8, groups/8, 0
			for range b.N {
				buildSpread(newDaemon(spec, 10000), groups*8)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*groups*8), "ns/sample")
		})
	}
}

// buildSpread builds a lot whose samples finish at an even rate over its ticks.
func buildSpread(d *daemon, samples int) {
	const ticks = 1200
	d.gainDuty(1, nil)
	for i := range ticks {
		d.tick(50 * time.Millisecond)
		due := samples*(i+1)/ticks - samples*i/ticks
		for range due {
			if len(d.requests) > 0 {
				d.finishNewest()
			}
		}
	}
}

// finishNewest finishes the newest request, the cheapest one for the test to remove.
func (d *daemon) finishNewest() {
	r := d.requests[len(d.requests)-1]
	d.requests = d.requests[:len(d.requests)-1]
	d.step(event.RequestDone{Request: r.Request, Sample: r.Sample, GeneratedTokens: 1, Versions: []event.VersionRun{{Version: 1, Tokens: 1}}})
}
