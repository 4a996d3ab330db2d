package call

import (
	"testing"

	"github.com/figshift/figshift/internal/event"
)

// TestOnlyOwnFailuresOfEndpointsCount guards against giving up an item whose score request failed only because full or
// leaving endpoints refused it until its deadline. Only status 500 counts as a failure of the endpoint.
func TestOnlyOwnFailuresOfEndpointsCount(t *testing.T) {
	cases := map[string]struct {
		reports []event.AttemptDone
		want    int
	}{
		"failures":       {[]event.AttemptDone{{Status: 500, Reason: event.ReasonStatus}, {Status: 500, Whole: true}}, 2},
		"past deadline":  {[]event.AttemptDone{{Status: 504, Reason: event.ReasonStatus}}, 0},
		"full":           {[]event.AttemptDone{{Status: 503, Reason: event.ReasonRefused}, {Status: 503, Reason: event.ReasonStatus}}, 0},
		"refused by 500": {[]event.AttemptDone{{Status: 500, Reason: event.ReasonRefused}}, 0},
		"answers":        {[]event.AttemptDone{{Status: 200, Whole: true}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := &Exchange{}
			for _, r := range c.reports {
				e.countFailure(r)
			}
			if e.Failures() != c.want {
				t.Errorf("Failures() = %d, want %d", e.Failures(), c.want)
			}
		})
	}
}
