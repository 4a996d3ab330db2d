package weight

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// BenchmarkPublish brings a version to all engines of a model whose swaps take 1.5 s, and reports the time that it
// takes, the ledger writes and the reducer's own processor time.
func BenchmarkPublish(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("Engines%d", n), func(b *testing.B) {
			writes, took := 0, time.Duration(0)
			for range b.N {
				r := newRig(n)
				r.target(2)
				w, t := publishAll(r, n)
				writes, took = writes+w, took+t
			}
			b.ReportMetric(took.Seconds()/float64(b.N), "s/publish")
			b.ReportMetric(float64(writes)/float64(b.N), "writes/publish")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/engine")
		})
	}
}

// publishAll returns the ledger writes and the time until every engine has the version.
func publishAll(r *rig, n int) (int, time.Duration) {
	const swapTime = 1500 * time.Millisecond
	type running struct {
		end  time.Duration
		swap event.SwapEngine
	}
	var under []running
	writes, done := 0, 0
	for done < n {
		r.tick(50 * time.Millisecond)
		r.readAll(1)
		writes += len(r.writes)
		r.store()
		for _, s := range r.swaps {
			under = append(under, running{end: r.now + swapTime, swap: s})
		}
		r.swaps = nil
		for len(under) > 0 && under[0].end <= r.now {
			s := under[0].swap
			under = under[1:]
			r.step(event.EngineSwapped{Duty: s.Duty, Epoch: s.Epoch, OrderID: s.OrderID, Endpoint: s.Endpoint, Version: s.Version})
			done++
		}
	}
	return writes, r.now
}
