package items

import (
	"sync"

	"github.com/figshift/figshift/internal/wire"
)

// pastJobs bounds the jobs of other hosts whose stored results are kept in memory.
const pastJobs = 12

// past holds stored results of jobs that this host does not run, those read last. Stored chunks never change. It may be
// used concurrently; its zero value is empty.
type past struct {
	mu    sync.Mutex
	jobs  map[string]*kept
	order []string // by last use, oldest first
}

func (p *past) job(id string) (wire.Job, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j == nil {
		return wire.Job{}, false
	}
	return j.job, true
}

// keep adds a job and forgets the one that was read longest ago.
func (p *past) keep(job wire.Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold(job)
}

func (p *past) hold(job wire.Job) *kept {
	if j := p.jobs[job.ID]; j != nil {
		return j
	}
	if p.jobs == nil {
		p.jobs = map[string]*kept{}
	}
	if len(p.order) >= pastJobs {
		delete(p.jobs, p.order[0])
		p.order = p.order[1:]
	}
	j := &kept{job: job}
	p.jobs[job.ID] = j
	p.order = append(p.order, job.ID)
	return j
}

// page returns the known results from a position on.
func (p *past) page(job wire.Job, after int) wire.JobPage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hold(job).page(after, pageBytes)
}

// next returns the number of the first chunk that is not known.
func (p *past) next(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.jobs[id]; j != nil {
		return j.chunks
	}
	return 0
}

func (p *past) extend(id string, number int, results []wire.JobResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if j := p.jobs[id]; j != nil && j.chunks == number {
		j.chunks++
		j.listed = append(j.listed, results...)
	}
}
