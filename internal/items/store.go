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
	callTimeout = time.Second     // one call to the store
	listTimeout = 2 * time.Second // one list of a job's chunks, up to a few MB
	endBudget   = 3 * time.Second
	storeRetry  = 150 * time.Millisecond
	askOwner    = 500 * time.Millisecond // to ask a host whether it still runs a job
)

// keep stores a job. A conflict with this process's own write, whose answer was lost, is success.
func (x *Executor) keep(ctx context.Context, e event.KeepJob) {
	done := event.JobKept{Seq: e.Seq, Job: e.Job, Kind: x.create(ctx, e), Owner: event.JobSeen{Job: e.Job}}
	if done.Kind == kinds.Conflict {
		done.Owner = x.seen(ctx, e.Job)
	}
	x.Post(done)
}

// seen reads who runs a job; without an answer it names nobody.
func (x *Executor) seen(ctx context.Context, id string) event.JobSeen {
	seen := event.JobSeen{Job: id}
	job, err := x.loadPast(ctx, id)
	if err != nil {
		return seen
	}
	seen.Host, seen.Incarnation = job.Host, job.Incarnation
	owner, _, err := x.ownerOf(ctx, id)
	if err == nil && owner.Host != "" {
		seen = event.JobSeen{Job: id, Host: owner.Host, Incarnation: owner.Incarnation, Epoch: owner.Epoch, Ended: owner.Ended}
	}
	return seen
}

func (x *Executor) create(ctx context.Context, e event.KeepJob) kinds.Kind {
	job, ok := x.submitted(e)
	if !ok {
		return kinds.Internal
	}
	x.setStoring(e.Seq, &job)
	defer x.setStoring(e.Seq, nil)
	value, err := encode(job)
	if err != nil {
		return kinds.Internal
	}
	put := wire.ObjectPut{Name: wire.PrefixJobs + job.ID, Writer: x.writer(e.Seq), Value: value}
	until := time.Now().Add(e.Budget)
	unknown := false
	for {
		kind := x.put(ctx, put)
		if kind == kinds.Conflict {
			kind = x.written(ctx, put)
		}
		switch kind {
		case "":
			if job.Host == x.Host {
				x.keeper.add(job)
				x.keeper.setOwned(job.ID, true)
			}
			return ""
		case kinds.Conflict:
			return kinds.Conflict
		case kinds.StoreRefused:
		default:
			unknown = true
		}
		if time.Now().After(until) || ctx.Err() != nil {
			if unknown {
				x.keeper.add(job) // it may be stored in this host's name
				x.keeper.setOwned(job.ID, job.Host == x.Host)
				return kinds.OutcomeUnknown
			}
			return kinds.StoreRefused
		}
		_ = retry.Pause(ctx, storeRetry) // the next turn sees that ctx has ended
	}
}

// setStoring notes the job that a submission stores, nil for none any more.
func (x *Executor) setStoring(seq uint64, job *wire.Job) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if job == nil {
		delete(x.storing, seq)
		return
	}
	x.storing[seq] = *job
}

// put makes one conditional write.
func (x *Executor) put(ctx context.Context, put wire.ObjectPut) kinds.Kind {
	_, err := x.putObject(ctx, put)
	return kinds.From(err)
}

func (x *Executor) putObject(ctx context.Context, put wire.ObjectPut) (wire.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return x.Store.Put(ctx, put)
}

// written tells after a conflict whether the stored object is this very write.
func (x *Executor) written(ctx context.Context, put wire.ObjectPut) kinds.Kind {
	object, err := x.get(ctx, put.Name)
	switch {
	case err != nil:
		return kinds.StoreUnavailable
	case object.Writer == put.Writer:
		return ""
	default:
		return kinds.Conflict
	}
}

func (x *Executor) get(ctx context.Context, name string) (wire.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return x.Store.Get(ctx, name)
}

func (x *Executor) writer(seq uint64) string {
	return x.Host + "/" + x.Incarnation + "/" + strconv.FormatUint(seq, 10)
}

// submitted returns the job of a submission under way, completed by what was decided.
func (x *Executor) submitted(e event.KeepJob) (wire.Job, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	job, ok := x.arriving[e.Seq]
	delete(x.arriving, e.Seq)
	if !ok {
		if j := x.keeper.get(e.Job); j != nil {
			return j.job, true // its items run already
		}
	}
	complete(&job, e)
	return job, ok
}

// begin keeps a job whose items run before it is stored.
func (x *Executor) begin(e event.BeginJob) {
	x.mu.Lock()
	job, ok := x.storing[e.Keep.Seq]
	x.mu.Unlock()
	if ok {
		x.keeper.add(job)
		x.keeper.setOwned(job.ID, true)
	}
}

// complete adds what was decided to a submitted job.
func complete(job *wire.Job, e event.KeepJob) {
	job.Organisation, job.Route, job.Single = e.Organisation, e.Route, e.Single
	job.DueMS, job.GiveUpMS = e.Due.Milliseconds(), e.GiveUp.Milliseconds()
	job.Host, job.Incarnation = e.Host, e.Incarnation
}

// load returns a job from memory or the store.
func (x *Executor) load(ctx context.Context, id string) (wire.Job, error) {
	if j := x.keeper.get(id); j != nil {
		return j.job, nil
	}
	var job wire.Job
	object, err := x.get(ctx, wire.PrefixJobs+id)
	if err != nil {
		return job, err
	}
	return job, decode(object.Value, &job)
}

// loadPast returns a job that another host runs or ran.
func (x *Executor) loadPast(ctx context.Context, id string) (wire.Job, error) {
	if job, ok := x.past.job(id); ok {
		return job, nil
	}
	job, err := x.load(ctx, id)
	if err == nil {
		x.past.keep(job)
	}
	return job, err
}

// head returns what the reducer knows of a job, its times on this daemon's clock.
func (x *Executor) head(job wire.Job) event.JobHead {
	head := HeadOf(job)
	begun := time.Duration(job.Submitted)*time.Millisecond - time.Duration(x.epoch.Load())
	head.Due = begun + time.Duration(job.DueMS)*time.Millisecond
	head.GiveUp = begun + time.Duration(job.GiveUpMS)*time.Millisecond
	return head
}

// HeadOf returns what the reducer knows of a job but for its times.
func HeadOf(job wire.Job) event.JobHead {
	head := event.JobHead{
		ID: job.ID, Organisation: job.Organisation, Route: job.Route, Model: job.Model,
		MinVersion: job.MinVersion, Target: job.Target, Single: job.Single,
	}
	groups := map[string]int{}
	for _, it := range job.Items {
		g, ok := groups[it.Group]
		if !ok {
			g = len(groups)
			groups[it.Group] = g
		}
		h := event.ItemHead{ID: it.ID, Group: g, Tokens: it.Tokens, Hint: it.Hint}
		if it.Reward != nil {
			h.ScoreHost, h.ScorePath = it.Reward.Host, it.Reward.Path
		}
		head.Items = append(head.Items, h)
	}
	return head
}

func encode(v any) ([]byte, error) { return msgpack.Marshal(v) }

func decode(value []byte, v any) error { return msgpack.Unmarshal(value, v) }
