package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/usage"
	"github.com/figshift/figshift/internal/wire"
)

// BenchmarkLedger folds one delta of each host, closes the window and encodes the ledger. It reports the size in bytes
// of the ledger with one open and one frozen window, and the time to fold one delta.
func BenchmarkLedger(b *testing.B) {
	for _, size := range []struct{ hosts, organisations int }{{8, 8}, {100, 8}, {1400, 8}, {4300, 8}, {1400, 100}, {1400, 1000}} {
		b.Run(fmt.Sprintf("Hosts=%d/Organisations=%d", size.hosts, size.organisations), func(b *testing.B) {
			figures := make([]wire.UsageFigure, size.organisations)
			for i := range figures {
				figures[i] = wire.UsageFigure{
					Organisation: fmt.Sprintf("organisation-%04d", i), Requests: 40, PromptTokens: 40_000, CachedTokens: 9_000, GeneratedTokens: 12_000,
				}
			}
			l := &usage.Ledger{}
			window, seq := uint64(29_000_000), uint64(0)
			deltas, bytes := 0, 0
			for b.Loop() {
				window++
				seq++
				for h := range size.hosts {
					d := wire.UsageDelta{Host: fmt.Sprintf("host-%04d", h), Incarnation: "0123456789abcdef", Seq: seq, Window: window, Figures: figures}
					l.Fold(d, window)
					deltas++
				}
				l.Close(window - 1)
				encoded, err := l.Encode()
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(encoded)
				for len(l.Frozen) > 0 {
					l.Confirm(l.Frozen[0].ReportID)
				}
			}
			b.ReportMetric(float64(bytes), "ledger-bytes")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(deltas), "ns/delta")
		})
	}
}

// BenchmarkDelta reports the size in bytes of one delta as sent by a daemon.
func BenchmarkDelta(b *testing.B) {
	for _, organisations := range []int{1, 8, 100} {
		b.Run(fmt.Sprintf("Organisations=%d", organisations), func(b *testing.B) {
			h := newHarness(b)
			for b.Loop() {
				for i := range organisations {
					h.step(event.RequestDone{Organisation: fmt.Sprintf("organisation-%04d", i), HasUsage: true, PromptTokens: 40_000, CachedTokens: 9_000, GeneratedTokens: 12_000})
				}
				h.run(2 * time.Second)
			}
			b.ReportMetric(float64(h.deltaBytes), "delta-bytes")
		})
	}
}
