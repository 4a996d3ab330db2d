package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
)

// A holder whose host was suspended, with the clock by which its lease runs, took itself for the holder beside its successor.
func TestSuspendedHolderAsksBeforeItActs(t *testing.T) {
	cases := map[string]struct {
		suspended time.Duration
		keeps     bool // no other host took the duty over meanwhile
	}{
		"for less than the lease": {time.Second, true},
		"for longer":              {15 * time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 0, []time.Duration{time.Hour, time.Second, time.Minute})
			round := 0
			for ; round < 100; round++ {
				w.advance(round)
			}
			before := w.holders()
			i := slices.IndexFunc(w.hosts, func(h *testHost) bool { return slices.Contains(before, h.component.Self.Name) })
			h := w.hosts[i]
			h.suspendedUntil = w.now + c.suspended
			for ; w.now < h.suspendedUntil-testStep; round++ {
				h.clockOffset -= testStep
				w.advance(round)
			}
			h.step(event.ClockGap{By: c.suspended})
			if slices.Contains(w.holders(), h.component.Self.Name) {
				t.Error("it acts as the holder before a write has confirmed its lease")
			}
			const rounds = 100
			for range rounds {
				w.advance(round)
				round++
				if holders := w.holders(); len(holders) > 1 {
					t.Fatalf("holders: %v", holders)
				}
			}
			if diff := cmp.Diff(c.keeps, slices.Equal(before, w.holders())); diff != "" {
				t.Errorf("holds the duty in the end (-want +got):\n%s, held by %v", diff, w.holders())
			}
		})
	}
}
