package batch

import (
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
)

// settleTimeout bounds how long a host that is cut off or stops waits until its runs have stopped before it gives its jobs away.
const settleTimeout = 300 * time.Millisecond

// handover is the state of giving this host's jobs to hosts that reach endpoints. Its zero value means that none is under
// way.
type handover struct {
	startedAt  time.Duration
	flushingAt time.Duration // when the flush of the text copies began, 0 before
}

// handleLinksChanged drops what this host took for the state of the engines.
func (p *Component) handleLinksChanged(now time.Duration, out *event.Batch) {
	p.engines.forgetFailures()
	p.continueHandover(now, out)
	p.dispatch(now, out)
}

// startHandover stops the runs of the jobs that other hosts can take.
func (p *Component) startHandover(now time.Duration, out *event.Batch) {
	for _, j := range p.sortedJobs() {
		if !j.canBeGivenAway() {
			continue
		}
		p.handover.startedAt = now
		for _, it := range j.items {
			if it.state == running {
				p.stopItem(j, it, out)
			}
		}
		p.listResults(now, j, out)
	}
}

// canBeGivenAway reports whether another host can go on with a job. It can't take one that may not be stored.
func (j *job) canBeGivenAway() bool { return !j.ended && j.unlisted > 0 && !j.unstored }

// continueHandover gives this host's jobs away while it is cut off from the engines: it stops their runs, has the copies of
// the texts completed and announces the jobs without an owner. Whole texts whose score is awaited count as copied: the next
// owner has them scored.
func (p *Component) continueHandover(now time.Duration, out *event.Batch) {
	h := &p.handover
	switch {
	case p.stopping:
	case !p.Links.CutOff(now):
		p.handover = handover{}
	case h.startedAt == 0:
		p.startHandover(now, out)
	case h.flushingAt == 0:
		if now-h.startedAt >= settleTimeout || !slices.ContainsFunc(p.sortedJobs(), (*job).unsettled) {
			h.flushingAt = now
			out.Emit(event.FlushCopies{})
		}
	case now-h.flushingAt >= flushTimeout:
		p.finishHandover(now, out)
	}
}

// unsettled reports whether a run has yet to stop or a result to be listed.
func (j *job) unsettled() bool {
	return j.storingChunk || slices.ContainsFunc(j.items, func(it *item) bool { return it.state == stopping })
}

// finishHandover announces the jobs without an owner.
func (p *Component) finishHandover(now time.Duration, out *event.Batch) {
	if p.handover.flushingAt == 0 {
		return
	}
	p.handover = handover{}
	for _, j := range p.sortedJobs() {
		if !j.canBeGivenAway() {
			continue
		}
		p.giveAway(now, j, out)
	}
}

// giveAway announces a job without an owner, to be taken by the host that has copies of its texts, and forgets it.
func (p *Component) giveAway(now time.Duration, j *job, out *event.Batch) {
	out.Emit(event.Log{Level: "info", Event: "JobGivenAway", Fields: []event.Field{
		{Key: "Job", Value: j.head.ID}, {Key: "To", Value: j.copyHost}, {Key: "Left", Value: strconv.Itoa(j.unlisted)},
	}})
	p.announce(event.JobSeen{Job: j.head.ID, Epoch: j.epoch, Next: j.copyHost}, out)
	out.Emit(event.CopyJob{Job: j.head.ID})
	delete(p.jobs, j.head.ID)
	k := p.ensureKnown(j.head.ID)
	k.Host, k.Incarnation, k.orphanedAt, k.Next, k.newsAt = "", "", now, j.copyHost, now
}

// reachingHost returns the host that takes a route's jobs while this one is cut off, "" for this one.
func (p *Component) reachingHost(now time.Duration, route string) string {
	for _, host := range ranks.Order(route, p.availableHosts(now)) {
		if p.acceptsJobs(now, host) {
			return host
		}
	}
	return ""
}

// forgetFailures ends the pauses of all engines, whose failures were those of this host's links.
func (s *engines) forgetFailures() {
	for _, e := range s.sorted {
		e.failures, e.refusals, e.pausedUntil = 0, 0, 0
	}
}
