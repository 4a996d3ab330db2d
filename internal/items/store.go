package items

import (
	"context"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
)

const (
	storeCallTimeout   = time.Second     // of one call to the store
	listChunksTimeout  = 2 * time.Second // of one list of a job's chunks, up to a few MB
	notifyTime         = 6 * time.Second // of telling an owner of the end of its job; the record in the store lasts
	notifyInterval     = 300 * time.Millisecond
	storeRetryInterval = 150 * time.Millisecond
	askOwnerTimeout    = 500 * time.Millisecond // of asking a host whether it still runs a job
)

// storeJob stores a submitted job and posts JobKept. A conflict with this process's own write, whose answer was lost, is a
// success.
func (x *Executor) storeJob(ctx context.Context, e event.KeepJob) {
	done := event.JobKept{Seq: e.Seq, Job: e.Job, Owner: event.JobSeen{Job: e.Job}}
	var stored wire.Job
	stored, done.Kind = x.createJob(ctx, e)
	if done.Kind == kinds.Conflict {
		done.Owner, done.Organisation = x.currentOwner(ctx, stored), stored.Organisation
		x.jobTable.markStored(e.Job, done.Organisation)
	}
	x.Post(done)
}

// currentOwner returns who runs a job that the store holds: its first owner when the store does not answer.
func (x *Executor) currentOwner(ctx context.Context, job wire.Job) event.JobSeen {
	owner, _, err := x.readOwner(ctx, job.ID)
	if err != nil || owner.Host == "" {
		return event.JobSeen{Job: job.ID, Host: job.Host, Incarnation: job.Incarnation}
	}
	return event.JobSeen{Job: job.ID, Host: owner.Host, Incarnation: owner.Incarnation, Epoch: owner.Epoch, Ended: owner.Ended}
}

// createJob stores a submitted job. With the kind Conflict, it returns the job that the store holds under the id.
func (x *Executor) createJob(ctx context.Context, e event.KeepJob) (wire.Job, kinds.Kind) {
	job, ok := x.takeSubmission(e)
	if !ok {
		return wire.Job{}, kinds.Internal
	}
	x.setStoring(e.Seq, &job)
	defer x.setStoring(e.Seq, nil)
	value, err := encode(job)
	if err != nil {
		return wire.Job{}, kinds.Internal
	}
	put := wire.ObjectPut{Name: wire.PrefixJobs + job.ID, Writer: x.writerID(e.Seq), Value: value}
	deadline := time.Now().Add(e.Budget)
	mayBeStored := false
	for {
		var stored wire.Job
		kind := x.put(ctx, put)
		if kind == kinds.Conflict {
			stored, kind = x.resolveConflict(ctx, put)
		}
		switch kind {
		case "":
			if job.Host == x.Host {
				x.jobTable.addStored(job)
				x.jobTable.setOwned(job.ID, true)
			}
			return stored, ""
		case kinds.Conflict:
			return stored, kinds.Conflict
		case kinds.StoreRefused:
		default:
			mayBeStored = true
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			if mayBeStored {
				x.jobTable.addSubmitted(job, job.Host == x.Host) // the stored record may name this host as the owner
				return stored, kinds.OutcomeUnknown
			}
			return stored, kinds.StoreRefused
		}
		_ = retry.Sleep(ctx, storeRetryInterval) // the next round sees that ctx has ended
	}
}

// setStoring records the job that is being stored for a submission, nil for none any more.
func (x *Executor) setStoring(seq uint64, job *wire.Job) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if job == nil {
		delete(x.storing, seq)
		return
	}
	x.storing[seq] = *job
}

// put makes one conditional write and returns the kind of its error.
func (x *Executor) put(ctx context.Context, put wire.ObjectPut) kinds.Kind {
	_, err := x.putObject(ctx, put)
	return kinds.KindOf(err)
}

func (x *Executor) putObject(ctx context.Context, put wire.ObjectPut) (wire.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return x.Store.Put(ctx, put)
}

// resolveConflict returns "" after a conflict when the stored job is this very write, and Conflict with the job when it is another.
func (x *Executor) resolveConflict(ctx context.Context, put wire.ObjectPut) (wire.Job, kinds.Kind) {
	var stored wire.Job
	object, err := x.get(ctx, put.Name)
	if err == nil {
		err = decode(object.Value, &stored)
	}
	switch {
	case err != nil:
		return stored, kinds.StoreUnavailable
	case object.Writer == put.Writer:
		return stored, ""
	default:
		return stored, kinds.Conflict
	}
}

func (x *Executor) get(ctx context.Context, name string) (wire.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	return x.Store.Get(ctx, name)
}

// getCurrent returns a stored object. That there is none is said only while the answer is recent: the object may have been
// created since the store was asked.
func (x *Executor) getCurrent(ctx context.Context, name string) (wire.Object, error) {
	asked := time.Now()
	object, err := x.get(ctx, name)
	if age := time.Since(asked); kinds.KindOf(err) == kinds.NotFound && age > x.maxAge() {
		return object, kinds.New(kinds.StoreUnavailable, "the store's word that there is no %s is %v old", name, age)
	}
	return object, err
}

func (x *Executor) writerID(seq uint64) string {
	return x.Host + "/" + x.Incarnation + "/" + strconv.FormatUint(seq, 10)
}

// takeSubmission removes a submission from those that wait and returns its job with the reducer's decision. It returns the
// organisation's job from the table when the submission was taken before, as for a job whose items already run.
func (x *Executor) takeSubmission(e event.KeepJob) (wire.Job, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	job, ok := x.submissions[e.Seq]
	delete(x.submissions, e.Seq)
	if !ok {
		j := x.jobTable.get(e.Job)
		if j == nil || j.job.Organisation != e.Organisation {
			return job, false
		}
		job = j.job
	}
	addDecision(&job, e)
	return job, true
}

