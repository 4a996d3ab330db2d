package items

import (
	"context"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
)

// ending is the end of a job that is being stored.
type ending struct {
	answerBy time.Time // when the end is given up, or its outcome is said to be unknown; the executor's mutex protects it
	answered bool      // the outcome was said to be unknown; the executor's mutex protects it
	listed   bool      // no caller ends the job, all its results are listed; the executor's mutex protects it
	// unanswered tells of a write that had no answer and takes effect, at any time, while the record has version.
	unanswered bool
	version    uint64
}

// endJob records in the store that a job was ended, whichever host runs it, and posts JobEnded. While the store refuses, the
// end is given up after e.Budget. Once a write had no answer it can't be given up: JobEnded then tells that the outcome is
// unknown, and a second one follows when the store has answered.
func (x *Executor) endJob(ctx context.Context, e event.EndJob) {
	state := x.beginEnding(e)
	if state == nil {
		return // it is being stored already
	}
	for ctx.Err() == nil {
		kind := x.tryEndJob(ctx, e.Job, state)
		if kind == "" || kind == kinds.NotFound {
			x.dropEnding(e.Job)
			x.Post(event.JobEnded{Job: e.Job, Kind: kind})
			return
		}
		due, final := x.endingDue(e.Job, state)
		switch {
		case due && final:
			x.Post(event.JobEnded{Job: e.Job, Kind: kinds.StoreRefused})
			return
		case due:
			x.Post(event.JobEnded{Job: e.Job, Kind: kinds.OutcomeUnknown})
		}
		_ = retry.Sleep(ctx, storeRetryInterval) // the loop sees that ctx has ended
	}
}

// beginEnding returns the state for storing a job's end, nil when it is being stored already: whoever does so answers again.
func (x *Executor) beginEnding(e event.EndJob) *ending {
	x.mu.Lock()
	defer x.mu.Unlock()
	answerBy := time.Now().Add(e.Budget)
	if state := x.endings[e.Job]; state != nil {
		state.answerBy, state.answered, state.listed = answerBy, false, state.listed && e.Listed
		return nil
	}
	state := &ending{answerBy: answerBy, listed: e.Listed}
	x.endings[e.Job] = state
	return state
}

func (x *Executor) endsListed(state *ending) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return state.listed
}

func (x *Executor) dropEnding(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.endings, id)
}

// endingDue reports whether those who wait for a job's end are to be answered now, and whether that answer is final. A final
// one drops the state.
func (x *Executor) endingDue(id string, state *ending) (due, final bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if state.answered || time.Now().Before(state.answerBy) {
		return false, false
	}
	if !state.unanswered {
		delete(x.endings, id)
		return true, true
	}
	state.answered = true
	return true, false
}

// tryEndJob makes one attempt to record that a job was ended. Its kind is "" when the store has recorded that.
func (x *Executor) tryEndJob(ctx context.Context, id string, state *ending) kinds.Kind {
	if _, err := x.ensureStored(ctx, id); err != nil {
		if kinds.KindOf(err) == kinds.NotFound && x.jobTable.owner(id).Host != "" {
			return kinds.StoreRefused // the host that runs it may be about to store it
		}
		return kinds.KindOf(err)
	}
	owner, version, err := x.readOwner(ctx, id)
	if err != nil {
		return kinds.KindOf(err)
	}
	listed := x.endsListed(state)
	if owner.Ended {
		if owner.Listed && !listed {
			owner.Listed, owner.EndedMS = false, x.UnixMS()
			_ = x.writeOwner(ctx, id, owner, version) // a failure keeps the job's objects longer, as if nobody had ended it
		}
		x.notifyOwnerOfEnd(ctx, id, owner) // whoever stored the end may not have done so
		return ""
	}
	state.unanswered = state.unanswered && version == state.version
	if owner.Host == "" {
		known := x.jobTable.owner(id)
		owner = wire.JobOwner{Host: known.Host, Incarnation: known.Incarnation, Epoch: known.Epoch}
	}
	owner.Ended, owner.EndedMS, owner.Listed = true, x.UnixMS(), listed
	kind := x.writeOwner(ctx, id, owner, version)
	switch kind {
	case "":
		x.notifyOwnerOfEnd(ctx, id, owner)
	case kinds.Conflict, kinds.StoreRefused:
	default:
		state.unanswered, state.version = true, version
	}
	return kind
}

// notifyOwnerOfEnd tells the host that runs a job that the job was ended. Peer messages may not reach that host: they are
// lost with their connection, and in a large fleet few hosts exchange them. While the host does not confirm the call,
// it is repeated in the background for notifyTime.
func (x *Executor) notifyOwnerOfEnd(ctx context.Context, id string, owner wire.JobOwner) {
	host := owner.Host
	if host == "" {
		if job, err := x.loadJobCached(ctx, id); err == nil {
			host = job.Host
		}
	}
	if host != "" && host != x.Host && !x.Peers.NotifyEnded(ctx, host, id) {
		go x.repeatEnd(ctx, id, host)
	}
}

// repeatEnd tells a host that a job was ended until the host confirms it, for notifyTime at most.
func (x *Executor) repeatEnd(ctx context.Context, id, host string) {
	ctx, cancel := context.WithTimeout(ctx, notifyTime)
	defer cancel()
	for retry.Sleep(ctx, notifyInterval) == nil {
		if x.Peers.NotifyEnded(ctx, host, id) {
			return
		}
	}
}
