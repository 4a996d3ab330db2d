package items

import (
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

// Page returns a job's results from a position on: from this host's memory, the host that runs the job, or the store,
// in this order. It waits up to wait for a first result. It may be called concurrently.
func (x *Executor) Page(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, error) {
	page, source, err := x.findPage(ctx, id, after, wait)
	if err == nil && page.Unfinished() && x.ObserveEmpty != nil {
		x.ObserveEmpty(EmptyPage{Job: id, After: after, Source: source, Age: time.Duration(page.AgeMS) * time.Millisecond})
	}
	return page, err
}

func (x *Executor) findPage(ctx context.Context, id string, after int, wait time.Duration) (page wire.JobPage, source string, err error) {
	if page, ok := x.LocalPage(ctx, id, after, wait); ok {
		return page, PageOwned, nil
	}
	host, err := x.ownerHost(ctx, id)
	if err != nil {
		return wire.JobPage{}, "", err
	}
	if host != x.Host {
		if page, ok := x.Peers.Page(ctx, host, id, after, wait); ok {
			return page, PagePeer, nil
		}
		x.reportUnreachableOwner(ctx, id, host)
	}
	page, err = x.storedPage(ctx, id, after, wait)
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
	number, asked := x.jobTable.chunkCount(id), time.Now()
	_, err := x.chunk(ctx, id, number)
	if kinds.KindOf(err) != kinds.NotFound {
		return false
	}
	x.jobTable.markComplete(id, number, asked)
	return true
}

// LocalPage returns a page of a job that this host runs. It waits up to wait for a first result. It returns false for
// any other job, and for an empty page when another host may have listed more results. It may be called concurrently.
func (x *Executor) LocalPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, bool) {
	page, ok := x.localPage(ctx, id, after, wait)
	ok = ok && (len(page.Results) > 0 || x.verifyListComplete(ctx, id))
	if page.Unfinished() {
		page.AgeMS = x.jobTable.ageMS(id)
	}
	return page, ok
}

// localPage returns a page of a job that this host runs, from memory.
func (x *Executor) localPage(ctx context.Context, id string, after int, wait time.Duration) (wire.JobPage, bool) {
	return x.jobTable.page(ctx, id, after, wait, maxPageBytes)
}

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
		asked := time.Now()
		found, err := x.readMoreChunks(ctx, id)
		if err != nil {
			return wire.JobPage{}, err
		}
		if found {
			continue
		}
		page.AgeMS = ageMS(asked)
		if time.Now().Add(pollInterval).After(deadline) || ctx.Err() != nil {
			return page, nil
		}
		if retry.Sleep(ctx, pollInterval) != nil {
			return page, nil
		}
	}
}

// ageMS returns the time since a moment in ms, rounded up and at least 1.
func ageMS(since time.Time) int64 { return time.Since(since).Milliseconds() + 1 }

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
