package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
)

// fakeTrust is an event.Trust of a host that holds every duty or none.
type fakeTrust struct{ held bool }

func (d *fakeTrust) Trusted(time.Duration) (time.Duration, bool) { return time.Hour, true }

func (d *fakeTrust) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + time.Second, 1, d.held
}

func TestSweepTurns(t *testing.T) {
	cases := map[string]struct {
		held     bool
		answered bool
		keep     time.Duration // KeepResults
		want     []event.Effect
	}{
		"Holder":         {true, true, 2 * time.Minute, []event.Effect{event.SweepJobs{Keep: minKeep, KeepOpen: keepOpen}, event.SweepJobs{Keep: minKeep, KeepOpen: keepOpen}}},
		"LongResults":    {true, true, time.Hour, []event.Effect{event.SweepJobs{Keep: 2 * time.Hour, KeepOpen: keepOpen}, event.SweepJobs{Keep: 2 * time.Hour, KeepOpen: keepOpen}}},
		"OneAtATime":     {true, false, 2 * time.Minute, []event.Effect{event.SweepJobs{Keep: minKeep, KeepOpen: keepOpen}}},
		"AnotherHoldsIt": {false, true, 2 * time.Minute, nil},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Sweeper{Trust: &fakeTrust{held: test.held}, KeepResults: test.keep}
			var got []event.Effect
			for now := time.Duration(0); now <= 2*sweepInterval; now += time.Second {
				var out event.Batch
				s.Step(now, event.Tick{}, &out)
				got = append(got, out.Effects...)
				if len(out.Effects) > 0 && test.answered {
					s.Step(now, event.JobsSwept{Jobs: 1}, &event.Batch{})
				}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("sweeps (-want +got):\n%s", diff)
			}
		})
	}
}
