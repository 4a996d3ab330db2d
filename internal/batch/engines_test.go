package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// Engines appear and disappear while other hosts report their runs or are lost. The number of items that other hosts
// run on an engine must always follow from their last reports.
func TestSlotsThatOtherHostsTake(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := &engines{self: "h1"}
	reported := map[string][]wire.EngineRuns{}
	for step := range 2000 {
		switch random.IntN(3) {
		case 0:
			var list []wire.Endpoint
			for i := range 8 {
				if random.IntN(3) > 0 {
					e := testEngine(fmt.Sprintf("e%d", i), 1)
					e.Incarnation = fmt.Sprint(random.IntN(2))
					list = append(list, e)
				}
			}
			s.setEndpoints(0, list)
		case 1:
			host := fmt.Sprintf("h%d", 2+random.IntN(3))
			runs := []wire.EngineRuns{}
			for i := range 8 {
				if random.IntN(3) == 0 {
					runs = append(runs, wire.EngineRuns{Endpoint: fmt.Sprintf("e%d", i), Items: 1 + random.IntN(3)})
				}
			}
			s.setRemoteRuns(0, host, runs)
			reported[host] = runs
		default:
			host := fmt.Sprintf("h%d", 2+random.IntN(3))
			s.setRemoteRuns(0, host, nil)
			delete(reported, host)
		}
		want, got := map[string]int{}, map[string]int{}
		for name, e := range s.byName {
			want[name], got[name] = 0, e.remoteRunning
		}
		for _, runs := range reported {
			for _, r := range runs {
				if _, ok := want[r.Endpoint]; ok {
					want[r.Endpoint] += r.Items
				}
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("items of other hosts after step %d (-want +got):\n%s", step, diff)
		}
	}
}

// An engine that other hosts have filled gets no item, and the engine with the smallest load is picked first.
func TestPickCountsOthers(t *testing.T) {
	cases := map[string]struct {
		others map[string]int
		want   string
	}{
		"all free":        {nil, "e1"},
		"one is used":     {map[string]int{"e1": 1}, "e2"},
		"one is full":     {map[string]int{"e1": 4, "e2": 3}, "e2"},
		"all are full":    {map[string]int{"e1": 4, "e2": 4}, ""},
		"more than slots": {map[string]int{"e1": 9, "e2": 2}, "e2"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &engines{self: "h1"}
			s.setEndpoints(0, []wire.Endpoint{testEngine("e1", 1), testEngine("e2", 1)})
			s.byName["e1"].tieRank, s.byName["e2"].tieRank = 1, 2
			var runs []wire.EngineRuns
			for endpoint, items := range c.others {
				runs = append(runs, wire.EngineRuns{Endpoint: endpoint, Items: items})
			}
			s.setRemoteRuns(0, "h2", runs)
			got := ""
			if e := s.pick(0, requirements{need: need{service: "engines", model: testModel, minVersion: 1}}); e != nil {
				got = e.Name
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("engine (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkStepOfManyEngines dispatches a training step of 96 items to 3,000 engines.
func BenchmarkStepOfManyEngines(b *testing.B) {
	const count = 3000
	list := make([]wire.Endpoint, count)
	for i := range list {
		list[i] = testEngine(fmt.Sprintf("i-%08x", i*7919), 1)
	}
	r := newRig(&testing.T{})
	r.step(event.EndpointsListed{List: wire.EndpointList{Revision: 2, Endpoints: list}})
	for n := range b.N {
		r.submit(fmt.Sprint("j", n), testHead(6, 16, noHints))
		runs := take[event.RunItem](r)
		r.effects = nil
		r.now += time.Millisecond
		for _, e := range runs {
			r.step(event.ItemEnded{Job: e.Job, Item: e.Item, Attempt: e.Attempt, Events: 9, Versions: []uint64{1}})
			r.step(event.ItemScored{Job: e.Job, Item: e.Item})
		}
	}
}
