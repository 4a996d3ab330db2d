package batch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// An item ends at the target size: 4,096 items wait for a slot of 1,700 engines. The dispatch must find the next item
// without looking for an engine for each of those that wait. The baseline sorts them and does so.
func BenchmarkEndedItem(b *testing.B) {
	const items, engines = 4096, 1700
	dispatchers := map[string]func(r *rig){
		"heap":     func(r *rig) { r.p.dispatch(r.now, &event.Batch{}) },
		"baseline": func(r *rig) { dispatchSorted(r.p, r.now, &event.Batch{}) },
	}
	for _, name := range []string{"baseline", "heap"} {
		b.Run(name, func(b *testing.B) {
			r := newRig(&testing.T{}, manyEngines(engines)...)
			r.submit("j1", testHead((items+engines*4)/16, 16, func(i int) int { return i * 7919 % 1000 }))
			ended := 0
			for b.Loop() {
				b.StopTimer()
				freed := r.p.engines.sorted[ended%engines]
				freed.ownRunning--
				waitingAgain(r.p.jobs["j1"], ended)
				ended++
				b.StartTimer()
				dispatchers[name](r)
			}
		})
	}
}

// waitingAgain makes an item wait, so that as many wait before each dispatch.
func waitingAgain(j *job, n int) { j.items[n%len(j.items)].state = waiting }

// dispatchSorted is the baseline of dispatch.
func dispatchSorted(p *Component, now time.Duration, out *event.Batch) {
	all := p.waitingItems(now, out).items
	slices.SortFunc(all, func(a, b waitingItem) int {
		return cmp.Or(p.Order.Compare(a.candidate, b.candidate), a.position-b.position)
	})
	for _, w := range all {
		if e := p.engines.pick(now, p.requirementsOf(w.jobItem, *w.route)); e != nil {
			p.startRun(w.jobItem, *w.route, e, out)
		}
	}
}

// Items of several jobs wait whose needs differ: versions that few engines have, versions that none has, and full
// engines. The dispatch must start the same items on the same engines as the baseline.
func TestDispatchMatchesTheBaseline(t *testing.T) {
	starts := func(dispatch func(p *Component, now time.Duration, out *event.Batch)) []string {
		r := newRig(t)
		for n, minVersion := range []uint64{1, 2, 3, 9} {
			head := testHead(3, 4, func(i int) int { return i * 7 % 5 })
			head.MinVersion, head.Target = minVersion, 2
			r.submit(fmt.Sprint("j", n), head)
		}
		var engines []wire.Endpoint
		for n := range 6 {
			engines = append(engines, testEngine(fmt.Sprint("e", n), uint64(1+n%3)))
		}
		r.p.engines.setEndpoints(r.now, engines)
		r.p.engines.sorted[2].ownRunning = 4
		var out event.Batch
		dispatch(r.p, r.now, &out)
		r.effects = out.Effects
		return r.running()
	}
	want := starts(dispatchSorted)
	if len(want) != 20 {
		t.Fatalf("the baseline starts %d items, want one for each free slot", len(want))
	}
	if diff := gocmp.Diff(want, starts((*Component).dispatch)); diff != "" {
		t.Errorf("runs (-baseline +dispatch):\n%s", diff)
	}
}

func manyEngines(n int) []wire.Endpoint {
	var all []wire.Endpoint
	for i := range n {
		all = append(all, testEngine(fmt.Sprintf("e%04d", i), 1))
	}
	return all
}
