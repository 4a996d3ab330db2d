package usage_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/usage"
)

// TestSuccessorWaitsForCounts guards against missing tokens when the holder dies near the end of a window: its
// successor must not close that window before it has received the daemons' deltas.
func TestSuccessorWaitsForCounts(t *testing.T) {
	h := newHarness(t)
	h.runAnsweringReports(12500 * time.Millisecond) // windows up to 99999 are reported
	h.noHolder = true
	h.requestDone(7)
	h.run(6 * time.Second)
	h.step(event.DutyLost{Duty: event.DutyUsage})
	h.dutyHeld = false
	h.run(4 * time.Second)
	h.dutyHeld, h.noHolder = true, false
	h.step(event.DutyGained{Duty: event.DutyUsage, Epoch: 1, Ledger: h.ledger})
	h.runAnsweringReports(4 * time.Second)
	if diff := cmp.Diff(uint64(7), h.reportedTokens()["usage-100001"]); diff != "" {
		t.Errorf("tokens of the window (-want +got):\n%s", diff)
	}
}

// TestRefusedEpochIsNotUsedAgain guards against reports under a superseded epoch: when the platform refuses a report
// because it has seen another holder's higher epoch, the duty is released.
func TestRefusedEpochIsNotUsedAgain(t *testing.T) {
	h := newHarness(t)
	released := 0
	h.state.Components = append(h.state.Components, eventFunc(func(ev event.Event) {
		if _, ok := ev.(event.ReleaseDuty); ok {
			released++
		}
	}))
	h.run(13 * time.Second)
	h.answerReport(kinds.Conflict)
	if released != 1 {
		t.Errorf("the duty was released %d times, want once", released)
	}
}

// eventFunc is a component that calls a function with each event.
type eventFunc func(ev event.Event)

func (f eventFunc) Step(_ time.Duration, ev event.Event, _ *event.Batch) { f(ev) }

// TestRequestsCountByTheirBegin guards against requests that are counted in the window in which their answers end: with
// Counter.CountRequests, a request belongs to the window in which it began.
func TestRequestsCountByTheirBegin(t *testing.T) {
	cases := map[string]struct {
		done event.RequestDone
		want map[string]uint64
	}{
		"in the window before": {event.RequestDone{Organisation: "a", Began: 9 * time.Second}, map[string]uint64{"usage-100000": 1}},
		"failed after it ran":  {event.RequestDone{Organisation: "a", Began: 9 * time.Second, Kind: kinds.StreamCut}, map[string]uint64{"usage-100000": 1}},
		"never ran":            {event.RequestDone{Organisation: "a", Kind: kinds.NoEndpoint}, map[string]uint64{"usage-100000": 0}},
		"figshift's own":       {event.RequestDone{Organisation: "a", Began: 9 * time.Second, Own: true}, map[string]uint64{"usage-100000": 0}},
		"of no organisation":   {event.RequestDone{Began: 9 * time.Second}, map[string]uint64{"usage-100000": 0}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.state.Components[0] = &usage.Counter{Host: "h1", Incarnation: "i1", CountRequests: true}
			site := config.Defaults()
			site.Usage = config.Usage{Window: window, Grace: grace, Flush: time.Second}
			h.step(event.ConfigInForce{Site: site})
			h.step(event.WallClock{Unix: epoch})
			h.runAnsweringReports(10100 * time.Millisecond)
			h.step(c.done)
			h.runAnsweringReports(3 * time.Second)
			got := map[string]uint64{}
			for _, r := range h.reports {
				if r.Report.ReportID != "usage-100000" {
					continue
				}
				got[r.Report.ReportID] = 0
				for _, f := range r.Report.Figures {
					got[r.Report.ReportID] += f.Requests
				}
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("requests (-want +got):\n%s", diff)
			}
		})
	}
}
