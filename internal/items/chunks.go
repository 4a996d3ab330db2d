package items

import (
	"context"
	"strconv"
	"strings"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// storeChunk writes the next results. When another owner wrote the same number, its results are taken.
func (x *Executor) storeChunk(ctx context.Context, e event.StoreChunk) {
	done := event.ChunkStored{Job: e.Job, Number: e.Number, Items: e.Items}
	j := x.keeper.get(e.Job)
	if j == nil {
		done.Kind = kinds.NotFound
		x.Post(done)
		return
	}
	chunk := wire.JobChunk{Results: j.results(e)}
	done.Items = indices(chunk)
	value, err := encode(chunk)
	if err != nil {
		done.Kind = kinds.Internal
		x.Post(done)
		return
	}
	put := wire.ObjectPut{Name: chunkName(e.Job, e.Number), Writer: x.writer(uint64(e.Number)), Value: value}
	done.Kind = x.put(ctx, put)
	if done.Kind == kinds.Conflict {
		chunk, err = x.chunk(ctx, e.Job, e.Number)
		if err != nil {
			done.Kind = kinds.StoreUnavailable
		}
		done.Items = indices(chunk)
	}
	if done.Kind == "" || done.Kind == kinds.Conflict {
		x.keeper.extend(e.Job, e.Number, chunk.Results)
		x.free(j, done.Items)
	}
	x.Post(done)
}

// free drops the texts of listed items, whose results are kept apart.
func (x *Executor) free(j *kept, listed []int) {
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

// chunks returns the stored chunks of a job in order, by one call. A list may be read in parts, so that only those up to
// the first gap count.
func (x *Executor) chunks(ctx context.Context, job string) ([]wire.JobChunk, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	prefix := wire.PrefixChunks + job + "."
	list, err := x.Store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	byNumber := map[int]wire.Object{}
	for _, o := range list.Objects {
		if n, err := strconv.Atoi(strings.TrimPrefix(o.Name, prefix)); err == nil {
			byNumber[n] = o
		}
	}
	var all []wire.JobChunk
	for {
		o, ok := byNumber[len(all)]
		if !ok {
			return all, nil
		}
		var chunk wire.JobChunk
		if err := decode(o.Value, &chunk); err != nil {
			return nil, err
		}
		all = append(all, chunk)
	}
}

func indices(chunk wire.JobChunk) []int {
	var all []int
	for _, r := range chunk.Results {
		all = append(all, r.Item)
	}
	return all
}
