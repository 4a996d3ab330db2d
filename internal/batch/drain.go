package batch

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// flushTimeout bounds how long a host that gives its jobs away waits until the copies of its texts are complete.
const flushTimeout = 700 * time.Millisecond

// startDrain stops all runs and has the finished results listed, so that other hosts can take the jobs over.
func (p *Component) startDrain(now time.Duration, out *event.Batch) {
	if p.stopping {
		return
	}
	p.stopping, p.stoppingSince = true, now
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

// continueDrain has the copies of the texts completed once nothing of the open jobs is pending, at the latest after settleTimeout,
// and gives them away when that takes longer than flushTimeout. The next owners have scores and results that are still pending made
// again.
func (p *Component) continueDrain(now time.Duration, out *event.Batch) {
	if !p.stopping || p.drained {
		return
	}
	if p.flushingSince == 0 {
		if now-p.stoppingSince < settleTimeout && slices.ContainsFunc(p.sortedJobs(), (*job).hasPending) {
			return
		}
		p.flushingSince = now
		out.Emit(event.FlushCopies{})
	}
	if now-p.flushingSince >= flushTimeout {
		p.finishDrain(now, out)
	}
}

// finishDrain gives the open jobs away and ends the drain.
func (p *Component) finishDrain(now time.Duration, out *event.Batch) {
	if p.drained {
		return
	}
	p.drained = true
	for _, j := range p.sortedJobs() {
		switch {
		case j.canBeGivenAway():
			p.giveAway(now, j, out)
		case !j.ended && j.unlisted > 0: // it may be stored, with this host as its owner
			p.announce(event.JobSeen{Job: j.head.ID, Epoch: j.epoch}, out)
		}
	}
	out.Raise(event.DrainEnded{Owner: drainOwner})
}

// hasPending reports whether a run has yet to stop or a result has yet to be scored or listed. What remains of a job that has ended
// has no effect any more.
func (j *job) hasPending() bool {
	if j.ended {
		return false
	}
	for _, it := range j.items {
		if it.state == stopping || it.state == scoring || it.state == finished || it.state == listing {
			return true
		}
	}
	return j.storingChunk
}
