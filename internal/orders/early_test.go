package orders_test

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/faulty"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/orders"
	"github.com/figshift/figshift/internal/wire"
)

// The platform answered a long usage report at once, without a length, and reset the connection while the report was being
// written. The report counted as delivered.
func TestEarlyAnswerThatIsResetAcknowledgesNothing(t *testing.T) {
	const plays = 8
	report := wire.UsageReport{ReportID: string(make([]byte, faulty.LongBody/len(`\u0000`)))}
	for ending, e := range faulty.Resets {
		t.Run(ending, func(t *testing.T) {
			t.Parallel()
			address := faulty.Start(t, faulty.Always("HTTP/1.1 200 OK\r\n\r\n", e))
			done := make(chan event.Event, 1)
			started := time.Now()
			x := &orders.Executor{
				BaseURL: "http://" + address,
				Now:     func() time.Duration { return time.Since(started) },
				Post:    func(ev event.Event) bool { done <- ev; return true },
			}
			for range plays {
				x.Do(event.SendUsage{Report: report, Before: x.Now() + leaseDeadline})
				if kind := (<-done).(event.UsageSent).Kind; kind != kinds.OutcomeUnknown {
					t.Fatalf("kind %q, want %q", kind, kinds.OutcomeUnknown)
				}
			}
		})
	}
}
