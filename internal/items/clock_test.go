package items

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// TestTakenJobKeepsItsTimes covers the disruption clock_step: a host whose clock has jumped takes a job over. It must give
// the job's items up neither sooner nor later than by the time of day that the hosts agree on.
func TestTakenJobKeepsItsTimes(t *testing.T) {
	const now, giveUp, age = time.Minute, 40 * time.Second, 10 * time.Second
	cases := map[string]time.Duration{"SameClock": 0, "Ahead": 2 * time.Second, "Behind": -2 * time.Second}
	for name, jump := range cases {
		t.Run(name, func(t *testing.T) {
			x := &Executor{Now: func() time.Duration { return now }}
			x.Prepare()
			agreed := time.Duration(time.Now().UnixNano()) + jump // this host's clock is off by the jump
			agreed = agreed.Truncate(time.Millisecond)
			x.Do(event.KnowClock{Epoch: agreed - now})
			job := wire.Job{ID: "j1", Submitted: (agreed - age).Milliseconds(), GiveUpMS: giveUp.Milliseconds()}
			got := x.head(job).GiveUp.Round(time.Millisecond)
			if diff := cmp.Diff(now-age+giveUp, got); diff != "" {
				t.Errorf("GiveUp (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(agreed.Milliseconds(), x.UnixMS()); diff != "" {
				t.Errorf("UnixMS() (-want +got):\n%s", diff)
			}
		})
	}
}
