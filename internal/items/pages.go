package items

import (
	"cmp"
	"context"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// maxPageBytes bounds the total size of the texts in one page of results. A page holds at least one result.
	maxPageBytes = 900 << 10
	// pollInterval is the interval at which storedPage asks the store for a chunk that a reader waits for.
	pollInterval = 400 * time.Millisecond
	// maxOvertime is the time beyond its wait after which a read is refused. Readers give up soon after.
	maxOvertime = 1300 * time.Millisecond
	// extendTimeout bounds the calls to the store for results behind those that a reader gets anyway.
	extendTimeout = 300 * time.Millisecond
)

// Sources of a page of results.
const (
	PageOwned  = "Owned"  // this host runs the job
	PagePeer   = "Peer"   // the host that runs the job
	PageStored = "Stored" // the chunks in the store
)

// EmptyPage describes an empty page of a job whose results are not all listed. Age is how long ago, at most, the store had
// nothing at that position, 0 for not known.
type EmptyPage struct {
	Job    string
	After  int
	Source string
	Age    time.Duration
}

// defaultSettle is the time after which a position that a reader has got is shown to all readers.
const defaultSettle = time.Second

// maxAge is the age of the store's word up to which an empty page is answered; the rest of the time is for the answer's way.
func (x *Executor) maxAge() time.Duration { return cmp.Or(x.Settle, defaultSettle) * 7 / 10 }

// isCurrent reports whether a page still tells all that the reader may have seen elsewhere.
func (x *Executor) isCurrent(page wire.JobPage) bool {
	return !page.Unfinished() || page.AgeMS > 0 && page.AgeMS <= x.maxAge().Milliseconds()
}

// Page returns a job's results from a position on: from this host's memory, the host that runs the job, or the store,
// in this order. It waits up to wait for a first result. Its error has kind StoreUnavailable when the page is empty and the
// store has not said recently enough that more is listed nowhere. It may be called concurrently.
func (x *Executor) Page(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, error) {
	type answer struct {
		page   wire.JobPage
		source string
		err    error
	}
	answered := make(chan answer, 1)
	// The calls of a read that is refused go on within their own bounds: what they read is cached.
	go func(ctx context.Context) {
		page, source, err := x.findPage(ctx, id, after, wait)
		answered <- answer{page, source, err}
	}(context.WithoutCancel(ctx))
	timer := time.NewTimer(wait + maxOvertime)
	defer timer.Stop()
	select {
	case a := <-answered:
		if a.err == nil && a.page.Unfinished() && x.ObserveEmpty != nil {
			x.ObserveEmpty(EmptyPage{Job: id, After: after, Source: a.source, Age: time.Duration(a.page.AgeMS) * time.Millisecond})
		}
		return a.page, a.err
	case <-timer.C:
		return wire.JobPage{}, kinds.New(kinds.StoreUnavailable, "job %s was not read in time", id)
	case <-ctx.Done():
		return wire.JobPage{}, kinds.New(kinds.StoreUnavailable, "the reader of job %s has left", id)
	}
}

func (x *Executor) findPage(ctx context.Context, id string, after int, wait time.Duration) (page wire.JobPage, source string, err error) {
	deadline := time.Now().Add(wait)
	if page, ok := x.LocalPage(ctx, id, after, wait); ok {
		return page, PageOwned, nil
	}
	host, err := x.ownerHost(ctx, id)
	if err != nil {
		return wire.JobPage{}, "", err
	}
	if host != x.Host {
		page, ok := x.Peers.Page(ctx, host, id, after, wait)
		if ok && x.isCurrent(page) {
			return page, PagePeer, nil
		}
		if !ok {
			x.reportUnreachableOwner(ctx, id, host)
		}
	}
	page, err = x.storedPage(ctx, id, after, time.Until(deadline))
	if err == nil && !x.isCurrent(page) {
		err = kinds.New(kinds.StoreUnavailable, "the store's word on job %s is %d ms old", id, page.AgeMS)
	}
	return page, PageStored, err
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

// LocalPage returns a page of a job that this host runs. It waits up to wait for a first result. It returns false for
// any other job, and for an empty page when another host may have listed more results. It may be called concurrently.
func (x *Executor) LocalPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, bool) {
	page, ok := x.jobTable.page(ctx, id, after, wait, maxPageBytes)
	if !ok || x.isCurrent(page) {
		return page, ok
	}
	if !x.verifyListComplete(ctx, id) {
		return page, false
	}
	page, ok = x.jobTable.page(ctx, id, after, 0, maxPageBytes) // results may have been listed meanwhile
	return page, ok && x.isCurrent(page)
}

