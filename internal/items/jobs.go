// Package items carries out the reducer's decisions about batch jobs: it stores jobs and results, runs items at engines
// and holds the texts that the engines generate.
//
// An item is listed once its result is in the job's list of results. The list is stored in chunks, which only the job's
// owner appends; the position of a result in the list never changes.
package items

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// maxChunkBytes is the maximum size of the texts in one stored object. Encoded they grow by a third, and an object may
// have 1 MB.
const maxChunkBytes = 600 << 10

// jobTable holds the jobs that this host runs or has copies of, and who owns which job. It may be used concurrently.
type jobTable struct {
	mu     sync.Mutex
	jobs   map[string]*jobState
	owners map[string]event.JobSeen // by job, also of jobs that are not in jobs
	held   int64                    // bytes of jobs, without texts
	memory *budget.Budget           // for texts, nil for no bound
}

// jobState is one job with the texts of its unlisted items and the listed results that are known here.
type jobState struct {
	job         wire.Job
	texts       []*itemText // by item
	listed      []wire.JobResult
	chunks      int           // number of chunks in listed
	chunkStarts []int         // positions in listed at which the chunks begin
	changed     chan struct{} // closed when listed grows
	owned       bool          // this host runs the job
	stored      bool          // the store is known to hold the job
	bytes       int64         // held by the job, without texts
	// completeAt is a time at which the store had no chunk beyond the known ones, zero for none.
	completeAt time.Time
}

func (jt *jobTable) prepare() {
	jt.jobs = map[string]*jobState{}
	jt.owners = map[string]event.JobSeen{}
}

// add adds a job unless the table has it, and returns its state.
func (jt *jobTable) add(job wire.Job) *jobState {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	return jt.addLocked(job)
}

// addStored adds a job that the store holds, and returns its state. It replaces another job of that id, which was submitted
// but not stored.
func (jt *jobTable) addStored(job wire.Job) *jobState {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if known := jt.jobs[job.ID]; known != nil && !isSameJob(&known.job, &job) {
		jt.remove(known)
	}
	j := jt.addLocked(job)
	j.stored = true
	return j
}

// addSubmitted adds a job that a caller has submitted here and that the store may not hold, and records whether this host runs it.
// It replaces a copy of another job of that id, but not one that this host runs.
func (jt *jobTable) addSubmitted(job wire.Job, owned bool) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if known := jt.jobs[job.ID]; known != nil && !isSameJob(&known.job, &job) {
		if known.owned {
			return
		}
		jt.remove(known)
	}
	j := jt.addLocked(job)
	j.owned = j.owned || owned
}

// isSameJob reports whether two submissions are for the same items of the same organisation.
func isSameJob(a, b *wire.Job) bool {
	return a.Organisation == b.Organisation && slices.EqualFunc(a.Items, b.Items, func(x, y wire.JobItem) bool { return x.ID == y.ID })
}

func (jt *jobTable) addLocked(job wire.Job) *jobState {
	if known := jt.jobs[job.ID]; known != nil {
		return known
	}
	j := &jobState{job: job, changed: make(chan struct{})}
	for range job.Items {
		j.texts = append(j.texts, &itemText{memory: jt.memory})
	}
	jt.jobs[job.ID] = j
	j.bytes = jobBytes(&j.job)
	jt.held += j.bytes
	return j
}

func (jt *jobTable) get(id string) *jobState {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	return jt.jobs[id]
}

// withItem returns a job that has an item, nil for none: the job that the item was of may have been replaced by another one of
// that id.
func (jt *jobTable) withItem(id string, item int) *jobState {
	j := jt.get(id)
	if j == nil || item >= len(j.texts) {
		return nil
	}
	return j
}

func (jt *jobTable) drop(id string) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if j := jt.jobs[id]; j != nil {
		jt.remove(j)
	}
}

// remove removes a job from the table, whose mutex is held.
func (jt *jobTable) remove(j *jobState) {
	jt.held -= j.bytes
	for _, t := range j.texts {
		t.reset()
	}
	delete(jt.jobs, j.job.ID)
}

// markStored records that the store holds an organisation's job.
func (jt *jobTable) markStored(id, organisation string) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if j := jt.jobs[id]; j != nil && j.job.Organisation == organisation {
		j.stored = true
	}
}

// storedJob returns a job that the store is known to hold.
func (jt *jobTable) storedJob(id string) (wire.Job, bool) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if j := jt.jobs[id]; j != nil && j.stored {
		return j.job, true
	}
	return wire.Job{}, false
}

// ownedJob returns a job that this host runs.
func (jt *jobTable) ownedJob(id string) (wire.Job, bool) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if j := jt.jobs[id]; j != nil && j.owned {
		return j.job, true
	}
	return wire.Job{}, false
}

// setOwned records whether this host runs a job.
func (jt *jobTable) setOwned(id string, owned bool) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if j := jt.jobs[id]; j != nil {
		j.owned = owned
	}
}

// owns reports whether this host runs a job.
func (jt *jobTable) owns(id string) bool {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	j := jt.jobs[id]
	return j != nil && j.owned
}

