package weight

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// BenchmarkPublish brings a version to all engines of a model, whose swaps take 1.5 s each. It reports the simulated time
// until all engines have the version, the number of ledger writes, and the reducer's processor time.
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

// publishAll runs until every engine has the version, and returns the number of ledger writes and the simulated time.
func publishAll(r *rig, n int) (int, time.Duration) {
	const swapTime = 1500 * time.Millisecond
	type running struct {
		end  time.Duration
		swap event.SwapEngine
	}
	var inProgress []running
	writes, done := 0, 0
	for done < n {
		r.tick(50 * time.Millisecond)
		r.answerReads(1)
		writes += len(r.writes)
		r.storeWrites()
		for _, s := range r.swaps {
			inProgress = append(inProgress, running{end: r.now + swapTime, swap: s})
		}
		r.swaps = nil
		for len(inProgress) > 0 && inProgress[0].end <= r.now {
			s := inProgress[0].swap
			inProgress = inProgress[1:]
			r.step(event.EngineSwapped{Duty: s.Duty, Epoch: s.Epoch, OrderID: s.OrderID, Endpoint: s.Endpoint, Version: s.Version})
			done++
		}
	}
	return writes, r.now
}
