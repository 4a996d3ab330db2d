package items

import (
	"context"
	"sync"
	"testing"

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
