package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// lateRounds are the rounds of a call that ends and a tick that a job gets around its deadline.
const lateRounds = 40

// Items that were at an engine, or awaited their score, when their job's deadline came were sent again without end: stopped after
// a millisecond, or called for at once, and never listed.
func TestItemsPastTheirDeadlineAreListed(t *testing.T) {
	const tick, idleTick = 50 * time.Millisecond, 150 * time.Millisecond
	type results struct {
		Whole, Down int
		Runs        int // after the first, which began in time
		Scores      int // calls that began after the deadline
	}
	// ends tells what becomes of a run that is stopped or whose time is up.
	ends := func(reason string, status int) func(*rig, event.RunItem) {
		return func(r *rig, e event.RunItem) {
			r.step(event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Events: 2, Versions: []uint64{1}, Reason: reason, Status: status})
		}
	}
	cases := map[string]struct {
		run    func(*rig, event.RunItem)
		scored event.ItemScored // what each call for a score ends with; a status of 0 for none
		want   results
	}{
		"stopped":                     {ends(event.ReasonStopped, 0), event.ItemScored{}, results{Down: 1}},
		"status 500":                  {ends(event.ReasonStatus, 500), event.ItemScored{}, results{Down: 1}},
		"refused":                     {ends(event.ReasonRefused, 429), event.ItemScored{}, results{Down: 1}},
		"broken":                      {ends(event.ReasonBroken, 0), event.ItemScored{}, results{Down: 1}},
		"silent":                      {ends(event.ReasonSilent, 200), event.ItemScored{}, results{Down: 1}},
		"no connection":               {ends(event.ReasonDial, 0), event.ItemScored{}, results{Down: 1}},
		"never":                       {ends(event.ReasonUnprocessable, 422), event.ItemScored{}, results{Down: 1}},
		"whole, and scored":           {ends("", 200), event.ItemScored{Status: 200}, results{Whole: 1, Scores: 1}},
		"whole, not scored in time":   {ends("", 200), event.ItemScored{Kind: kinds.DeadlineExceeded}, results{Down: 1, Scores: 1}},
		"whole, and the scorer fails": {ends("", 200), event.ItemScored{Status: 500, Failures: 1}, results{Down: 1, Scores: 1}},
	}
	for name, c := range cases {
		for length, interval := range map[string]time.Duration{"busy": tick, "idle": idleTick} {
			t.Run(name+", "+length, func(t *testing.T) {
				r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
				r.submit("j1", scoredHead())
				deadline := r.p.jobs["j1"].head.GiveUp
				r.tick(deadline - r.now - 10*time.Millisecond)
				var got results
				for range lateRounds {
					r.tick(interval)
					effects := r.effects
					r.effects = nil
					for _, effect := range effects {
						switch e := effect.(type) {
						case event.RunItem:
							if e.Attempt > 1 {
								got.Runs++
							}
							c.run(r, e)
						case event.ScoreItem:
							got.Scores++
							done := c.scored
							done.Job, done.Item = e.Job, e.Item
							r.step(done)
						case event.StoreChunk:
							for _, down := range e.Down {
								if down {
									got.Down++
								} else {
									got.Whole++
								}
							}
							r.step(event.ChunkStored{Job: e.Job, Number: e.Number, Items: e.Items})
						}
					}
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("results and calls (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// The end of a run that was stopped was passed over: a whole text was generated again or given up, and a failure didn't count.
func TestEndOfAStoppedRunCounts(t *testing.T) {
	cases := map[string]struct {
		reason   string
		status   int
		want     itemState
		failures int
		avoids   string
	}{
		"whole":         {"", 200, scoring, 0, ""},
		"unprocessable": {event.ReasonUnprocessable, 422, listing, 0, ""},
		"status 500":    {event.ReasonStatus, 500, waiting, 1, ""},
		"stopped":       {event.ReasonStopped, 0, waiting, 0, ""},
		"broken":        {event.ReasonBroken, 0, waiting, 0, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.submit("j1", scoredHead())
			r.step(event.StopAsked{})
			for _, s := range take[event.StopItem](r) {
				r.step(event.ItemEnded{Job: s.Job, Item: s.Item, Attempt: s.Attempt, Reason: c.reason, Status: c.status, Events: 2, Versions: []uint64{1}})
			}
			it := r.p.jobs["j1"].items[0]
			if diff := cmp.Diff([]any{c.want, c.failures, c.avoids}, []any{it.state, it.failures, it.avoidEngine}); diff != "" {
				t.Errorf("state, failures, engine to avoid (-want +got):\n%s", diff)
			}
		})
	}
}

// Nothing may begin for items of which no run can end in time, and each must be given up at the deadline, not before.
func TestItemsThatWaitPastTheirDeadline(t *testing.T) {
	oneEngine := event.EndpointsListed{List: wire.EndpointList{Revision: 2, Endpoints: []wire.Endpoint{testEngine("e1", 1)}}}
	cases := map[string]func(r *rig){
		"no engine": func(r *rig) { r.submit("j1", testHead(1, 2, noHints)) },
		"engines come too late": func(r *rig) {
			r.submit("j1", testHead(1, 2, noHints))
			r.tick(testSite().Routes["rollouts"].Jobs.GiveUpAfter - minRunTime)
			r.step(oneEngine)
		},
		"taken over after the deadline": func(r *rig) {
			r.step(oneEngine)
			r.tick(time.Hour)
			head := testHead(1, 2, noHints)
			head.ID, head.Route, head.GiveUp = "j1", "rollouts", r.now-time.Second
			r.step(event.JobTaken{Job: "j1", Head: head, Epoch: 1})
		},
		"another run was due": func(r *rig) {
			r.step(oneEngine)
			r.submit("j1", testHead(1, 2, noHints))
			r.tick(testSite().Routes["rollouts"].Jobs.GiveUpAfter - minRunTime)
			for _, run := range take[event.RunItem](r) {
				r.step(event.ItemEnded{Job: "j1", Item: run.Item, Attempt: run.Attempt, Reason: event.ReasonBroken})
			}
			r.effects = nil
		},
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			begin(r)
			deadline := r.p.jobs["j1"].head.GiveUp
			if r.now < deadline {
				r.tick(deadline - r.now - time.Millisecond)
				if early := take[event.StoreChunk](r); len(early) > 0 {
					t.Errorf("listed before the deadline: %+v", early)
				}
			}
			r.tick(2 * time.Millisecond)
			r.tick(2 * maxListDelay)
			type outcome struct{ Runs, Down int }
			got := outcome{Runs: len(take[event.RunItem](r))}
			for _, chunk := range take[event.StoreChunk](r) {
				got.Down += len(chunk.Down)
			}
			if diff := cmp.Diff(outcome{Down: 2}, got); diff != "" {
				t.Errorf("runs and results that are down (-want +got):\n%s", diff)
			}
		})
	}
}

// An item whose run the executor can't begin was sent to it again at once, without a pause, until its deadline.
func TestRunWithoutABodyIsNotRepeatedAtOnce(t *testing.T) {
	r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
	r.submit("j1", testHead(1, 1, noHints))
	runs := 0
	for end := r.now + 2*time.Second; r.now < end; r.tick(10 * time.Millisecond) {
		for _, e := range take[event.RunItem](r) {
			runs++
			r.effects = nil
			r.step(event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Reason: event.ReasonBodyMissing})
		}
	}
	if most := int(2*time.Second/bodyMissingPause) + 1; runs < 2 || runs > most {
		t.Errorf("%d runs in 2 s, want 2 to %d", runs, most)
	}
}