// beginJob adds a job whose items run while the job is still being stored.
func (x *Executor) beginJob(e event.BeginJob) {
	x.mu.Lock()
	job, ok := x.storing[e.Keep.Seq]
	x.mu.Unlock()
	if ok {
		x.jobTable.addSubmitted(job, true)
	}
}

// addDecision sets the fields of a submitted job that the reducer decides.
func addDecision(job *wire.Job, e event.KeepJob) {
	job.Organisation, job.Route, job.Single = e.Organisation, e.Route, e.Single
	job.DueMS, job.GiveUpMS = e.Due.Milliseconds(), e.GiveUp.Milliseconds()
	job.Host, job.Incarnation = e.Host, e.Incarnation
}

// loadJob returns a job that the store holds, from memory where it is known to do so. The job's body in memory alone says
// nothing about the store: it is copied to other hosts also while the store has not accepted it.
func (x *Executor) loadJob(ctx context.Context, id string) (wire.Job, error) {
	if job, ok := x.storedJob(id); ok {
		return job, nil
	}
	return x.readJob(ctx, id)
}

// storedJob returns a job that the store is known to hold, or has held.
func (x *Executor) storedJob(id string) (wire.Job, bool) {
	if job, ok := x.remoteJobs.job(id); ok {
		return job, true
	}
	return x.jobTable.storedJob(id)
}

// readJob returns the job that the store holds.
func (x *Executor) readJob(ctx context.Context, id string) (wire.Job, error) {
	var job wire.Job
	object, err := x.getCurrent(ctx, wire.PrefixJobs+id)
	if err != nil {
		return job, err
	}
	return job, decode(object.Value, &job)
}

// loadJobCached returns a job that this host runs, stored or not, or one that the store holds, which it adds to the cache of
// remote jobs.
func (x *Executor) loadJobCached(ctx context.Context, id string) (wire.Job, error) {
	if job, ok := x.jobTable.ownedJob(id); ok {
		return job, nil
	}
	job, err := x.loadJob(ctx, id)
	if err == nil {
		x.remoteJobs.state(job)
	}
	return job, err
}

// maxCopyAge is the time after its submission in which a job that was in the store is still there, and in which one that is
// not in the store is stored from a copy. The objects of a job that has ended are kept for longer.
const maxCopyAge = 5 * time.Minute

// ensureStored returns a job that the store holds. A job that another host began while the store did not accept it, and that
// this host has a copy of, is stored first, as its first owner would have done: no caller was told that it does not run. Its
// error has kind NotFound when the store has no such job and this host has no copy that may still be stored.
func (x *Executor) ensureStored(ctx context.Context, id string) (wire.Job, error) {
	if job, ok := x.storedJob(id); ok && x.age(&job) < maxCopyAge {
		return job, nil
	}
	job, err := x.readJob(ctx, id)
	held := x.jobTable.get(id)
	if kinds.KindOf(err) != kinds.NotFound || held == nil || !x.mayStillBeStored(&held.job) {
		return job, err
	}
	value, err := encode(held.job)
	if err != nil {
		return job, err
	}
	_, err = x.putObject(ctx, wire.ObjectPut{Name: wire.PrefixJobs + id, Writer: x.writerID(0), Value: value})
	switch kinds.KindOf(err) {
	case "":
		x.jobTable.markStored(id, held.job.Organisation)
		return held.job, nil
	case kinds.Conflict: // another host has stored it meanwhile
		return x.readJob(ctx, id)
	}
	return job, err
}

// mayStillBeStored reports whether a job that is not in the store may be stored from a copy.
func (x *Executor) mayStillBeStored(job *wire.Job) bool {
	return x.age(job) < min(time.Duration(job.GiveUpMS)*time.Millisecond, maxCopyAge)
}

// age returns the time since a job was submitted.
func (x *Executor) age(job *wire.Job) time.Duration {
	return time.Duration(x.UnixMS()-job.Submitted) * time.Millisecond
}

// head returns what the reducer knows of a job, with the times converted to this daemon's clock.
func (x *Executor) head(job wire.Job) event.JobHead {
	head := JobHeadOf(job)
	submitted := time.Duration(job.Submitted)*time.Millisecond - time.Duration(x.unixOffset.Load())
	head.Due = submitted + time.Duration(job.DueMS)*time.Millisecond
	head.GiveUp = submitted + time.Duration(job.GiveUpMS)*time.Millisecond
	return head
}

// JobHeadOf returns what the reducer knows of a job, without its times. It may be called concurrently.
func JobHeadOf(job wire.Job) event.JobHead {
	head := event.JobHead{
		ID: job.ID, Organisation: job.Organisation, Route: job.Route, Model: job.Model,
		MinVersion: job.MinVersion, Target: job.Target, Single: job.Single,
	}
	groups := map[string]int{}
	for _, item := range job.Items {
		group, ok := groups[item.Group]
		if !ok {
			group = len(groups)
			groups[item.Group] = group
		}
		itemHead := event.ItemHead{ID: item.ID, Group: group, Tokens: item.Tokens, Hint: item.Hint}
		if item.Reward != nil {
			itemHead.ScoreHost, itemHead.ScorePath = item.Reward.Host, item.Reward.Path
		}
		head.Items = append(head.Items, itemHead)
	}
	return head
}

func encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

func decode(value []byte, v any) error { return msgpack.Unmarshal(value, v) }
