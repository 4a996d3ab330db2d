package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// scoredHead returns the head of a job of one item that is scored.
func scoredHead() event.JobHead {
	head := testHead(1, 1, noHints)
	head.Items[0].ScoreHost, head.Items[0].ScorePath = "", "/s/x"
	return head
}

// endRuns ends the last run of each item as the executor does, with a whole text.
func (r *rig) endRuns(job string) {
	for _, e := range take[event.RunItem](r) {
		if e.Job == job {
			r.step(event.ItemEnded{Job: job, Item: e.Item, Attempt: e.Attempt, Events: 3, Versions: []uint64{1}})
		}
	}
}

// A host that was told to stop kept its open jobs, whose items ran nowhere, until its drain was cut, since an item of a job that had
// ended still waited for its score.
func TestStopGivesOpenJobsAwayAtOnce(t *testing.T) {
	stopRuns := func(r *rig) {
		for _, s := range take[event.StopItem](r) {
			r.step(event.ItemEnded{Job: s.Job, Item: s.Item, Attempt: s.Attempt, Reason: event.ReasonStopped, Events: 3, Versions: []uint64{1}})
		}
	}
	flushed := func(r *rig) { r.step(event.CopiesFlushed{}) }
	nothing := func(*rig) {}
	cases := map[string]struct {
		before func(r *rig) // the stop
		after  func(r *rig) // the stop, before the copies are flushed
		flush  func(r *rig)
		within time.Duration // from the stop
	}{
		"nothing else": {nothing, stopRuns, flushed, 100 * time.Millisecond},
		"a lost score of an ended job": {func(r *rig) {
			r.submit("old", scoredHead())
			r.endRuns("old")
			r.step(event.ItemScored{Job: "old", Kind: kinds.OutcomeUnknown})
			r.step(event.PeerReceived{Host: "h2", Message: wire.Message{News: &wire.JobNews{Job: "old", Host: "h1", Incarnation: "1", Ended: true}}})
		}, stopRuns, flushed, 100 * time.Millisecond},
		"a run of an ended job that doesn't stop": {func(r *rig) {
			r.submit("old", scoredHead())
			r.step(event.PeerReceived{Host: "h2", Message: wire.Message{News: &wire.JobNews{Job: "old", Host: "h1", Incarnation: "1", Ended: true}}})
			r.effects = nil
		}, func(r *rig) {
			r.effects = nil
		}, flushed, settleTimeout + 100*time.Millisecond},
		"a score of another open job": {func(r *rig) {
			r.submit("other", scoredHead())
			r.endRuns("other")
		}, stopRuns, flushed, settleTimeout + 100*time.Millisecond},
		"a store that is away": {func(r *rig) {
			r.submit("other", testHead(1, 1, noHints))
			r.endRuns("other")
		}, stopRuns, flushed, settleTimeout + 100*time.Millisecond},
		"runs that don't stop":    {nothing, nothing, flushed, settleTimeout + 100*time.Millisecond},
		"copies that don't flush": {nothing, stopRuns, nothing, flushTimeout + 100*time.Millisecond},
		"neither":                 {nothing, nothing, nothing, settleTimeout + flushTimeout + 100*time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
			c.before(r)
			r.submit("open", testHead(1, 2, noHints))
			r.tick(50 * time.Millisecond)
			r.effects = nil
			r.step(event.StopAsked{})
			c.after(r)
			for waited := time.Duration(0); waited < c.within; waited += 50 * time.Millisecond {
				r.tick(50 * time.Millisecond)
				if len(take[event.FlushCopies](r)) > 0 {
					c.flush(r)
				}
			}
			var got []wire.JobNews
			for _, n := range newsTo(r, "h2") {
				if n.Job == "open" {
					got = append(got, n)
				}
			}
			if diff := cmp.Diff([]wire.JobNews{{Job: "open", Next: "h2"}}, got); diff != "" {
				t.Errorf("news without an owner %v after the stop (-want +got):\n%s", c.within, diff)
			}
			if r.p.jobs["open"] != nil {
				t.Error("the host still runs the job")
			}
			if runs := take[event.RunItem](r); len(runs) > 0 {
				t.Errorf("runs begun after the stop: %v", runs)
			}
		})
	}
}
