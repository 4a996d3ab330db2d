package limit_test

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

// News of the end of a limit that waited on its way, as on a link that was cut for seconds, must not lift the limit that was named since.
func TestNewsThatWaitedLiftsNoLaterLimit(t *testing.T) {
	endpoint := wire.LeaveMark{Endpoint: "e1", Incarnation: "7"}
	lifted := wire.EndpointLimit{Endpoint: "e1", Incarnation: "7", Lifted: true, AgeMS: 100}
	cases := map[string]struct {
		anchor  time.Duration // when this host sent the heartbeat that the one with the news echoes
		limited bool
	}{
		"it waited":       {10 * time.Second, true},
		"it came at once": {19900 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			component := &limit.Component{}
			var out event.Batch
			component.Step(15*time.Second, limit.Answered(endpoint, 15*time.Second, "2.5"), &out)
			beat := wire.Beat{Limits: []wire.EndpointLimit{lifted}}
			component.Step(20*time.Second, event.BeatSeen{Host: "h2", Beat: beat, Anchor: c.anchor, Anchored: true}, &out)
			if got := component.Allowance(20*time.Second, endpoint, limit.Requests).Limited; got != c.limited {
				t.Errorf("limited: %v, want %v", got, c.limited)
			}
		})
	}
}
