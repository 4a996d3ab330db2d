package items

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// TestTakenJobKeepsItsTimes is for the disruption clock_step: a host whose time of day has jumped takes a job over. Its
// items must not be given up sooner, nor later, than the hosts' agreed time says.
func TestTakenJobKeepsItsTimes(t *testing.T) {
	const now, giveUp, age = time.Minute, 40 * time.Second, 10 * time.Second
	cases := map[string]time.Duration{"SameClock": 0, "Ahead": 2 * time.Second, "Behind": -2 * time.Second}
	for name, jump := range cases {
		t.Run(name, func(t *testing.T) {
			x := &Executor{Now: func() time.Duration { return now }}
			x.Prepare()
			agreed := time.Duration(time.Now().UnixNano()) + jump // the own clock differs by the jump
			agreed = agreed.Truncate(time.Millisecond)
			x.Do(event.KnowClock{Epoch: agreed - now})
			job := wire.Job{ID: "j1", Submitted: (agreed - age).Milliseconds(), GiveUpMS: giveUp.Milliseconds()}
			got := x.head(job).GiveUp.Round(time.Millisecond)
			if diff := cmp.Diff(now-age+giveUp, got); diff != "" {
				t.Errorf("time of giving up (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(agreed.Milliseconds(), x.UnixMS()); diff != "" {
				t.Errorf("time of a submission (-want +got):\n%s", diff)
			}
		})
	}
}
