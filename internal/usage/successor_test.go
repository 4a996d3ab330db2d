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

// Answers the pattern: the duty's holder dies near the end of a window. Its successor must not close that window
// before the daemons' counts have come to it.
func TestSuccessorWaitsForCounts(t *testing.T) {
	w := newWorld(t)
	w.answerAll(12500 * time.Millisecond) // window 99999 and those before are reported
	w.nobody = true
	w.done(7)
	w.run(6 * time.Second)
	w.step(event.DutyLost{Duty: event.DutyUsage})
	w.held = false
	w.run(4 * time.Second)
	w.held, w.nobody = true, false
	w.step(event.DutyGained{Duty: event.DutyUsage, Epoch: 1, Ledger: w.ledger})
	w.answerAll(4 * time.Second)
	if diff := cmp.Diff(uint64(7), w.ids()["usage-100001"]); diff != "" {
		t.Errorf("tokens of the window (-want +got):\n%s", diff)
	}
}

// Answers the pattern: another holder's epoch was seen; the platform refuses the report. It is not sent again under
// the lower one.
func TestRefusedEpochIsNotUsedAgain(t *testing.T) {
	w := newWorld(t)
	released := 0
	w.state.Parts = append(w.state.Parts, onEvent(func(ev event.Event) {
		if _, ok := ev.(event.ReleaseDuty); ok {
			released++
		}
	}))
	w.run(13 * time.Second)
	w.answer(kinds.Conflict)
	if released != 1 {
		t.Errorf("the duty was released %d times, want once", released)
	}
}

// onEvent is a part that shows each event to a test.
type onEvent func(ev event.Event)

func (f onEvent) Step(_ time.Duration, ev event.Event, _ *event.Batch) { f(ev) }

// Answers the pattern: usage is reported as requests that began, whenever their answers end.
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
			w := newWorld(t)
			w.state.Parts[0] = &usage.Counter{Host: "h1", Incarnation: "i1", Requests: true}
			site := config.Defaults()
			site.Usage = config.Usage{Window: window, Grace: grace, Flush: time.Second}
			w.step(event.ConfigInForce{Site: site})
			w.step(event.WallClock{Unix: epoch})
			w.answerAll(10100 * time.Millisecond)
			w.step(c.done)
			w.answerAll(3 * time.Second)
			got := map[string]uint64{}
			for _, r := range w.reports {
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
