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

// sweepRig has a job j1 with three chunks and the record of its owner.
func sweepRig(t *testing.T, owner wire.JobOwner) (*Executor, *memory, *[]event.JobsSwept) {
	t.Helper()
	x, store, _ := newExecutor(t)
	for n := range 3 {
		store.keep(t, chunkName("j1", n), chunkOf(n))
	}
	store.keep(t, wire.PrefixTexts+"j1", []textCopy{})
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

// TestSweep is for a store that runs for months: what belongs to ended jobs must not pile up.
func TestSweep(t *testing.T) {
	const keep = 10 * time.Minute
	all := []string{"Chunks/j1.0", "Chunks/j1.1", "Chunks/j1.2", "Lots/j1", "Owners/j1", "Texts/j1"}
	past := time.Now().Add(-keep - time.Minute).UnixMilli()
	cases := map[string]struct {
		owner wire.JobOwner
		left  []string
		jobs  int
	}{
		"EndedLongAgo":   {wire.JobOwner{Epoch: 1, Ended: true, EndedMS: past}, nil, 1},
		"EndedJustNow":   {wire.JobOwner{Epoch: 1, Ended: true, EndedMS: time.Now().UnixMilli()}, all, 0},
		"Open":           {wire.JobOwner{Epoch: 1}, all, 0},
		"EndWithoutTime": {wire.JobOwner{Epoch: 1, Ended: true}, all, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, swept := sweepRig(t, test.owner)
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

// TestSweepThatWasCutShort is for a store that goes away in the middle of a sweep: the next one finds what is left.
func TestSweepThatWasCutShort(t *testing.T) {
	const changes = 6 // three chunks, the texts, the job and the record of its owner
	for _, fate := range []lost{answer, change} {
		for cut := range changes {
			x, store, swept := sweepRig(t, wire.JobOwner{Epoch: 1, Ended: true, EndedMS: 1})
			n := 0
			store.lose = func() lost {
				n++
				if n == cut+1 {
					return fate
				}
				return nothing
			}
			sweep := event.SweepJobs{Keep: time.Minute}
			x.sweep(context.Background(), sweep)
			x.sweep(context.Background(), sweep)
			if diff := cmp.Diff([]string(nil), store.names()); diff != "" {
				t.Errorf("change %d lost (%d): objects left (-want +got):\n%s", cut, fate, diff)
			}
			if got := (*swept)[0].Kind; got != kinds.StoreUnavailable {
				t.Errorf("change %d lost (%d): kind of the first sweep = %q", cut, fate, got)
			}
		}
	}
}
