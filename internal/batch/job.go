package batch

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// itemState is the progress of an item.
type itemState int

const (
	waiting itemState = iota
	running
	stopping // its run was told to stop
	scoring  // its text is whole, and its score is awaited
	finished // its result waits to be listed
	listing  // its result is in the chunk that is being stored
	listed   // its result is in a stored chunk
)

// item is one request of a job that this host owns.
type item struct {
	event.ItemHead
	index             int
	long              bool // expected to be among the longest of the job
	state             itemState
	givenUp           bool
	attempt           uint64        // of its last run, 0 before the first
	engineName        string        // of its last run
	heldEvents        int           // events of its text that the executor holds
	heldVersions      []uint64      // weight versions that made the held events, in order
	heldSoftware      string        // software version that made the held events
	failures          int           // answers with status 500
	scoreFailures     int           // answers with status 500 to the call that scores it
	permanentFailures int           // answers that the item can never succeed
	avoidEngine       string        // engine that is used only when no other fits
	pausedUntil       time.Duration // no run begins before
	// stateTime is when the item began to wait for its next run, in waiting, and when the result began to wait, in finished
	// and listing; in scoring it is when to call for the score again, 0 while a call is under way.
	stateTime time.Duration
	restart   bool // the next run drops the held events
}

// job is a batch job that this host owns.
type job struct {
	head         event.JobHead
	epoch        uint64
	items        []*item
	groups       []group
	chunks       int
	storingChunk bool          // only one chunk is stored at a time
	offeredChunk int           // number of the chunk that was last offered to the executor
	nextChunkAt  time.Duration // earliest time of the next chunk after one could not be stored
	lastChunkAt  time.Duration // when the last chunk was offered to the executor
	unlisted     int           // items that are not listed
	ended        bool
	unstored     bool // its items run although it may not be stored; nothing is listed until it is
	ownedSince   time.Duration
	// checkedAt is when this host last asked for the store's record of the job.
	checkedAt time.Duration
	// copyHost is the host that gets copies of the texts, "" for none.
	copyHost string
}

// group is the state of the items that share a prompt.
type group struct {
	items    []int
	unlisted int  // items that are not listed
	maxHint  int  // greatest expected output of an item, in tokens
	needed   bool // the trainer is expected to wait for it
}

func newJob(now time.Duration, head event.JobHead, epoch uint64) *job {
	j := &job{head: head, epoch: epoch, unlisted: len(head.Items), ownedSince: now}
	for i, h := range head.Items {
		j.items = append(j.items, &item{ItemHead: h, index: i})
		for len(j.groups) <= h.Group {
			j.groups = append(j.groups, group{})
		}
		g := &j.groups[h.Group]
		g.items = append(g.items, i)
		g.unlisted++
		g.maxHint = max(g.maxHint, h.Hint)
	}
	j.markNeeded()
	j.markLong()
	return j
}

// longDivisor sets how many items count as the longest of a job: one in longDivisor. Hints are rough; the fifth of the
// items with the greatest hints contains the twelfth that turn out to be the longest.
const longDivisor = 5

// markLong marks the items with the greatest hints as long.
func (j *job) markLong() {
	var hints []int
	for _, it := range j.items {
		if it.Hint > 0 {
			hints = append(hints, it.Hint)
		}
	}
	if len(hints) == 0 {
		return
	}
	slices.Sort(hints)
	minHint := hints[len(hints)-1-len(hints)/longDivisor]
	for _, it := range j.items {
		it.long = it.Hint >= minHint
	}
}

// markNeeded marks as many groups as the trainer waits for. The first half of them are the first groups of the job,
// which may be groups of an earlier job that the trainer insists on. The other half are those of the remaining groups
// whose longest item is expected to be the shortest.
func (j *job) markNeeded() {
	target := j.target()
	first := target / 2
	for i := range j.groups {
		j.groups[i].needed = i < first
	}
	for n := first; n < target; n++ {
		best := -1
		for i := range j.groups {
			if !j.groups[i].needed && (best < 0 || j.groups[i].maxHint < j.groups[best].maxHint) {
				best = i
			}
		}
		j.groups[best].needed = true
	}
}

// markListed records that the result of item i is stored.
func (j *job) markListed(i int) {
	if i < 0 || i >= len(j.items) || j.items[i].state == listed {
		return
	}
	j.items[i].state = listed
	j.unlisted--
	j.groups[j.items[i].Group].unlisted--
}

// findRun returns an item and its job, nil when this host does not own the job or the attempt is not the item's last
// one. Attempt 0 stands for any.
func (p *Component) findRun(id string, index int, attempt uint64) (*job, *item) {
	j := p.jobs[id]
	if j == nil || index < 0 || index >= len(j.items) {
		return nil, nil
	}
	it := j.items[index]
	if attempt != 0 && it.attempt != attempt {
		return nil, nil
	}
	return j, it
}
