package items

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// newSweepExecutor returns an executor whose store holds job j1 with three chunks and the record of its owner. The last
// result collects the executor's reports.
func newSweepExecutor(t *testing.T, owner wire.JobOwner) (*Executor, *memoryStore, *[]event.JobsSwept) {
	t.Helper()
	x, store, _ := newExecutor(t)
	for n := range 3 {
		store.seed(t, chunkName("j1", n), chunkOf(n))
	}
	store.seed(t, wire.PrefixTexts+"j1", []textCopy{})
	value, err := json.Marshal(owner)
	if err != nil {
		t.Fatal(err)
	}
	store.objects[wire.PrefixOwners+"j1"] = wire.Object{Name: wire.PrefixOwners + "j1", Version: 2, Value: value}
	var swept []event.JobsSwept
	x.Post = func(ev event.Event) bool {
		swept = append(swept, ev.(event.JobsSwept))
		return true
	}
	return x, store, &swept
}

// TestSweep covers a store that runs for months: the objects of ended jobs must not accumulate.
func TestSweep(t *testing.T) {
	const keep = 10 * time.Minute
	all := []string{"Chunks/j1.0", "Chunks/j1.1", "Chunks/j1.2", "Lots/j1", "Owners/j1", "Texts/j1"}
	expired := time.Now().Add(-keep - time.Minute).UnixMilli()
	cases := map[string]struct {
		owner wire.JobOwner
		left  []string // names of the objects after the sweep
		jobs  int      // number of jobs reported as swept
	}{
		"EndedLongAgo":   {wire.JobOwner{Epoch: 1, Ended: true, EndedMS: expired}, nil, 1},
		"EndedJustNow":   {wire.JobOwner{Epoch: 1, Ended: true, EndedMS: time.Now().UnixMilli()}, all, 0},
		"Open":           {wire.JobOwner{Epoch: 1}, all, 0},
		"EndWithoutTime": {wire.JobOwner{Epoch: 1, Ended: true}, all, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, swept := newSweepExecutor(t, test.owner)
			x.sweep(context.Background(), event.SweepJobs{Keep: keep})
			if diff := cmp.Diff(test.left, store.names()); diff != "" {
				t.Errorf("objects left (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]event.JobsSwept{{Jobs: test.jobs}}, *swept); diff != "" {
				t.Errorf("reported (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSweepThatWasCutShort covers a store that fails in the middle of a sweep: the next sweep must find the objects that
// are left.
func TestSweepThatWasCutShort(t *testing.T) {
	const changes = 6 // three chunks, the texts, the job and the record of its owner
	for _, lost := range []loss{lossAnswer, lossChange} {
		for failing := range changes {
			x, store, swept := newSweepExecutor(t, wire.JobOwner{Epoch: 1, Ended: true, EndedMS: 1})
			n := 0
			store.nextLoss = func() loss {
				n++
				if n == failing+1 {
					return lost
				}
				return lossNone
			}
			sweep := event.SweepJobs{Keep: time.Minute}
			x.sweep(context.Background(), sweep)
			x.sweep(context.Background(), sweep)
			if diff := cmp.Diff([]string(nil), store.names()); diff != "" {
				t.Errorf("change %d lost (%d): objects left (-want +got):\n%s", failing, lost, diff)
			}
			if got := (*swept)[0].Kind; got != kinds.StoreUnavailable {
				t.Errorf("change %d lost (%d): kind of the first sweep = %q", failing, lost, got)
			}
		}
	}
}
