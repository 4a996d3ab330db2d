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

// writer is one of several hosts that all take themselves for a job's owner.
type writer struct {
	x     *Executor
	done  event.ChunkStored
	left  []int // items that it does not know to be listed
	next  int   // number of its next chunk
	reads []int // items in the order in which it has shown them
}

// TestTwoOwnersAtOnce plays any interleaving of two owners of one job whose writes and answers are lost: each item
// stands at one position, and what a reader was shown by one owner stays where it was at the other.
func TestTwoOwnersAtOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &memory{objects: map[string]wire.Object{}}
		store.lose = func() lost { return lost(rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(rt, "lost")) }
		job := testJob()
		owners := []*writer{newWriter(store, job, "h1"), newWriter(store, job, "h2")}
		const mostSteps = 200
		for range mostSteps {
			w := owners[rapid.IntRange(0, 1).Draw(rt, "owner")]
			if len(w.left) > 0 {
				w.store(rt)
			}
			check(rt, owners)
		}
		store.lose = nil
		for _, w := range owners {
			for len(w.left) > 0 {
				w.store(rt)
			}
		}
		check(rt, owners)
		if got := len(owners[0].reads); got != len(job.Items) {
			rt.Fatalf("%d items listed, want %d", got, len(job.Items))
		}
	})
}

func newWriter(store *memory, job wire.Job, host string) *writer {
	w := &writer{}
	w.x = &Executor{Host: host, Incarnation: "1", Store: store, Now: func() time.Duration { return time.Minute }}
	w.x.Post = func(ev event.Event) bool {
		w.done = ev.(event.ChunkStored)
		return true
	}
	w.x.Prepare()
	w.x.keeper.add(job)
	w.x.keeper.setOwned(job.ID, true)
	for i := range job.Items {
		w.left = append(w.left, i)
	}
	return w
}

// store writes a chunk of some items that the writer takes to be unlisted, as the reducer decides.
func (w *writer) store(rt *rapid.T) {
	items := rapid.Permutation(w.left).Draw(rt, "order")[:rapid.IntRange(1, len(w.left)).Draw(rt, "items")]
	w.x.storeChunk(context.Background(), event.StoreChunk{Job: "j1", Number: w.next, Items: items, Down: make([]bool, len(items))})
	if w.done.Kind != "" && w.done.Kind != kinds.Conflict {
		return // it can't tell and tries the same number again
	}
	w.next++
	w.left = slices.DeleteFunc(w.left, func(i int) bool { return slices.Contains(w.done.Items, i) })
	page, _ := w.x.keeper.page(context.Background(), "j1", len(w.reads), 0, 1<<20)
	for _, r := range page.Results {
		w.reads = append(w.reads, r.Item)
	}
}

// check compares what the owners have shown to readers.
func check(rt *rapid.T, owners []*writer) {
	for _, w := range owners {
		seen := map[int]bool{}
		for _, i := range w.reads {
			if seen[i] {
				rt.Fatalf("item %d stands twice: %v", i, w.reads)
			}
			seen[i] = true
		}
	}
	a, b := owners[0].reads, owners[1].reads
	n := min(len(a), len(b))
	if !slices.Equal(a[:n], b[:n]) {
		rt.Fatalf("positions differ: %v and %v", a, b)
	}
}
