package items

import (
	"sync"

	"github.com/figshift/figshift/internal/wire"
)

// maxRemoteJobs is the maximum number of jobs of other hosts whose stored results are cached in memory.
const maxRemoteJobs = 12

// remoteJobs caches up to maxRemoteJobs jobs that this host does not run, with their stored results. Cached results
// stay valid, since stored chunks never change. It may be used concurrently; its zero value is empty.
type remoteJobs struct {
	mu          sync.Mutex
	jobs        map[string]*jobState
	insertOrder []string // ids of the jobs in the order in which they were added
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

// add adds a job unless it is cached. When the cache is full, the job that was added first is evicted.
func (c *remoteJobs) add(job wire.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.getOrAdd(job)
}

func (c *remoteJobs) getOrAdd(job wire.Job) *jobState {
	if j := c.jobs[job.ID]; j != nil {
		return j
	}
	if c.jobs == nil {
		c.jobs = map[string]*jobState{}
	}
	if len(c.insertOrder) >= maxRemoteJobs {
		delete(c.jobs, c.insertOrder[0])
		c.insertOrder = c.insertOrder[1:]
	}
	j := &jobState{job: job}
	c.jobs[job.ID] = j
	c.insertOrder = append(c.insertOrder, job.ID)
	return j
}

// page returns the cached results from a position on, at most maxPageBytes of text but at least one result.
func (c *remoteJobs) page(job wire.Job, after int) wire.JobPage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.getOrAdd(job).page(after, maxPageBytes)
}

// chunkCount returns the number of cached chunks of a job, which is the number of the next one.
func (c *remoteJobs) chunkCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.chunks
	}
	return 0
}

func (c *remoteJobs) appendChunk(id string, number int, results []wire.JobResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil && j.chunks == number {
		j.chunks++
		j.listed = append(j.listed, results...)
	}
}
