package items

import (
	"cmp"
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
)

// end records that a job was ended, whoever runs it.
func (x *Executor) end(ctx context.Context, id string) {
	until := time.Now().Add(endBudget)
	kind := kinds.StoreUnavailable
	for {
		kind = x.tryEnd(ctx, id)
		if kind == "" || kind == kinds.NotFound || time.Now().After(until) || ctx.Err() != nil {
			break
		}
		if retry.Pause(ctx, storeRetry) != nil {
			break
		}
	}
	x.Post(event.JobEnded{Job: id, Kind: kind})
}

func (x *Executor) tryEnd(ctx context.Context, id string) kinds.Kind {
	if x.keeper.get(id) == nil && x.keeper.owner(id).Job == "" {
		if _, err := x.get(ctx, wire.PrefixJobs+id); err != nil {
			return kinds.From(err)
		}
	}
	owner, version, err := x.ownerOf(ctx, id)
	if err != nil {
		return kinds.From(err)
	}
	if owner.Ended {
		return ""
	}
	if owner.Host == "" {
		seen := x.keeper.owner(id)
		owner = wire.JobOwner{Host: seen.Host, Incarnation: seen.Incarnation, Epoch: seen.Epoch}
	}
	owner.Ended, owner.EndedMS = true, x.UnixMS()
	kind := x.putOwner(ctx, id, owner, version)
	if kind == "" {
		x.tellEnd(ctx, id, owner)
	}
	return kind
}

// tellEnd tells the host that runs a job of its end; the news between hosts that hear each other may not reach it.
func (x *Executor) tellEnd(ctx context.Context, id string, owner wire.JobOwner) {
	host := owner.Host
	if host == "" {
		if job, err := x.loadPast(ctx, id); err == nil {
			host = job.Host
		}
	}
	if host != "" && host != x.Host {
		x.Peers.Ended(ctx, host, id)
	}
}

func (x *Executor) ownerOf(ctx context.Context, id string) (wire.JobOwner, uint64, error) {
	var owner wire.JobOwner
	object, err := x.get(ctx, wire.PrefixOwners+id)
	if kinds.From(err) == kinds.NotFound {
		return owner, 0, nil
	}
	if err != nil {
		return owner, 0, err
	}
	return owner, object.Version, json.Unmarshal(object.Value, &owner)
}

func (x *Executor) putOwner(ctx context.Context, id string, owner wire.JobOwner, version uint64) kinds.Kind {
	value, err := json.Marshal(owner)
	if err != nil {
		return kinds.Internal
	}
	return x.put(ctx, wire.ObjectPut{Name: wire.PrefixOwners + id, Version: version, Writer: x.writer(owner.Epoch), Value: value})
}

// take makes this host the owner of a job and reads what is listed.
func (x *Executor) take(ctx context.Context, e event.TakeJob) {
	done := event.JobTaken{Job: e.Job}
	done.Kind = x.tryTake(ctx, e, &done)
	x.Post(done)
}

// tryTake goes from what costs the least to what costs the most: most jobs that seem to be nobody's have an owner that
// only is not heard here, or have ended.
func (x *Executor) tryTake(ctx context.Context, e event.TakeJob, done *event.JobTaken) kinds.Kind {
	done.Epoch = e.Epoch
	if runs, ended := x.runsAt(ctx, e.Host, e.Job); runs {
		done.Ended = ended
		return conflictUnless(ended)
	}
	owner, version, err := x.ownerOf(ctx, e.Job)
	if err != nil {
		return kinds.From(err)
	}
	done.Epoch = owner.Epoch
	done.Ended = owner.Ended
	if owner.Ended {
		return ""
	}
	if owner.Epoch > e.Epoch && owner.Incarnation != x.Incarnation {
		return kinds.Conflict
	}
	job, err := x.load(ctx, e.Job)
	if err != nil {
		return kinds.From(err)
	}
	if host := cmp.Or(owner.Host, job.Host); host != e.Host {
		if runs, ended := x.runsAt(ctx, host, e.Job); runs {
			done.Ended = ended
			return conflictUnless(ended)
		}
	}
	if owner.Incarnation != x.Incarnation || owner.Epoch == 0 {
		next := wire.JobOwner{Host: x.Host, Incarnation: x.Incarnation, Epoch: owner.Epoch + 1}
		if kind := x.putOwner(ctx, e.Job, next, version); kind != "" {
			return kind
		}
		done.Epoch = next.Epoch
	}
	j := x.keeper.add(job)
	chunks, err := x.chunks(ctx, e.Job)
	if err != nil {
		return kinds.From(err)
	}
	for n, chunk := range chunks {
		x.keeper.extend(e.Job, n, chunk.Results) // those that are known already change nothing
	}
	if len(j.listed) < len(job.Items) {
		x.takeTexts(ctx, j)
	}
	for _, r := range j.listed {
		done.Listed = append(done.Listed, r.Item)
	}
	done.Chunks = j.chunks
	done.Held = j.held()
	done.Head = x.head(job)
	x.keeper.setOwned(e.Job, true)
	return ""
}

// runsAt reports whether a host that counts as gone runs a job all the same, and whether the job has ended there: in a
// large fleet few hosts hear each other.
func (x *Executor) runsAt(ctx context.Context, host, id string) (runs, ended bool) {
	if host == "" || host == x.Host {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, askOwner)
	defer cancel()
	return x.Peers.Runs(ctx, host, id)
}

func conflictUnless(ended bool) kinds.Kind {
	if ended {
		return ""
	}
	return kinds.Conflict
}

// listJobs reads which jobs there are and who runs them.
func (x *Executor) listJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 5*callTimeout)
	defer cancel()
	jobs, err := x.Store.List(ctx, wire.PrefixJobs)
	if err != nil {
		x.Post(event.JobsListed{Kind: kinds.From(err)})
		return
	}
	owners, err := x.Store.List(ctx, wire.PrefixOwners)
	if err != nil {
		x.Post(event.JobsListed{Kind: kinds.From(err)})
		return
	}
	taken := map[string]wire.JobOwner{}
	for _, o := range owners.Objects {
		var owner wire.JobOwner
		if json.Unmarshal(o.Value, &owner) == nil {
			taken[strings.TrimPrefix(o.Name, wire.PrefixOwners)] = owner
		}
	}
	var done event.JobsListed
	for _, o := range jobs.Objects {
		var job wire.Job
		if decode(o.Value, &job) != nil {
			continue // another writer's object
		}
		seen := event.JobSeen{Job: job.ID, Host: job.Host, Incarnation: job.Incarnation, Route: job.Route, Items: len(job.Items)}
		if owner, ok := taken[job.ID]; ok {
			seen.Host, seen.Incarnation, seen.Epoch, seen.Ended = owner.Host, owner.Incarnation, owner.Epoch, owner.Ended
		}
		done.Jobs = append(done.Jobs, seen)
	}
	x.Post(done)
}

// check reads the store's record of a job and passes it on as a peer's news. Without a record there is none.
func (x *Executor) check(ctx context.Context, id string) {
	owner, version, err := x.ownerOf(ctx, id)
	if err != nil || version == 0 {
		return
	}
	x.Post(event.PeerReceived{Message: wire.Message{News: &wire.JobNews{
		Job: id, Host: owner.Host, Incarnation: owner.Incarnation, Epoch: owner.Epoch, Ended: owner.Ended,
	}}})
}
