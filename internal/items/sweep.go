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

// sweep deletes the objects of the jobs that ended longer ago than they are kept, and posts JobsSwept. Both the recorded time of
// the end and this process, by its own clock, must say so: the time of day may have been wrong where it was recorded, or is here.
func (x *Executor) sweep(ctx context.Context, e event.SweepJobs) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	var done event.JobsSwept
	owners, err := x.Store.List(ctx, wire.PrefixOwners)
	done.Kind = kinds.KindOf(err)
	seen := map[string]time.Duration{}
	for _, object := range owners.Objects {
		var owner wire.JobOwner
		if json.Unmarshal(object.Value, &owner) != nil || !owner.Ended || owner.EndedMS == 0 {
			continue // not a record of an owner, or a job that is still open
		}
		seen[object.Name] = x.endSeenAt(object.Name)
		keep := e.Keep
		if owner.Listed {
			keep = e.KeepOpen
		}
		if x.Now()-seen[object.Name] < e.Keep || x.UnixMS()-owner.EndedMS < keep.Milliseconds() {
			continue // it may still be read
		}
		if err := x.removeJob(ctx, strings.TrimPrefix(object.Name, wire.PrefixOwners), object); err != nil {
			done.Kind = kinds.KindOf(err)
			continue
		}
		done.Jobs++
	}
	if err == nil {
		x.endsSeen = seen
	}
	x.Post(done)
}

// endSeenAt returns when a sweep of this process first found the record of an ended job, now for a new one.
func (x *Executor) endSeenAt(name string) time.Duration {
	if at, ok := x.endsSeen[name]; ok {
		return at
	}
	return x.Now()
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
