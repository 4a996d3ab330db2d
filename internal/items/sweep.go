package items

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// sweepTimeout bounds one sweep; what is left over is found by the next one.
const sweepTimeout = time.Minute

// sweep deletes the objects of the jobs that ended long ago.
func (x *Executor) sweep(ctx context.Context, e event.SweepJobs) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	var done event.JobsSwept
	owners, err := x.Store.List(ctx, wire.PrefixOwners)
	done.Kind = kinds.From(err)
	before := x.UnixMS() - e.Keep.Milliseconds()
	for _, o := range owners.Objects {
		var owner wire.JobOwner
		if json.Unmarshal(o.Value, &owner) != nil || !owner.Ended || owner.EndedMS == 0 || owner.EndedMS > before {
			continue // another writer's object, or a job that is still open or may be read
		}
		if err := x.remove(ctx, strings.TrimPrefix(o.Name, wire.PrefixOwners), o); err != nil {
			done.Kind = kinds.From(err)
			continue
		}
		done.Jobs++
	}
	x.Post(done)
}

// remove deletes a job's objects. The record of its owner goes last and the first chunk after the others, so that a
// removal that was cut short is found and finished by the next sweep.
func (x *Executor) remove(ctx context.Context, id string, owner wire.Object) error {
	var chunks []wire.Object
	for {
		chunk, err := x.get(ctx, chunkName(id, len(chunks)))
		if kinds.From(err) == kinds.NotFound {
			break
		}
		if err != nil {
			return err
		}
		chunks = append(chunks, wire.Object{Name: chunk.Name, Version: chunk.Version})
	}
	for n := len(chunks) - 1; n >= 0; n-- {
		if err := x.delete(ctx, chunks[n]); err != nil {
			return err
		}
	}
	for _, name := range []string{wire.PrefixTexts + id, wire.PrefixJobs + id} {
		o, err := x.get(ctx, name)
		if err == nil {
			err = x.delete(ctx, o)
		}
		if err != nil && kinds.From(err) != kinds.NotFound {
			return err
		}
	}
	return x.delete(ctx, owner)
}

// delete deletes an object as it was read; one that is gone already is a success.
func (x *Executor) delete(ctx context.Context, o wire.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := x.Store.Delete(ctx, o.Name, o.Version)
	if kinds.From(err) == kinds.NotFound {
		return nil
	}
	return err
}
