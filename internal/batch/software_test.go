package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

func softwareEngine(name, software string) wire.Endpoint {
	e := testEngine(name, 1)
	e.Software = software
	return e
}

// An item's text was continued at engines of another software version than the one that had begun it.
func TestItemKeepsItsSoftware(t *testing.T) {
	cases := map[string]struct {
		others  []wire.Endpoint
		wait    time.Duration
		want    string // engine of the next run, "" for none
		restart bool
	}{
		"SameVersionElsewhere": {[]wire.Endpoint{softwareEngine("e2", "v2"), softwareEngine("e3", "v1")}, 0, "e3", false},
		"NoneLeft":             {[]wire.Endpoint{softwareEngine("e2", "v2")}, 0, "e2", true},
		"WorthWaiting":         {[]wire.Endpoint{softwareEngine("e2", "v2"), busyEngine("e3", "v1")}, 10 * defaultGap / 2, "", false},
		"WaitedLongEnough":     {[]wire.Endpoint{softwareEngine("e2", "v2"), busyEngine("e3", "v1")}, 10 * defaultGap, "e2", true},
		"NothingElseIsFree":    {[]wire.Endpoint{busyEngine("e2", "v2"), busyEngine("e3", "v1")}, time.Minute, "", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, softwareEngine("e1", "v1"))
			head := testHead(1, 1, noHints)
			head.GiveUp = time.Hour
			r.submit("j1", head)
			first := take[event.RunItem](r)[0]
			if diff := cmp.Diff("v1", first.Software); diff != "" {
				t.Errorf("version of the first run (-want +got):\n%s", diff)
			}
			r.step(event.EndpointsListed{List: wire.EndpointList{Revision: 2, Endpoints: c.others}})
			r.step(event.BeatSeen{Host: "h2", Beat: wire.Beat{Runs: busyRuns(c.others)}})
			r.effects = nil
			r.step(event.ItemEnded{Job: "j1", Item: 0, Attempt: first.Attempt, Reason: event.ReasonBroken, Events: 10, Versions: []uint64{1}, Software: "v1"})
			r.tick(c.wait)
			var got string
			restart := false
			for _, run := range take[event.RunItem](r) {
				got, restart = run.Endpoint, run.Restart
			}
			if got != c.want || restart != c.restart {
				t.Errorf("the next run is at %q and begins anew: %v; want %q and %v", got, restart, c.want, c.restart)
			}
		})
	}
}

const busySlots = 2

// busyEngine is an engine that another host has filled.
func busyEngine(name, software string) wire.Endpoint {
	e := softwareEngine(name, software)
	e.Slots = busySlots
	return e
}

func busyRuns(engines []wire.Endpoint) []wire.EngineRuns {
	var runs []wire.EngineRuns
	for _, e := range engines {
		if e.Slots == busySlots {
			runs = append(runs, wire.EngineRuns{Endpoint: e.Name, Items: busySlots})
		}
	}
	return runs
}

// An item that was moved away from a slow engine went on at another software version.
func TestMovedItemKeepsItsSoftware(t *testing.T) {
	for name, c := range map[string]struct {
		software string
		moved    int
	}{"SameVersion": {"v1", 1}, "OtherVersion": {"v2", 0}} {
		t.Run(name, func(t *testing.T) {
			e1 := softwareEngine("e1", "v1")
			r := newRig(t, e1)
			r.submit("j1", testHead(1, 1, noHints))
			r.step(event.EndpointsListed{List: wire.EndpointList{Revision: 2, Endpoints: []wire.Endpoint{e1, softwareEngine("e2", c.software), softwareEngine("e3", c.software)}}})
			for engine, gap := range map[string]time.Duration{"e2": 40 * time.Millisecond, "e3": 42 * time.Millisecond} {
				r.step(event.EnginePace{Endpoint: engine, Incarnation: "1", Gap: gap, Events: 10})
			}
			r.step(event.EnginePace{Endpoint: "e1", Incarnation: "1", Gap: 140 * time.Millisecond, Events: 10})
			if got := len(take[event.StopItem](r)); got != c.moved {
				t.Errorf("%d items moved, want %d", got, c.moved)
			}
		})
	}
}

// A host that took a job over continued the copied texts at engines of any software version.
func TestTakenOverItemKeepsItsSoftware(t *testing.T) {
	r := newRig(t, softwareEngine("e1", "v1"), softwareEngine("e2", "v2"), softwareEngine("e3", "v2"))
	head := testHead(1, 2, noHints)
	head.Route, head.GiveUp = "rollouts", time.Hour
	r.step(event.JobTaken{Job: "j1", Epoch: 1, Head: head, Held: []event.ItemHeld{
		{Item: 0, Events: 5, Versions: []uint64{1}, Software: "v1"}, {Item: 1, Events: 5, Versions: []uint64{1}, Software: "v3"},
	}})
	got := map[int]bool{}
	for _, run := range take[event.RunItem](r) {
		got[run.Item] = run.Restart
		if run.Item == 0 && run.Endpoint != "e1" {
			t.Errorf("item 0 goes on at %s, want e1", run.Endpoint)
		}
	}
	if diff := cmp.Diff(map[int]bool{0: false, 1: true}, got); diff != "" {
		t.Errorf("items that begin anew (-want +got):\n%s", diff)
	}
}
