package batch

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

const (
	// maxListDelay is the longest time that a result waits to be listed together with others, while the trainer still
	// waits for more groups. Meanwhile another host holds a copy of its text.
	maxListDelay = time.Second
	// dueMargin is the time before a job is due from which on whole groups no longer wait for maxListDelay.
	dueMargin = time.Second
	// listInterval is the time between two chunks of whole groups shortly before a job is due. A reader that got results
	// calls again about this long after its last call, and results that are listed meanwhile reach it no earlier.
	listInterval = 500 * time.Millisecond
	// chunkRetryPause is the pause after a chunk could not be stored.
	chunkRetryPause = 200 * time.Millisecond
	// listedEndBudget is the time for which the end of a job that is listed in full is offered to the store. No caller waits
	// for it.
	listedEndBudget = 2 * time.Minute
	// maxChunkItems is the maximum number of results that are offered for one chunk; the executor stores as many as fit
	// into an object.
	maxChunkItems = 64
)

// listResults stores the finished results of a job as its next chunk. Since each chunk is a call to the store, it does
// so only when listingDue says that waiting for more results has no use.
func (p *Component) listResults(now time.Duration, j *job, out *event.Batch) {
	if j.storingChunk || j.unstored || now < j.nextChunkAt || !p.listingDue(now, j) {
		return
	}
	chunk := event.StoreChunk{Job: j.head.ID, Number: j.chunks}
	for _, it := range j.items {
		if it.state != finished || len(chunk.Items) >= maxChunkItems {
			continue
		}
		it.state = listing
		chunk.Items = append(chunk.Items, it.index)
		chunk.Down = append(chunk.Down, it.givenUp)
	}
	j.storingChunk, j.offeredChunk, j.lastChunkAt = true, j.chunks, now
	out.Emit(chunk)
}

// listingDue reports whether results should be listed now: they complete the groups that the trainer waits for, complete
// a group shortly before the job is due, or have waited for maxListDelay; or the job has ended or the host is stopping.
// The result that lets the trainer go on is best listed while its reader waits; a reader that has just got other results
// is away for listInterval. So nothing is listed early that doesn't let the trainer go on.
func (p *Component) listingDue(now time.Duration, j *job) bool {
	finishedIn := make([]int, len(j.groups))
	anyFinished, overdue := false, false
	for _, it := range j.items {
		if it.state == finished {
			anyFinished = true
			finishedIn[it.Group]++
			overdue = overdue || now-it.stateTime >= maxListDelay
		}
	}
	if !anyFinished {
		return false
	}
	wholeGroups, completesGroup := 0, false
	for i, g := range j.groups {
		if finishedIn[i] == g.unlisted {
			wholeGroups++
			completesGroup = completesGroup || g.unlisted > 0
		}
	}
	enough := wholeGroups >= j.target()
	dueSoon := now >= j.head.Due-dueMargin && now < j.head.Due && now-j.lastChunkAt >= listInterval
	return completesGroup && (enough || dueSoon) || overdue || p.stopping || j.ended
}

// target returns the number of groups that the trainer waits for.
func (j *job) target() int {
	if j.head.Target <= 0 {
		return len(j.groups)
	}
	return min(j.head.Target, len(j.groups))
}

// handleChunkStored takes the outcome of storing a chunk. On a conflict, the chunk that another owner wrote says which
// items are already listed.
func (p *Component) handleChunkStored(now time.Duration, e event.ChunkStored, out *event.Batch) {
	j := p.jobs[e.Job]
	if j == nil {
		return
	}
	if e.Number != j.chunks {
		p.releaseKnownChunk(now, j, e, out)
		return
	}
	j.storingChunk = false
	stored := e.Kind == "" || e.Kind == kinds.Conflict
	out.Emit(event.Count{Name: "Chunks", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	if stored {
		j.chunks++
		for _, i := range e.Items {
			p.observeListTime(now, j, i, out)
			p.stopListedRun(j, i, out)
			j.markListed(i)
		}
		out.Emit(event.Log{Level: "info", Event: "Listed", Fields: []event.Field{
			{Key: "Job", Value: j.head.ID},
			{Key: "Chunk", Value: strconv.Itoa(e.Number)},
			{Key: "Items", Value: strconv.Itoa(len(e.Items))},
			{Key: "Left", Value: strconv.Itoa(j.unlisted)},
			{Key: "Kind", Value: string(e.Kind)},
		}})
	} else {
		j.nextChunkAt = now + chunkRetryPause
	}
	j.takeBackListing()
	if k := p.ensureKnown(e.Job); j.unlisted == 0 && !k.Ended {
		k.Ended = true // nothing is left to run
		p.announce(k.JobSeen, out)
		// Hosts that start without news of the job would take it over and read all its results.
		out.Emit(event.EndJob{Job: e.Job, Budget: listedEndBudget, Listed: true})
	}
	p.listResults(now, j, out)
}

// releaseKnownChunk ends the storing of a chunk that a takeover has read from the store meanwhile, with the items that it lists.
func (p *Component) releaseKnownChunk(now time.Duration, j *job, e event.ChunkStored, out *event.Batch) {
	if !j.storingChunk || e.Number != j.offeredChunk {
		return
	}
	j.storingChunk = false
	j.takeBackListing()
	p.listResults(now, j, out)
}

// takeBackListing has the results that were offered for a chunk and are not listed wait for the next one.
func (j *job) takeBackListing() {
	for _, it := range j.items {
		if it.state == listing {
			it.state = finished
		}
	}
}

// observeListTime records how long a result waited to be listed.
func (p *Component) observeListTime(now time.Duration, j *job, i int, out *event.Batch) {
	if i >= 0 && i < len(j.items) && j.items[i].state == listing {
		out.Emit(event.Observe{Name: "ListTime", Took: now - j.items[i].stateTime})
	}
}

// stopListedRun stops the run of an item that another owner has listed.
func (p *Component) stopListedRun(j *job, i int, out *event.Batch) {
	if i >= 0 && i < len(j.items) && j.items[i].state == running {
		p.stopItem(j, j.items[i], out)
	}
}
