package batch

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

// flushFor bounds the wait for the last copies of a stopping host.
const flushFor = 700 * time.Millisecond

// stop hands the jobs of this host to the others.
func (p *Part) stop(now time.Duration, out *event.Batch) {
	if p.stopping {
		return
	}
	p.stopping = true
	out.Raise(event.DrainBegun{Owner: drainOwner})
	for _, j := range p.sorted() {
		for _, it := range j.items {
			if it.state == running {
				p.stopItem(j, it, out)
			}
		}
		p.list(now, j, out)
	}
}

// endDrain gives the jobs up once their finished results are stored.
func (p *Part) endDrain(out *event.Batch) {
	if !p.stopping || p.drained {
		return
	}
	for _, j := range p.jobs {
		if j.busy || j.pending() {
			return
		}
	}
	if p.flushing == 0 {
		p.flushing = p.now
		out.Emit(event.FlushCopies{})
	}
	if p.now-p.flushing >= flushFor {
		p.handOver(out)
	}
}

// handOver gives the jobs up.
func (p *Part) handOver(out *event.Batch) {
	if p.drained {
		return
	}
	p.drained = true
	for _, j := range p.sorted() {
		if !j.ended && j.left > 0 {
			p.tell(event.JobSeen{Job: j.head.ID, Epoch: j.epoch}, out)
		}
	}
	out.Raise(event.DrainEnded{Owner: drainOwner})
}

// pending reports whether results or ends of runs are still on their way.
func (j *job) pending() bool {
	for _, it := range j.items {
		if it.state == stopping || it.state == scoring || it.state == finished || it.state == listing {
			return true
		}
	}
	return false
}
