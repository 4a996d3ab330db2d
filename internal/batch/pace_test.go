package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// Answers the pattern: an engine turns slow while it runs the long items that a step waits for.
func TestItemsLeaveASlowEngine(t *testing.T) {
	cases := map[string]struct {
		gaps  map[string]time.Duration
		moved []string
	}{
		"one slow":         {map[string]time.Duration{"e1": 140 * time.Millisecond, "e2": 40 * time.Millisecond, "e3": 42 * time.Millisecond}, []string{"j1/0@e1"}},
		"all alike":        {map[string]time.Duration{"e1": 45 * time.Millisecond, "e2": 40 * time.Millisecond, "e3": 42 * time.Millisecond}, nil},
		"all slow":         {map[string]time.Duration{"e1": 140 * time.Millisecond, "e2": 150 * time.Millisecond, "e3": 139 * time.Millisecond}, nil},
		"no other measure": {map[string]time.Duration{"e1": 140 * time.Millisecond}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1), testEngine("e2", 1), testEngine("e3", 1))
			r.submit("j1", testHead(1, 3, none))
			at := map[uint64]string{}
			for _, e := range take[event.RunItem](r) {
				at[e.Attempt] = e.Endpoint
			}
			for _, engine := range []string{"e2", "e3", "e1"} {
				if gap := c.gaps[engine]; gap > 0 {
					r.step(event.EnginePace{Endpoint: engine, Incarnation: "1", Gap: gap, Events: 10})
				}
			}
			var moved []string
			for _, s := range take[event.StopItem](r) {
				moved = append(moved, "j1/0@"+at[s.Attempt])
			}
			if diff := cmp.Diff(c.moved, moved); diff != "" {
				t.Fatalf("items moved (-want +got):\n%s", diff)
			}
			if len(moved) == 0 {
				return
			}
			stop := take[event.StopItem](r)[0]
			r.effects = nil
			r.step(event.ItemEnded{Job: "j1", Item: stop.Item, Attempt: stop.Attempt, Reason: event.ReasonStopped, Events: 9, Versions: []uint64{1}})
			runs := take[event.RunItem](r)
			if len(runs) != 1 || runs[0].Endpoint == "e1" || runs[0].Restart {
				t.Errorf("runs = %v, want the item to go on at another engine from what is held", runs)
			}
		})
	}
}

// A host without items on an engine goes by what the others tell.
func TestPaceOfOtherHosts(t *testing.T) {
	r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
	runs := []wire.EngineRuns{{Endpoint: "e1", Items: 1, GapMS: 150}, {Endpoint: "e2", Items: 1, GapMS: 40}}
	r.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Runs: runs}})
	r.submit("j1", testHead(1, 3, none))
	if diff := cmp.Diff([]string{"j1/0@e2", "j1/1@e2", "j1/2@e2"}, r.running()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}
