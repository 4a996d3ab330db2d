package items

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/wire"
)

// A reader of stored chunks must not get an empty page at a position whose chunk another reader of the same host has just read:
// the store is then asked for the chunk behind it, which says nothing about that position.
func TestReadersOfStoredChunksAtOnceMissNothing(t *testing.T) {
	const (
		rounds  = 3000
		readers = 16
		chunks  = 3
	)
	empty := 0
	for range rounds {
		r := newReadingHosts(t, "h1")
		for n := range chunks {
			r.store.seed(t, chunkName("j1", n), wire.JobChunk{Results: []wire.JobResult{{Item: n}}})
		}
		x := r.hosts["h1"].Executor
		var mu sync.Mutex
		var group sync.WaitGroup
		for reader := range readers {
			group.Go(func() {
				page, err := x.storedPage(context.Background(), "j1", reader%chunks, 0)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					t.Error(err)
				}
				if page.Unfinished() {
					empty++
				}
			})
		}
		group.Wait()
	}
	if empty > 0 {
		t.Errorf("%d of %d readers got an empty page at a position that had been stored before", empty, rounds*readers)
	}
}

// A page from the cache ended where this host had last read the store, at whatever time: a reader from the start got fewer results
// than others had read long ago.
func TestStoredPageHasWhatOthersHaveRead(t *testing.T) {
	const settle = 40 * time.Millisecond
	results := func(x *Executor) int {
		page, err := x.storedPage(context.Background(), "j1", 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		return len(page.Results)
	}
	x, store, _ := newExecutor(t)
	x.Settle = settle
	reading := &readsOnce{store, 100}
	x.Store = reading
	store.seed(t, chunkName("j1", 0), chunkOf(0, 1))
	got := []int{results(x)}
	store.seed(t, chunkName("j1", 1), chunkOf(2))
	before := reading.left
	got = append(got, results(x)) // the store was asked just now
	asked := before - reading.left
	time.Sleep(settle)
	got = append(got, results(x))
	store.seed(t, chunkName("j1", 2), chunkOf(3))
	time.Sleep(settle)
	left := reading.left
	reading.left = 0
	got = append(got, results(x)) // the store is away
	reading.left = left
	got = append(got, results(x), results(x))
	if diff := cmp.Diff([]int{2, 2, 3, 3, 4, 4}, got); diff != "" || asked != 0 {
		t.Errorf("%d calls to the store while its word is recent; results (-want +got):\n%s", asked, diff)
	}
}
