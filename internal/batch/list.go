package batch

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

const (
	// listWithin is the longest time that a result waits for others to be listed with while the trainer waits for more
	// groups all the same. A copy of its text is at another host meanwhile.
	listWithin = time.Second
	// listDue is the time before a job is due from which on a whole group is listed at once.
	listDue = 2 * listWithin
	// listAgain is the pause after a chunk could not be stored.
	listAgain = 200 * time.Millisecond
	// chunkItems bounds the results that are offered for one chunk; the executor takes as many as fit into an object.
	chunkItems = 64
)

// list stores the results that wait: at once when the trainer has all the groups that it waits for, else after a while,
// since each chunk is a call to the store.
func (p *Part) list(now time.Duration, j *job, out *event.Batch) {
	if j.busy || j.unkept || now < j.retry || !p.due(now, j) {
		return
	}
	chunk := event.StoreChunk{Job: j.head.ID, Number: j.chunks}
	for _, it := range j.items {
		if it.state != finished || len(chunk.Items) >= chunkItems {
			continue
		}
		it.state = listing
		chunk.Items = append(chunk.Items, it.index)
		chunk.Down = append(chunk.Down, it.down)
	}
	j.busy = true
	out.Emit(chunk)
}

// due reports whether results wait that should be listed now.
func (p *Part) due(now time.Duration, j *job) bool {
	finishedIn := make([]int, len(j.groups))
	some, old := false, false
	for _, it := range j.items {
		if it.state == finished {
			some = true
			finishedIn[it.Group]++
			old = old || now-it.since >= listWithin
		}
	}
	if !some {
		return false
	}
	whole, closing := 0, false
	for i, g := range j.groups {
		if finishedIn[i] == g.left {
			whole++
			closing = closing || g.left > 0
		}
	}
	enough := whole >= j.target() || now >= j.head.Due-listDue
	return closing && enough || old || p.stopping || j.ended
}

// target returns the number of groups that the trainer waits for.
func (j *job) target() int {
	if j.head.Target <= 0 {
		return len(j.groups)
	}
	return min(j.head.Target, len(j.groups))
}

// chunkStored takes the end of a chunk. One that another owner wrote tells what is listed already.
func (p *Part) chunkStored(now time.Duration, e event.ChunkStored, out *event.Batch) {
	j := p.jobs[e.Job]
	if j == nil || e.Number != j.chunks {
		return
	}
	j.busy = false
	stored := e.Kind == "" || e.Kind == kinds.Conflict
	out.Emit(event.Count{Name: "Chunks", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	if stored {
		j.chunks++
		for _, i := range e.Items {
			p.observeListing(now, j, i, out)
			p.endRun(j, i, out)
			j.setListed(i)
		}
		out.Emit(event.Log{Level: "info", Event: "Listed", Fields: []event.Field{
			{Key: "Job", Value: j.head.ID},
			{Key: "Chunk", Value: strconv.Itoa(e.Number)},
			{Key: "Items", Value: strconv.Itoa(len(e.Items))},
			{Key: "Left", Value: strconv.Itoa(j.left)},
			{Key: "Kind", Value: string(e.Kind)},
		}})
	} else {
		j.retry = now + listAgain
	}
	for _, it := range j.items {
		if it.state == listing {
			it.state = finished
		}
	}
	if k := p.see(e.Job); j.left == 0 && !k.Ended {
		k.Ended = true // nothing is left to run
		p.tell(k.JobSeen, out)
	}
	p.list(now, j, out)
}

// observeListing tells how long a result waited to be listed.
func (p *Part) observeListing(now time.Duration, j *job, i int, out *event.Batch) {
	if i >= 0 && i < len(j.items) && j.items[i].state == listing {
		out.Emit(event.Observe{Name: "ListTime", Took: now - j.items[i].since})
	}
}

// endRun stops the run of an item that another owner has listed.
func (p *Part) endRun(j *job, i int, out *event.Batch) {
	if i >= 0 && i < len(j.items) && j.items[i].state == running {
		p.stopItem(j, j.items[i], out)
	}
}
