package clock

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
)

// The clock of the host that reports usage jumped while it was cut off from the other hosts. It then went by its own clock alone,
// and reported windows before their end as soon as it reached the platform again.
func TestJumpWhileNoHostIsHeard(t *testing.T) {
	const jump = 6 * time.Second
	cases := map[string]struct {
		heard  bool // other hosts were heard before
		after  time.Duration
		again  bool // and are heard again
		jump   time.Duration
		differ time.Duration // of the agreed time from the true one
	}{
		"soon":                        {heard: true, after: 5 * time.Second, jump: jump},
		"soon, back":                  {heard: true, after: 5 * time.Second, jump: -jump},
		"a small step":                {heard: true, after: 5 * time.Second, jump: maxSkew / 2, differ: maxSkew / 2},
		"long after":                  {heard: true, after: 2 * lonelyTime, jump: jump, differ: jump},
		"after they are heard again":  {heard: true, after: 5 * time.Second, again: true, jump: jump},
		"a host that never heard one": {after: 5 * time.Second, jump: jump, differ: jump},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Component{}
			var got time.Duration
			step := func(at time.Duration, events ...event.Event) {
				for _, ev := range events {
					var out event.Batch
					p.Step(now+at, ev, &out)
					for _, raised := range out.Raised {
						if w, ok := raised.(event.WallClock); ok {
							got = w.Unix - unix - at
						}
					}
				}
			}
			if c.heard {
				step(0, heartbeat("h2", unix), heartbeat("h3", unix))
			}
			step(0, event.ClockRead{Unix: unix})
			step(2*time.Second, event.HostLost{Host: "h2"}, event.HostLost{Host: "h3"})
			if c.again {
				step(c.after, heartbeat("h2", unix+c.after), heartbeat("h3", unix+c.after))
			}
			step(c.after, event.ClockRead{Unix: unix + c.after + c.jump})
			if diff := cmp.Diff(c.differ, got); diff != "" {
				t.Errorf("difference of the agreed time from the true time (-want +got):\n%s", diff)
			}
		})
	}
}
