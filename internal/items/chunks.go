package items

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// storeChunk writes a job's next chunk of results and posts ChunkStored. When another owner has already written a chunk of
// this number, that chunk's results are listed instead.
func (x *Executor) storeChunk(ctx context.Context, e event.StoreChunk) {
	done := event.ChunkStored{Job: e.Job, Number: e.Number, Items: e.Items}
	j := x.jobTable.get(e.Job)
	if j == nil {
		done.Kind = kinds.NotFound
		x.Post(done)
		return
	}
	chunk := wire.JobChunk{Results: j.chunkResults(e)}
	done.Items = itemIndices(chunk)
	value, err := encode(chunk)
	if err != nil {
		done.Kind = kinds.Internal
		x.Post(done)
		return
	}
	put := wire.ObjectPut{Name: chunkName(e.Job, e.Number), Writer: x.writerID(uint64(e.Number)), Value: value}
	completeAt := time.Now() // this chunk is created later, and the next ones later still
	done.Kind = x.put(ctx, put)
	if done.Kind == kinds.Conflict {
		completeAt = time.Time{}
		chunk, err = x.chunk(ctx, e.Job, e.Number)
		if err != nil {
			done.Kind = kinds.StoreUnavailable
		}
		done.Items = itemIndices(chunk)
	}
	if done.Kind == "" || done.Kind == kinds.Conflict {
		x.jobTable.appendChunk(e.Job, e.Number, chunk.Results, completeAt)
		x.releaseTexts(j, done.Items)
	}
	x.Post(done)
}

// releaseTexts drops the texts of listed items, whose results hold a copy.
func (x *Executor) releaseTexts(j *jobState, listed []int) {
	for _, i := range listed {
		if i < len(j.texts) {
			j.texts[i].reset()
		}
	}
}

func chunkName(job string, number int) string {
	return wire.PrefixChunks + job + "." + strconv.Itoa(number)
}

func (x *Executor) chunk(ctx context.Context, job string, number int) (wire.JobChunk, error) {
	var chunk wire.JobChunk
	object, err := x.get(ctx, chunkName(job, number))
	if err != nil {
		return chunk, err
	}
	return chunk, decode(object.Value, &chunk)
}

// chunks returns the stored chunks of a job in order, by one call to the store. The store may read a list in several
// parts, so chunks behind the first gap are dropped.
func (x *Executor) chunks(ctx context.Context, job string) ([]wire.JobChunk, error) {
	ctx, cancel := context.WithTimeout(ctx, listChunksTimeout)
	defer cancel()
	prefix := wire.PrefixChunks + job + "."
	list, err := x.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	byNumber := map[int]wire.Object{}
	for _, object := range list.Objects {
		if n, err := strconv.Atoi(strings.TrimPrefix(object.Name, prefix)); err == nil {
			byNumber[n] = object
		}
	}
	var stored []wire.JobChunk
	for {
		object, ok := byNumber[len(stored)]
		if !ok {
			return stored, nil
		}
		var chunk wire.JobChunk
		if err := decode(object.Value, &chunk); err != nil {
			return nil, err
		}
		stored = append(stored, chunk)
	}
}

func itemIndices(chunk wire.JobChunk) []int {
	var items []int
	for _, r := range chunk.Results {
		items = append(items, r.Item)
	}
	return items
}
