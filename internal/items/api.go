package items

import (
	"context"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// JobCall identifies the caller and the target of an API call about a batch job.
type JobCall struct {
	KeyHash string
	Host    string // host name that the caller requested
	Path    string
	Job     string
}

// endRetryAfter is the retry delay sent when it can't be told whose job is to be ended.
const endRetryAfter = 100 * time.Millisecond

// Submit accepts a job to be stored and run by this host. The answer's kind is "" once the job is stored. It may be
// called concurrently.
func (x *Executor) Submit(ctx context.Context, c JobCall, job wire.Job) event.JobAnswer {
	return x.callReducer(ctx, event.JobCalled{Call: event.JobSubmit, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: job.ID, Head: JobHeadOf(job)}, &job)
}

// End ends a job of the organisation of the caller's key, whichever host runs it. Any other job is not found. It may be called
// concurrently.
func (x *Executor) End(ctx context.Context, c JobCall) event.JobAnswer {
	caller := x.Authorise(ctx, c)
	if caller.Kind != "" {
		return caller
	}
	job, err := x.loadJobCached(ctx, c.Job)
	switch kind := kinds.KindOf(err); {
	case err == nil && job.Organisation != caller.Organisation:
		return event.JobAnswer{Kind: kinds.NotFound}
	case err != nil && kind != kinds.NotFound: // a job that is not found may be about to be stored
		return event.JobAnswer{Kind: kinds.StoreRefused, RetryAfter: endRetryAfter}
	}
	return x.callReducer(ctx, event.JobCalled{Call: event.JobEnd, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: c.Job}, nil)
}

// Authorise returns the organisation whose key a read carries, or the kind of the refusal. It may be called
// concurrently.
func (x *Executor) Authorise(ctx context.Context, c JobCall) event.JobAnswer {
	return x.callReducer(ctx, event.JobCalled{Call: event.JobRead, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: c.Job}, nil)
}

// callReducer posts a call to the reducer and waits for its answer. The reducer's KeepJob effect refers to job by Seq.
func (x *Executor) callReducer(ctx context.Context, e event.JobCalled, job *wire.Job) event.JobAnswer {
	answer := make(chan event.JobAnswer, 1)
	x.mu.Lock()
	x.lastSeq++
	e.Seq = x.lastSeq
	x.answers[e.Seq] = answer
	if job != nil {
		x.submissions[e.Seq] = *job
	}
	x.mu.Unlock()
	defer x.forgetCall(e.Seq)
	if !x.Post(e) {
		return event.JobAnswer{Kind: kinds.Stopping}
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
	case <-x.ctx.Done():
	}
	return event.JobAnswer{Kind: kinds.OutcomeUnknown}
}

func (x *Executor) forgetCall(seq uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.answers, seq)
	delete(x.submissions, seq)
}

func (x *Executor) deliverAnswer(a event.JobAnswer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c := x.answers[a.Seq]; c != nil {
		c <- a
		delete(x.answers, a.Seq)
	}
}

// Body returns the request body of an item and the organisation that the job belongs to. Its error has kind NotFound
// when the job has no such item, or when this host runs the job and the item is listed.
func (x *Executor) Body(ctx context.Context, id, item string) ([]byte, string, error) {
	job, err := x.loadJobCached(ctx, id)
	if err != nil {
		return nil, "", err
	}
	if x.jobTable.owns(id) {
		body, ok := x.jobTable.body(id, item)
		if !ok {
			return nil, job.Organisation, kinds.New(kinds.NotFound, "item %s is already listed or not part of job %s", item, id)
		}
		return body, job.Organisation, nil
	}
	for _, candidate := range job.Items {
		if candidate.ID == item {
			return candidate.Body, job.Organisation, nil
		}
	}
	return nil, job.Organisation, kinds.New(kinds.NotFound, "job %s has no item %s", id, item)
}
