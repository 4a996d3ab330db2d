package items

import (
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// maxRemoteJobs is the maximum number of jobs of other hosts whose stored results are cached in memory.
const maxRemoteJobs = 12

// remoteJobs caches up to maxRemoteJobs jobs that this host does not run, with their stored results. Cached results
// stay valid, since stored chunks never change. It may be used concurrently; its zero value is empty.
type remoteJobs struct {
	mu          sync.Mutex
	jobs        map[string]*remoteJob
	insertOrder []string // ids of the jobs in the order in which they were added
}

// remoteJob is a job of the cache. A reader can go on with one that was evicted meanwhile. The cache's mutex protects it.
type remoteJob struct {
	jobState
	listRead bool // all chunks that were stored at some time were read by one call
}

func (c *remoteJobs) job(id string) (wire.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil {
		return wire.Job{}, false
	}
	return j.job, true
}

// state returns the entry of a job, and adds it unless it is cached. When the cache is full, the job that was added first is
// evicted.
func (c *remoteJobs) state(job wire.Job) *remoteJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[job.ID]; j != nil {
		return j
	}
	if c.jobs == nil {
		c.jobs = map[string]*remoteJob{}
	}
	if len(c.insertOrder) >= maxRemoteJobs {
		delete(c.jobs, c.insertOrder[0])
		c.insertOrder = c.insertOrder[1:]
	}
	j := &remoteJob{jobState: jobState{job: job}}
	c.jobs[job.ID] = j
	c.insertOrder = append(c.insertOrder, job.ID)
	return j
}

// page returns the cached results from a position on, at most maxPageBytes of text but at least one result.
func (c *remoteJobs) page(j *remoteJob, after int) wire.JobPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return j.page(after, maxPageBytes)
}

// progress returns the number of cached chunks of a job, which is the number of the next one, and whether the chunks were
// listed.
func (c *remoteJobs) progress(j *remoteJob) (chunks int, listRead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return j.chunks, j.listRead
}

// mayLack reports whether the store may have listed results from a position on, the one behind the cached results, since it was last
// asked: more than maxAge ago.
func (c *remoteJobs) mayLack(j *remoteJob, next int, maxAge time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return next == len(j.listed) && next < len(j.job.Items) && time.Since(j.completeAt) > maxAge
}

// markComplete records that the store, asked at a time, had no chunk of that number, which is the next one.
func (c *remoteJobs) markComplete(j *remoteJob, number int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.chunks == number {
		j.noteComplete(at)
	}
}

// appendChunks adds the chunks of a list of all chunks, of which some may be known, that the store was asked for at a time.
func (c *remoteJobs) appendChunks(j *remoteJob, chunks []wire.JobChunk, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.listRead = true
	for _, chunk := range chunks[min(j.chunks, len(chunks)):] {
		j.chunks++
		j.listed = append(j.listed, chunk.Results...)
	}
	if j.chunks == len(chunks) {
		j.noteComplete(asked)
	}
}

// appendChunk adds the chunk of a number, unless it is known.
func (c *remoteJobs) appendChunk(j *remoteJob, number int, results []wire.JobResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j.chunks == number {
		j.chunks++
		j.listed = append(j.listed, results...)
	}
}
