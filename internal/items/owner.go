package items

import (
	"cmp"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

func (x *Executor) readOwner(ctx context.Context, id string) (wire.JobOwner, uint64, error) {
	var owner wire.JobOwner
	object, err := x.get(ctx, wire.PrefixOwners+id)
	if kinds.KindOf(err) == kinds.NotFound {
		return owner, 0, nil
	}
	if err != nil {
		return owner, 0, err
	}
	return owner, object.Version, json.Unmarshal(object.Value, &owner)
}

func (x *Executor) writeOwner(ctx context.Context, id string, owner wire.JobOwner, version uint64) kinds.Kind {
	value, err := json.Marshal(owner)
	if err != nil {
		return kinds.Internal
	}
	return x.put(ctx, wire.ObjectPut{Name: wire.PrefixOwners + id, Version: version, Writer: x.writerID(owner.Epoch), Value: value})
}

// takeOver makes this host the owner of a job, reads its listed results and held texts, and posts JobTaken.
func (x *Executor) takeOver(ctx context.Context, e event.TakeJob) {
	done := event.JobTaken{Job: e.Job}
	done.Kind = x.tryTakeOver(ctx, e, &done)
	x.Post(done)
}

// tryTakeOver makes its checks in order of cost, the cheapest first: most jobs that seem to have no owner have ended or
// have an owner that is not connected to this host.
func (x *Executor) tryTakeOver(ctx context.Context, e event.TakeJob, done *event.JobTaken) kinds.Kind {
	done.Epoch = e.Epoch
	if runs, ended := x.runsAt(ctx, e.Host, e.Job); runs {
		done.Ended = ended
		return conflictUnlessEnded(ended)
	}
	owner, version, err := x.readOwner(ctx, e.Job)
	if err != nil {
		return kinds.KindOf(err)
	}
	done.Epoch = owner.Epoch
	done.Ended = owner.Ended
	if owner.Ended {
		return ""
	}
	if owner.Epoch > e.Epoch && owner.Incarnation != x.Incarnation {
		return kinds.Conflict
	}
	job, err := x.ensureStored(ctx, e.Job)
	if err != nil {
		x.dropOwnerWithoutJob(ctx, e.Job, version, err)
		return kinds.KindOf(err)
	}
	if host := cmp.Or(owner.Host, job.Host); host != e.Host {
		if runs, ended := x.runsAt(ctx, host, e.Job); runs {
			done.Ended = ended
			return conflictUnlessEnded(ended)
		}
	}
	if owner.Incarnation != x.Incarnation || owner.Epoch == 0 {
		newOwner := wire.JobOwner{Host: x.Host, Incarnation: x.Incarnation, Epoch: owner.Epoch + 1}
		if kind := x.writeOwner(ctx, e.Job, newOwner, version); kind != "" {
			return kind
		}
		done.Epoch = newOwner.Epoch
	}
	j := x.jobTable.addStored(job)
	asked := time.Now()
	chunks, err := x.chunks(ctx, e.Job)
	if err != nil {
		return kinds.KindOf(err)
	}
	for n, chunk := range chunks {
		x.jobTable.appendChunk(e.Job, n, chunk.Results, time.Time{}) // chunks that are already known change nothing
	}
	x.jobTable.markComplete(e.Job, len(chunks), asked)
	done.Listed, done.Chunks = x.jobTable.progress(e.Job)
	if len(done.Listed) < len(job.Items) {
		x.restoreTexts(ctx, j)
	}
	done.Held = j.heldItems()
	done.Head = x.head(job)
	x.jobTable.setOwned(e.Job, true)
	return ""
}

// dropOwnerWithoutJob deletes the record of a job's owner at a version, 0 for none, when the error of loading the job says that
// there is no such job. A job is stored before its owners are recorded.
func (x *Executor) dropOwnerWithoutJob(ctx context.Context, id string, version uint64, err error) {
	if version != 0 && kinds.KindOf(err) == kinds.NotFound {
		_ = x.delete(ctx, wire.Object{Name: wire.PrefixOwners + id, Version: version}) // the next takeover finds it again
	}
}

// runsAt reports whether a host that this host considers gone still runs a job, and whether the job has ended there. In
// a large fleet few hosts are connected to each other.
func (x *Executor) runsAt(ctx context.Context, host, id string) (runs, ended bool) {
	if host == "" || host == x.Host {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, askOwnerTimeout)
	defer cancel()
	return x.Peers.Runs(ctx, host, id)
}

func conflictUnlessEnded(ended bool) kinds.Kind {
	if ended {
		return ""
	}
	return kinds.Conflict
}

// listJobs reads all jobs and their owners from the store and posts JobsListed.
func (x *Executor) listJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*storeCallTimeout)
	defer cancel()
	jobs, err := x.Store.List(ctx, wire.PrefixJobs)
	if err != nil {
		x.Post(event.JobsListed{Kind: kinds.KindOf(err)})
		return
	}
	owners, err := x.Store.List(ctx, wire.PrefixOwners)
	if err != nil {
		x.Post(event.JobsListed{Kind: kinds.KindOf(err)})
		return
	}
	ownerByJob := map[string]wire.JobOwner{}
	for _, object := range owners.Objects {
		var owner wire.JobOwner
		if json.Unmarshal(object.Value, &owner) == nil {
			ownerByJob[strings.TrimPrefix(object.Name, wire.PrefixOwners)] = owner
		}
	}
	var done event.JobsListed
	for _, object := range jobs.Objects {
		var job wire.Job
		if decode(object.Value, &job) != nil {
			continue // the object does not hold a job
		}
		seen := event.JobSeen{Job: job.ID, Host: job.Host, Incarnation: job.Incarnation, Route: job.Route, Items: len(job.Items)}
		if owner, ok := ownerByJob[job.ID]; ok {
			seen.Host, seen.Incarnation, seen.Epoch, seen.Ended = owner.Host, owner.Incarnation, owner.Epoch, owner.Ended
		}
		done.Jobs = append(done.Jobs, seen)
	}
	x.Post(done)
}

// checkOwner reads from the store who owns a job and posts it like a message from a peer. It posts nothing when the store can't
// be read or does not hold the job, and for a job that this host runs as its first owner.
func (x *Executor) checkOwner(ctx context.Context, id string) {
	owner, version, err := x.readOwner(ctx, id)
	if err != nil || version == 0 && x.jobTable.owns(id) {
		return
	}
	if version == 0 {
		job, err := x.readJob(ctx, id) // a copy in memory may name another owner
		if err != nil {
			return
		}
		owner.Host, owner.Incarnation = job.Host, job.Incarnation
	}
	x.Post(event.PeerReceived{Message: wire.Message{News: &wire.JobNews{
		Job: id, Host: owner.Host, Incarnation: owner.Incarnation, Epoch: owner.Epoch, Ended: owner.Ended,
	}}})
}
