// Package items carries out the decisions about batch jobs: it stores jobs and results, runs items at engines and
// keeps their texts.
package items

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// sureFor is the time for which an owner need not ask the store whether another host has listed more: it was frozen, or
// cut off, for less.
const sureFor = time.Second

// chunkBytes bounds the texts of one chunk. Encoded they grow by a third, and an object may have 1 MB.
const chunkBytes = 600 << 10

// keeper holds the jobs that this host runs or has read. It may be used concurrently.
type keeper struct {
	mu     sync.Mutex
	jobs   map[string]*kept
	owners map[string]event.JobSeen
}

// kept is one job with the texts of its items.
type kept struct {
	job     wire.Job
	texts   []*text
	listed  []wire.JobResult
	chunks  int           // in listed
	starts  []int         // positions at which the chunks begin
	changed chan struct{} // closed when listed grows
	owned   bool          // this host runs the job, so that listed is whole as of sureAt
	sureAt  time.Time     // when the store last showed that no other host lists results
}

// text is what an item's runs have given so far.
type text struct {
	mu       sync.Mutex
	data     []byte
	events   int
	last     string    // id of the last event
	began    time.Time // when the first event came here
	versions []uint64
	score    string
}

func (k *keeper) prepare() {
	k.jobs = map[string]*kept{}
	k.owners = map[string]event.JobSeen{}
}

// add keeps a job that is not yet known and returns it.
func (k *keeper) add(job wire.Job) *kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.jobs[job.ID]; known != nil {
		return known
	}
	j := &kept{job: job, changed: make(chan struct{})}
	for range job.Items {
		j.texts = append(j.texts, &text{})
	}
	k.jobs[job.ID] = j
	return j
}

func (k *keeper) get(id string) *kept {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.jobs[id]
}

func (k *keeper) drop(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.jobs, id)
}

// setOwned notes whether this host runs a job.
func (k *keeper) setOwned(id string, owned bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j := k.jobs[id]; j != nil {
		j.owned = owned
	}
}

// owns reports whether this host runs a job.
func (k *keeper) owns(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	return j != nil && j.owned
}

// sure reports whether the store has shown lately that an owned job's list is whole.
func (k *keeper) sure(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	return j != nil && (time.Since(j.sureAt) < sureFor || len(j.listed) == len(j.job.Items))
}

// count returns the number of known chunks of a job.
func (k *keeper) count(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j := k.jobs[id]; j != nil {
		return j.chunks
	}
	return 0
}

// setSure notes that the store holds no chunk beyond the known ones.
func (k *keeper) setSure(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j := k.jobs[id]; j != nil {
		j.sureAt = time.Now()
	}
}

func (k *keeper) know(s event.JobSeen) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.owners[s.Job] = s
}

func (k *keeper) owner(id string) event.JobSeen {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owners[id]
}

// extend appends a stored chunk's results and wakes the readers.
func (k *keeper) extend(id string, number int, results []wire.JobResult) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil || j.chunks != number {
		return
	}
	j.chunks++
	j.starts = append(j.starts, len(j.listed))
	j.listed = append(j.listed, results...)
	j.sureAt = time.Now()
	close(j.changed)
	j.changed = make(chan struct{})
}

// page returns the results from a position on, at least one of them and of most bytes in all. It waits up to wait for
// a first one; false when this host does not run the job.
func (k *keeper) page(ctx context.Context, id string, after int, wait time.Duration, most int) (wire.JobPage, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, ok := k.now(id, after, most)
		if !ok || len(page.Results) > 0 || after >= page.Total {
			return page, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, true
		case <-ctx.Done():
			return page, true
		}
	}
}

func (k *keeper) now(id string, after, most int) (wire.JobPage, chan struct{}, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil || !j.owned {
		return wire.JobPage{}, nil, false
	}
	return j.page(after, most), j.changed, true
}

// page returns the listed results from a position on.
func (j *kept) page(after, most int) wire.JobPage {
	page := wire.JobPage{Organisation: j.job.Organisation, Total: len(j.job.Items), Next: max(after, 0)}
	size := 0
	for _, r := range j.listed[min(page.Next, len(j.listed)):] {
		size += len(r.Text)
		if size > most && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, r)
		page.Items = append(page.Items, j.job.Items[r.Item].ID)
		page.Next++
	}
	return page
}

// body returns the body of an item that is not listed; false when it is listed or not an item of the job.
func (k *keeper) body(id, itemID string) (body []byte, found bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil {
		return nil, false
	}
	i := slices.IndexFunc(j.job.Items, func(it wire.JobItem) bool { return it.ID == itemID })
	if i < 0 || slices.ContainsFunc(j.listed, func(r wire.JobResult) bool { return r.Item == i }) {
		return nil, false
	}
	return j.job.Items[i].Body, true
}

// results returns as many of a chunk's results as fit into an object, at least one.
func (j *kept) results(e event.StoreChunk) []wire.JobResult {
	var all []wire.JobResult
	size := 0
	for n, i := range e.Items {
		r := j.result(i, e.Down[n])
		size += len(r.Text)
		if size > chunkBytes && len(all) > 0 {
			break
		}
		all = append(all, r)
	}
	return all
}

// isListed reports whether an item's result is listed.
func (j *kept) isListed(i int) bool {
	return slices.ContainsFunc(j.listed, func(r wire.JobResult) bool { return r.Item == i })
}

// result returns an item's result as it is to be listed.
func (j *kept) result(i int, down bool) wire.JobResult {
	t := j.texts[i]
	t.mu.Lock()
	defer t.mu.Unlock()
	r := wire.JobResult{Item: i, Down: down, Text: string(t.data), Versions: slices.Clone(t.versions), Score: t.score}
	if down {
		r.Score = ""
	}
	return r
}

func (t *text) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.data, t.events, t.last, t.versions, t.score = nil, 0, "", nil, ""
}

// add appends one event.
func (t *text) add(id string, data []byte, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.events > 0 {
		t.data = append(t.data, '\n')
	} else {
		t.began = time.Now()
	}
	t.data = append(t.data, data...)
	t.events++
	t.last = id
	if version != 0 && !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
	}
}

func (t *text) state() (events int, last string, versions []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.events, t.last, slices.Clone(t.versions)
}
