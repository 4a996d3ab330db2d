package clock

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// A host that goes on after a pause reads heartbeats that have waited meanwhile: it took their old readings for the time of day, in
// place of its own.
func TestReadingsThatWaitedAreNotTheTimeOfDay(t *testing.T) {
	const epoch = 1000 * time.Second
	p := &Component{}
	agreed := time.Duration(0)
	step := func(now time.Duration, ev event.Event) {
		var out event.Batch
		p.Step(now, ev, &out)
		for _, e := range out.Raised {
			if clock, ok := e.(event.WallClock); ok {
				agreed = clock.Unix - now
			}
		}
	}
	beats := func(now, sent, anchor time.Duration) {
		for _, host := range []string{"h2", "h3"} {
			step(now, event.BeatSeen{Host: host, Beat: wire.Beat{UnixMS: (epoch + sent).Milliseconds()}, Anchor: anchor, Anchored: true})
		}
	}
	const before, after = 10 * time.Second, 20 * time.Second
	beats(before, before, before-50*time.Millisecond)
	step(before, event.ClockRead{Unix: epoch + before})
	beats(after, after-3*time.Second, before)
	step(after, event.ClockRead{Unix: epoch + after})
	if agreed != epoch {
		t.Errorf("the agreed time is %v off", agreed-epoch)
	}
}
