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
	x.endsSeen = map[string]time.Duration{wire.PrefixOwners + "j1": -time.Hour}
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
	const keepOpen = time.Hour
	expired := time.Now().Add(-keep - time.Minute).UnixMilli()
	expiredOpen := time.Now().Add(-keepOpen - time.Minute).UnixMilli()
	cases := map[string]struct {
		owner wire.JobOwner
		left  []string // names of the objects after the sweep
		jobs  int      // number of jobs reported as swept
	}{
		"EndedLongAgo":   {wire.JobOwner{Epoch: 1, Ended: true, EndedMS: expired}, nil, 1},
		"EndedJustNow":   {wire.JobOwner{Epoch: 1, Ended: true, EndedMS: time.Now().UnixMilli()}, all, 0},
		"ListedLongAgo":  {wire.JobOwner{Epoch: 1, Ended: true, EndedMS: expired, Listed: true}, all, 0},
		"ListedAgesAgo":  {wire.JobOwner{Epoch: 1, Ended: true, EndedMS: expiredOpen, Listed: true}, nil, 1},
		"Open":           {wire.JobOwner{Epoch: 1}, all, 0},
		"EndWithoutTime": {wire.JobOwner{Epoch: 1, Ended: true}, all, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, swept := newSweepExecutor(t, test.owner)
			x.sweep(context.Background(), event.SweepJobs{Keep: keep, KeepOpen: keepOpen})
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

// The end of a job was recorded by a host whose time of day was days behind, and its results were deleted at the next sweep.
func TestSweepTrustsNoTimeOfDayAlone(t *testing.T) {
	x, store, swept := newSweepExecutor(t, wire.JobOwner{Epoch: 1, Ended: true, EndedMS: 1})
	x.endsSeen = nil
	now := time.Minute
	x.Now = func() time.Duration { return now }
	const keep = 10 * time.Minute
	for range 3 {
		x.sweep(context.Background(), event.SweepJobs{Keep: keep, KeepOpen: keep})
		now += keep / 2
	}
	if diff := cmp.Diff([]event.JobsSwept{{}, {}, {Jobs: 1}}, *swept); diff != "" {
		t.Errorf("reported (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), store.names()); diff != "" {
		t.Errorf("objects left (-want +got):\n%s", diff)
	}
}

// A job whose results are all listed is open until a caller ends it, before or after that is recorded.
func TestListedJobIsOpenUntilACallerEndsIt(t *testing.T) {
	cases := map[string]struct {
		ends []bool // for each end that is recorded: whether all results are listed and no caller has ended the job
		want bool   // the record says so
	}{
		"listed":                 {[]bool{true}, true},
		"ended":                  {[]bool{false}, false},
		"listed, then ended":     {[]bool{true, false}, false},
		"ended, then listed":     {[]bool{false, true}, false},
		"listed again and again": {[]bool{true, true}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, _ := newExecutor(t)
			for _, listed := range c.ends {
				x.endJob(context.Background(), event.EndJob{Job: "j1", Budget: time.Second, Listed: listed})
			}
			owner, _, err := x.readOwner(context.Background(), "j1")
			if diff := cmp.Diff([]any{true, c.want}, []any{owner.Ended, owner.Listed}); diff != "" || err != nil {
				t.Errorf("ended and listed (-want +got):\n%s%v", diff, err)
			}
		})
	}
}
