package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// An engine becomes slow while it runs items that a training step waits for. Its items must continue on another engine
// from the held events.
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
			r.submit("j1", testHead(1, 3, noHints))
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
			if diff := cmp.Diff([]string{"140"}, loggedGaps(r)); diff != "" {
				t.Errorf("GapMS of the ItemMoved lines (-want +got):\n%s", diff)
			}
			stop := take[event.StopItem](r)[0]
			r.effects = nil
			r.step(event.ItemEnded{Job: "j1", Item: stop.Item, Attempt: stop.Attempt, Reason: event.ReasonStopped, Events: 9, Versions: []uint64{1}})
			runs := take[event.RunItem](r)
			if len(runs) != 1 || runs[0].Endpoint == "e1" || runs[0].Restart {
				t.Errorf("runs = %v, want the item to continue on another engine from the held events", runs)
			}
		})
	}
}

// loggedGaps returns the GapMS fields of the ItemMoved log lines.
func loggedGaps(r *rig) []string {
	var gaps []string
	for _, line := range take[event.Log](r) {
		for _, f := range line.Fields {
			if line.Event == "ItemMoved" && f.Key == "GapMS" {
				gaps = append(gaps, f.Value)
			}
		}
	}
	return gaps
}

// A host that runs no items on an engine must use the gaps that the other hosts report.
func TestPaceOfOtherHosts(t *testing.T) {
	r := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
	runs := []wire.EngineRuns{{Endpoint: "e1", Items: 1, GapMS: 150}, {Endpoint: "e2", Items: 1, GapMS: 40}}
	r.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Runs: runs}})
	r.submit("j1", testHead(1, 3, noHints))
	if diff := cmp.Diff([]string{"j1/0@e2", "j1/1@e2", "j1/2@e2"}, r.running()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

// newRigWithTwoSpeeds returns a host with measured engines of two speed classes, of which e1 and e2 are the fast ones.
func newRigWithTwoSpeeds(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, testEngine("e1", 1), testEngine("e2", 1), testEngine("e3", 1), testEngine("e4", 1))
	for engine, gap := range map[string]time.Duration{"e1": 50, "e2": 49, "e3": 64, "e4": 65} {
		r.step(event.EnginePace{Endpoint: engine, Incarnation: "1", Gap: gap * time.Millisecond, Events: 10})
	}
	return r
}

// The engines of a service are of two kinds of hardware, one of them a third slower. Since a step lasts as long as its
// longest items, these must run on the faster engines.
func TestLongItemsGoToFastEngines(t *testing.T) {
	r := newRigWithTwoSpeeds(t)
	const items, long = 16, 4
	r.submit("j1", testHead(items, 1, func(i int) int {
		if i < long {
			return 1000
		}
		return 10
	}))
	kinds := map[bool]map[string]int{true: {}, false: {}}
	for _, e := range take[event.RunItem](r) {
		kinds[e.Item < long][map[string]string{"e1": "fast", "e2": "fast", "e3": "slow", "e4": "slow"}[e.Endpoint]]++
	}
	want := map[bool]map[string]int{true: {"fast": long}, false: {"fast": 8 - long, "slow": 8}}
	if diff := cmp.Diff(want, kinds); diff != "" {
		t.Errorf("engines of the long items and the others (-want +got):\n%s", diff)
	}
}

// A long item was started on a slower engine because all others were full, or before the engine was measured. It must move
// once a faster engine is free.
func TestLongItemMovesToAFastEngine(t *testing.T) {
	cases := map[string]struct {
		hint  func(i int) int
		gaps  map[string]time.Duration
		moved int
	}{
		"long item":         {func(i int) int { return 1000 - 990*min(i, 1) }, map[string]time.Duration{"e1": 64, "e2": 50, "e3": 50}, 1},
		"no hints":          {noHints, map[string]time.Duration{"e1": 64, "e2": 50, "e3": 50}, 0},
		"engines are alike": {func(i int) int { return 1000 - 990*min(i, 1) }, map[string]time.Duration{"e1": 53, "e2": 50, "e3": 50}, 0},
		"no fast one":       {func(i int) int { return 1000 - 990*min(i, 1) }, map[string]time.Duration{"e1": 64, "e2": 64, "e3": 64}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testEngine("e1", 1))
			r.submit("j1", testHead(4, 1, c.hint))
			r.step(event.EndpointsListed{List: wire.EndpointList{Revision: 2, Endpoints: []wire.Endpoint{
				testEngine("e1", 1), testEngine("e2", 1), testEngine("e3", 1),
			}}})
			for _, engine := range []string{"e2", "e3", "e1"} {
				r.step(event.EnginePace{Endpoint: engine, Incarnation: "1", Gap: c.gaps[engine] * time.Millisecond, Events: 10})
			}
			stops := take[event.StopItem](r)
			if len(stops) != c.moved {
				t.Fatalf("%d items moved, want %d", len(stops), c.moved)
			}
			for _, s := range stops {
				if s.Item != 0 {
					t.Errorf("item %d moved, want the long one", s.Item)
				}
			}
		})
	}
}
