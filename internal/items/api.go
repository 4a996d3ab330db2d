package items

import (
	"context"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
)

// maxPageBytes bounds the total size of the texts in one page of results. A page holds at least one result.
const maxPageBytes = 900 << 10

// JobCall identifies the caller and the target of an API call about a batch job.
type JobCall struct {
	KeyHash string
	Host    string // host name that the caller requested
	Path    string
	Job     string
}

// Submit accepts a job to be stored and run by this host. The answer's kind is "" once the job is stored. It may be
// called concurrently.
func (x *Executor) Submit(ctx context.Context, c JobCall, job wire.Job) event.JobAnswer {
	return x.callReducer(ctx, event.JobCalled{Call: event.JobSubmit, KeyHash: c.KeyHash, Host: c.Host, Path: c.Path, Job: job.ID, Head: JobHeadOf(job)}, &job)
}

// End ends a job, whichever host runs it. It may be called concurrently.
func (x *Executor) End(ctx context.Context, c JobCall) event.JobAnswer {
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

// Page returns a job's results from a position on: from this host's memory, the host that runs the job, or the store,
// in this order. It waits up to wait for a first result. It may be called concurrently.
func (x *Executor) Page(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, error) {
	if page, ok := x.LocalPage(ctx, id, after, wait); ok {
		return page, nil
	}
	host, err := x.ownerHost(ctx, id)
	if err != nil {
		return wire.JobPage{}, err
	}
	if host != x.Host {
		if page, ok := x.Peers.Page(ctx, host, id, after, wait); ok {
			return page, nil
		}
		x.reportUnreachableOwner(ctx, id, host)
	}
	return x.storedPage(ctx, id, after, wait)
}

// reportUnreachableOwner tells the reducer that a job's owner did not answer a read, unless the job has ended.
func (x *Executor) reportUnreachableOwner(ctx context.Context, id, host string) {
	if ctx.Err() != nil || x.jobTable.owner(id).Ended {
		return
	}
	known := x.jobTable.owner(id)
	if known.Host == "" {
		job, err := x.loadJobCached(ctx, id)
		if err != nil {
			return
		}
		known = event.JobSeen{Job: id, Host: host, Incarnation: job.Incarnation}
	}
	x.Post(event.JobSought{Seen: known})
}

// ownerHost returns the host that runs a job according to the news that this host has received, or the job's first
// owner when it has received none.
func (x *Executor) ownerHost(ctx context.Context, id string) (string, error) {
	if owner := x.jobTable.owner(id); owner.Host != "" {
		return owner.Host, nil
	}
	job, err := x.loadJobCached(ctx, id)
	return job.Host, err
}

// verifyListComplete reports whether this host knows all listed results of a job that it runs. It asks the store for the
// next chunk unless it did so recently: while this host was suspended, another one may have taken the job over and
// listed more results.
func (x *Executor) verifyListComplete(ctx context.Context, id string) bool {
	if x.jobTable.recentlyVerified(id) {
		return true
	}
	j := x.jobTable.get(id)
	if j == nil {
		return false
	}
	_, err := x.chunk(ctx, id, x.jobTable.chunkCount(id))
	if kinds.KindOf(err) != kinds.NotFound {
		return false
	}
	x.jobTable.markVerified(id)
	return true
}

// LocalPage returns a page of a job that this host runs. It waits up to wait for a first result. It returns false for
// any other job, and for an empty page when another host may have listed more results. It may be called concurrently.
func (x *Executor) LocalPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, bool) {
	page, ok := x.localPage(ctx, id, after, wait)
	return page, ok && (len(page.Results) > 0 || x.verifyListComplete(ctx, id))
}

// localPage returns a page of a job that this host runs, from memory.
func (x *Executor) localPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, bool) {
	return x.jobTable.page(ctx, id, after, wait, maxPageBytes)
}

// pollInterval is the interval at which storedPage asks the store for a chunk that a reader waits for.
const pollInterval = 400 * time.Millisecond

// storedPage returns a page from the chunks in the store. It waits up to wait for a first result.
func (x *Executor) storedPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, error) {
	job, err := x.loadJobCached(ctx, id)
	if err != nil {
		return wire.JobPage{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		page := x.remoteJobs.page(job, after)
		if len(page.Results) > 0 || page.Next >= page.Total {
			return page, nil
		}
		found, err := x.readMoreChunks(ctx, id)
		if err != nil {
			return wire.JobPage{}, err
		}
		if found {
			continue
		}
		if time.Now().Add(pollInterval).After(deadline) || ctx.Err() != nil {
			return page, nil
		}
		if retry.Sleep(ctx, pollInterval) != nil {
			return page, nil
		}
	}
}

// readMoreChunks adds stored chunks of a job to the cache of remote jobs and reports whether there were any: all chunks
// when none is cached, else the next one.
func (x *Executor) readMoreChunks(ctx context.Context, id string) (bool, error) {
	number := x.remoteJobs.chunkCount(id)
	if number == 0 {
		chunks, err := x.chunks(ctx, id)
		for n, chunk := range chunks {
			x.remoteJobs.appendChunk(id, n, chunk.Results)
		}
		return len(chunks) > 0, err
	}
	chunk, err := x.chunk(ctx, id, number)
	if kinds.KindOf(err) == kinds.NotFound {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	x.remoteJobs.appendChunk(id, number, chunk.Results)
	return true, nil
}

// Body returns the request body of an item and the organisation that the job belongs to. Its error has kind NotFound
// when the job has no such item, or when this host runs the job and the item is listed.
func (x *Executor) Body(ctx context.Context, id, item string) ([]byte, string, error) {
	job, err := x.loadJobCached(ctx, id)
	if err != nil {
		return nil, "", err
	}
	if j := x.jobTable.get(id); j != nil && j.owned {
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
