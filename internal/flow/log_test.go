package flow

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// TestLastLineTellsTheStatus checks that the last log line of a request has the endpoint's HTTP status, also when the
// endpoint's own 5xx answer is passed on to the caller.
func TestLastLineTellsTheStatus(t *testing.T) {
	cases := map[string]struct {
		status int
		run    kinds.Run
		reason string
		event  string
		want   string
	}{
		"answered":           {200, kinds.Ran, "", "RequestDone", "200"},
		"failure, passed on": {500, kinds.Ran, "", "RequestDone", "500"},
		"no answer":          {0, kinds.Unknown, event.ReasonBroken, "RequestFailed", "0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := newRig()
			g.component.LogRequests = true
			a := arrival(1, "Ledger", "/order")
			a.ID = "r1"
			d := attemptDone(g.startRunning(t, a), c.run, c.reason)
			d.Status = c.status
			var got []string
			for _, line := range effectsOf[event.Log](g.step(d)) {
				if line.Event != c.event {
					continue
				}
				for _, f := range line.Fields {
					if f.Key == "Status" {
						got = append(got, f.Value)
					}
				}
			}
			if diff := cmp.Diff([]string{c.want}, got); diff != "" {
				t.Errorf("statuses (-want +got):\n%s", diff)
			}
		})
	}
}
