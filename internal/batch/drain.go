package batch

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

// flushTimeout bounds how long a stopping host waits until the copies of its texts are complete.
const flushTimeout = 700 * time.Millisecond

// startDrain stops all runs and has the finished results listed, so that other hosts can take the jobs over.
func (p *Component) startDrain(now time.Duration, out *event.Batch) {
	if p.stopping {
		return
	}
	p.stopping = true
	out.Raise(event.DrainBegun{Owner: drainOwner})
	for _, j := range p.sortedJobs() {
		for _, it := range j.items {
			if it.state == running {
				p.stopItem(j, it, out)
			}
		}
		p.listResults(now, j, out)
	}
}

// continueDrain has the copies of the texts completed once no run or result is pending, and ends the drain when that
// takes longer than flushTimeout.
func (p *Component) continueDrain(out *event.Batch) {
	if !p.stopping || p.drained {
		return
	}
	for _, j := range p.jobs {
		if j.storingChunk || j.hasPending() {
			return
		}
	}
	if p.flushingSince == 0 {
		p.flushingSince = p.now
		out.Emit(event.FlushCopies{})
	}
	if p.now-p.flushingSince >= flushTimeout {
		p.finishDrain(out)
	}
}

// finishDrain announces the unfinished jobs without an owner and ends the drain.
func (p *Component) finishDrain(out *event.Batch) {
	if p.drained {
		return
	}
	p.drained = true
	for _, j := range p.sortedJobs() {
		if !j.ended && j.unlisted > 0 {
			p.announce(event.JobSeen{Job: j.head.ID, Epoch: j.epoch}, out)
		}
	}
	out.Raise(event.DrainEnded{Owner: drainOwner})
}

// hasPending reports whether a run has yet to stop or a result has yet to be scored or listed.
func (j *job) hasPending() bool {
	for _, it := range j.items {
		if it.state == stopping || it.state == scoring || it.state == finished || it.state == listing {
			return true
		}
	}
	return false
}
