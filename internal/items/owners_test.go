package items

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// racingOwner is one of several hosts that each consider themselves the owner of the same job.
type racingOwner struct {
	executor  *Executor
	stored    event.ChunkStored // the last one
	unlisted  []int             // items that it does not know to be listed
	nextChunk int               // number of its next chunk
	shown     []int             // items in the order in which readers got them from it
}

// TestTwoOwnersAtOnce runs random interleavings of two owners of one job whose writes and answers may be lost. Each item
// must have one position in the list of results, the same at both owners.
func TestTwoOwnersAtOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &memoryStore{objects: map[string]wire.Object{}}
		store.nextLoss = func() loss { return loss(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(rt, "lost")) }
		job := testJob()
		owners := []*racingOwner{newRacingOwner(store, job, "h1"), newRacingOwner(store, job, "h2")}
		const steps = 200
		for range steps {
			o := owners[rapid.IntRange(0, 1).Draw(rt, "owner")]
			if len(o.unlisted) > 0 {
				o.store(rt)
			}
			checkLists(rt, owners)
		}
		store.nextLoss = nil
		for _, o := range owners {
			for len(o.unlisted) > 0 {
				o.store(rt)
			}
		}
		checkLists(rt, owners)
		if got := len(owners[0].shown); got != len(job.Items) {
			rt.Fatalf("%d items listed, want %d", got, len(job.Items))
		}
	})
}

func newRacingOwner(store *memoryStore, job wire.Job, host string) *racingOwner {
	o := &racingOwner{}
	o.executor = &Executor{Host: host, Incarnation: "1", Store: store, Now: func() time.Duration { return time.Minute }}
	o.executor.Post = func(ev event.Event) bool {
		o.stored = ev.(event.ChunkStored)
		return true
	}
	o.executor.Prepare()
	o.executor.jobTable.add(job)
	o.executor.jobTable.setOwned(job.ID, true)
	for i := range job.Items {
		o.unlisted = append(o.unlisted, i)
	}
	return o
}

// store writes a chunk of items that the owner considers unlisted, and handles the outcome as the reducer does.
func (o *racingOwner) store(rt *rapid.T) {
	items := rapid.Permutation(o.unlisted).Draw(rt, "order")[:rapid.IntRange(1, len(o.unlisted)).Draw(rt, "items")]
	o.executor.storeChunk(context.Background(), event.StoreChunk{Job: "j1", Number: o.nextChunk, Items: items, Down: make([]bool, len(items))})
	if o.stored.Kind != "" && o.stored.Kind != kinds.Conflict {
		return // the outcome is unknown, and the owner tries the same number again
	}
	o.nextChunk++
	o.unlisted = slices.DeleteFunc(o.unlisted, func(i int) bool { return slices.Contains(o.stored.Items, i) })
	page, _ := o.executor.jobTable.page(context.Background(), "j1", len(o.shown), 0, 1<<20)
	for _, r := range page.Results {
		o.shown = append(o.shown, r.Item)
	}
}

// checkLists checks that no owner has shown an item twice and that the owners agree on all positions that both have shown.
func checkLists(rt *rapid.T, owners []*racingOwner) {
	for _, o := range owners {
		seen := map[int]bool{}
		for _, i := range o.shown {
			if seen[i] {
				rt.Fatalf("item %d is listed twice: %v", i, o.shown)
			}
			seen[i] = true
		}
	}
	a, b := owners[0].shown, owners[1].shown
	n := min(len(a), len(b))
	if !slices.Equal(a[:n], b[:n]) {
		rt.Fatalf("positions differ: %v and %v", a, b)
	}
}
