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

// sweepTimeout bounds one sweep. The next sweep finds the objects that are left over.
const sweepTimeout = time.Minute

// sweep deletes the objects of the jobs that ended longer than e.Keep ago, and posts JobsSwept.
func (x *Executor) sweep(ctx context.Context, e event.SweepJobs) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	var done event.JobsSwept
	owners, err := x.Store.List(ctx, wire.PrefixOwners)
	done.Kind = kinds.KindOf(err)
	cutoffMS := x.UnixMS() - e.Keep.Milliseconds()
	for _, object := range owners.Objects {
		var owner wire.JobOwner
		if json.Unmarshal(object.Value, &owner) != nil || !owner.Ended || owner.EndedMS == 0 || owner.EndedMS > cutoffMS {
			continue // not a record of an owner, or a job that is still open or may still be read
		}
		if err := x.removeJob(ctx, strings.TrimPrefix(object.Name, wire.PrefixOwners), object); err != nil {
			done.Kind = kinds.KindOf(err)
			continue
		}
		done.Jobs++
	}
	x.Post(done)
}

// removeJob deletes a job's objects. It deletes the owner's record last, by which the next sweep finds a job whose removal
// was interrupted, and the chunks from the last to the first, since it looks for them from the first one on.
func (x *Executor) removeJob(ctx context.Context, id string, owner wire.Object) error {
	var chunks []wire.Object
	for {
		chunk, err := x.get(ctx, chunkName(id, len(chunks)))
		if kinds.KindOf(err) == kinds.NotFound {
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
		object, err := x.get(ctx, name)
		if err == nil {
			err = x.delete(ctx, object)
		}
		if err != nil && kinds.KindOf(err) != kinds.NotFound {
			return err
		}
	}
	return x.delete(ctx, owner)
}

// delete deletes an object at the version that was read. An object that no longer exists is a success.
func (x *Executor) delete(ctx context.Context, object wire.Object) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := x.Store.Delete(ctx, object.Name, object.Version)
	if kinds.KindOf(err) == kinds.NotFound {
		return nil
	}
	return err
}