// verifyListComplete asks the store whether this host knows all listed results of a job that it runs: another host may have
// taken the job over and listed more results.
func (x *Executor) verifyListComplete(ctx context.Context, id string) bool {
	number, asked := x.jobTable.chunkCount(id), time.Now()
	_, err := x.chunk(ctx, id, number)
	if kinds.KindOf(err) != kinds.NotFound {
		return false
	}
	x.jobTable.markComplete(id, number, asked)
	return true
}

// storedPage returns a page from the chunks in the store. It waits up to wait for a first result.
func (x *Executor) storedPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, error) {
	job, err := x.loadJob(ctx, id)
	if err != nil {
		return wire.JobPage{}, err
	}
	j := x.remoteJobs.state(job)
	deadline := time.Now().Add(wait)
	page := x.remoteJobs.page(j, after)
	if len(page.Results) > 0 {
		return x.extendPage(ctx, j, after, page), nil
	}
	for repeated := false; page.Unfinished(); {
		asked := time.Now()
		found, err := x.readMoreChunks(ctx, j)
		if err != nil {
			return wire.JobPage{}, err
		}
		page = x.remoteJobs.page(j, after) // another reader may have added the chunk before the one that was asked for
		page.AgeMS = ageMS(asked)
		switch {
		case found || !page.Unfinished():
		case time.Now().Add(pollInterval).After(deadline) || ctx.Err() != nil:
			if repeated || x.isCurrent(page) {
				return page, nil
			}
			repeated = true // the list of all chunks takes longer than the next one
		default:
			_ = retry.Sleep(ctx, pollInterval) // the next round sees that ctx has ended
		}
	}
	return page, nil
}

// extendPage returns a page from the cache with the results that the store may have listed behind it since it was last asked: a
// reader from the start would get fewer than others have read. It returns the page as it is when the store doesn't answer.
func (x *Executor) extendPage(ctx context.Context, j *remoteJob, after int, page wire.JobPage) wire.JobPage {
	ctx, cancel := context.WithTimeout(ctx, extendTimeout)
	defer cancel()
	for x.remoteJobs.mayLack(j, page.Next, x.maxAge()) {
		found, err := x.readMoreChunks(ctx, j)
		if err != nil {
			return page
		}
		page = x.remoteJobs.page(j, after)
		if !found {
			return page
		}
	}
	return page
}

// ageMS returns the time since a moment in ms, rounded up and at least 1.
func ageMS(since time.Time) int64 { return time.Since(since).Milliseconds() + 1 }

// readMoreChunks adds stored chunks to a job of the cache and reports whether there were any: all chunks by the first call,
// the next one by later ones.
func (x *Executor) readMoreChunks(ctx context.Context, j *remoteJob) (bool, error) {
	number, listed := x.remoteJobs.progress(j)
	asked := time.Now()
	if !listed {
		chunks, err := x.chunks(ctx, j.job.ID)
		if err != nil {
			return false, err
		}
		x.remoteJobs.appendChunks(j, chunks, asked)
		return len(chunks) > 0, nil
	}
	chunk, err := x.chunk(ctx, j.job.ID, number)
	if kinds.KindOf(err) == kinds.NotFound {
		x.remoteJobs.markComplete(j, number, asked)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	x.remoteJobs.appendChunk(j, number, chunk.Results)
	return true, nil
}