// chunkCount returns the number of known chunks of a job.
func (jt *jobTable) chunkCount(id string) int {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if j := jt.jobs[id]; j != nil {
		return j.chunks
	}
	return 0
}

// progress returns the items whose results are listed, in order, and the number of known chunks of a job.
func (jt *jobTable) progress(id string) (listed []int, chunks int) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	j := jt.jobs[id]
	if j == nil {
		return nil, 0
	}
	for _, r := range j.listed {
		listed = append(listed, r.Item)
	}
	return listed, j.chunks
}

// markComplete records that the store, asked at a time, had no chunk of that number, which is the next one.
func (jt *jobTable) markComplete(id string, number int, at time.Time) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	if j := jt.jobs[id]; j != nil && j.chunks == number {
		j.noteComplete(at)
	}
}

// noteComplete records a time at which the store had no chunk beyond the known ones. A zero time says nothing. What was known
// before still holds: a chunk is stored only once all before it are.
func (j *jobState) noteComplete(at time.Time) {
	if at.After(j.completeAt) {
		j.completeAt = at
	}
}

func (jt *jobTable) setOwner(s event.JobSeen) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	jt.owners[s.Job] = s
}

func (jt *jobTable) owner(id string) event.JobSeen {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	return jt.owners[id]
}

// appendChunk appends a stored chunk's results and wakes the waiting readers. A chunk other than the next one is
// dropped. CompleteAt is a time at which the store had no later chunk, zero for none.
func (jt *jobTable) appendChunk(id string, number int, results []wire.JobResult, completeAt time.Time) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	j := jt.jobs[id]
	if j == nil || j.chunks != number {
		return
	}
	j.chunks++
	j.chunkStarts = append(j.chunkStarts, len(j.listed))
	j.listed = append(j.listed, results...)
	j.noteComplete(completeAt)
	close(j.changed)
	j.changed = make(chan struct{})
}

// page returns the results from a position on, at most maxBytes of text but at least one result. It waits up to wait
// for a first result. It returns false when this host does not run the job.
func (jt *jobTable) page(ctx context.Context, id string, after int, wait time.Duration, maxBytes int) (wire.JobPage, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, ok := jt.snapshotPage(id, after, maxBytes)
		if !ok || len(page.Results) > 0 || after >= page.Total {
			return page, ok
		}
		select {
		case <-changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		page, _, ok = jt.snapshotPage(id, after, maxBytes)
		return page, ok
	}
}

func (jt *jobTable) snapshotPage(id string, after, maxBytes int) (wire.JobPage, chan struct{}, bool) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	j := jt.jobs[id]
	if j == nil || !j.owned {
		return wire.JobPage{}, nil, false
	}
	page := j.page(after, maxBytes)
	if page.Unfinished() && !j.completeAt.IsZero() {
		page.AgeMS = ageMS(j.completeAt)
	}
	return page, j.changed, true
}

// page returns the listed results from a position on, at most maxBytes of text but at least one result.
func (j *jobState) page(after, maxBytes int) wire.JobPage {
	page := wire.JobPage{Organisation: j.job.Organisation, Total: len(j.job.Items), Next: max(after, 0)}
	size := 0
	for _, r := range j.listed[min(page.Next, len(j.listed)):] {
		size += len(r.Text)
		if size > maxBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, r)
		page.Items = append(page.Items, j.job.Items[r.Item].ID)
		page.Next++
	}
	return page
}

// body returns the request body of an item that is not listed; false when it is listed or not an item of the job.
func (jt *jobTable) body(id, itemID string) (body []byte, found bool) {
	jt.mu.Lock()
	defer jt.mu.Unlock()
	j := jt.jobs[id]
	if j == nil {
		return nil, false
	}
	i := slices.IndexFunc(j.job.Items, func(item wire.JobItem) bool { return item.ID == itemID })
	if i < 0 || slices.ContainsFunc(j.listed, func(r wire.JobResult) bool { return r.Item == i }) {
		return nil, false
	}
	return j.job.Items[i].Body, true
}

// chunkResults returns as many of the chunk's results as fit into a stored object, at least one.
func (j *jobState) chunkResults(e event.StoreChunk) []wire.JobResult {
	var results []wire.JobResult
	size := 0
	for n, i := range e.Items {
		r := j.result(i, e.Down[n])
		size += len(r.Text)
		if size > maxChunkBytes && len(results) > 0 {
			break
		}
		results = append(results, r)
	}
	return results
}

// isListed reports whether an item's result is listed.
func (j *jobState) isListed(i int) bool {
	return slices.ContainsFunc(j.listed, func(r wire.JobResult) bool { return r.Item == i })
}

// result returns an item's result as it is stored in a chunk. The result of an item that was given up (down) has no
// score.
func (j *jobState) result(i int, down bool) wire.JobResult {
	t := j.texts[i]
	t.mu.Lock()
	defer t.mu.Unlock()
	r := wire.JobResult{Item: i, Down: down, Text: string(t.text.data), Versions: slices.Clone(t.versions), Score: t.score}
	if down {
		r.Score = ""
	}
	return r
}
