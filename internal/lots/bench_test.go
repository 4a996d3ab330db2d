package lots

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// BenchmarkLot makes whole lots of different sizes, with a tick for each 50 ms of a lot that takes 60 s.
func BenchmarkLot(b *testing.B) {
	for _, groups := range []int{8, 64, 512} {
		b.Run(fmt.Sprintf("Samples%d", groups*8), func(b *testing.B) {
			spec := newSpec()
			spec.Groups, spec.SamplesPerGroup, spec.SpareGroups, spec.SealAhead = groups, 8, groups/8, 0
			for range b.N {
				makeWhole(newDaemon(spec, 10000), groups*8)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*groups*8), "ns/sample")
		})
	}
}

// makeWhole spreads the ends of a lot's samples over its ticks.
func makeWhole(d *daemon, samples int) {
	const ticks = 1200
	d.gain(1, nil)
	for i := range ticks {
		d.tick(50 * time.Millisecond)
		due := samples*(i+1)/ticks - samples*i/ticks
		for range due {
			if len(d.requests) > 0 {
				d.endLast()
			}
		}
	}
}

// endLast ends the newest request, which costs the test least.
func (d *daemon) endLast() {
	r := d.requests[len(d.requests)-1]
	d.requests = d.requests[:len(d.requests)-1]
	d.step(event.RequestDone{Request: r.Request, Sample: r.Sample, GeneratedTokens: 1, Versions: []event.VersionRun{{Version: 1, Tokens: 1}}})
}
