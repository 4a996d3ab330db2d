package batch

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// state is how far an item is.
type state int

const (
	waiting state = iota
	running
	stopping // the run was told to end
	scoring
	finished // its result waits for a chunk
	listing  // its result is in the chunk under way
	listed
)

// item is one request of a job that this host runs.
type item struct {
	event.ItemHead
	index    int
	long     bool // expected to be one of the longest of the job
	state    state
	down     bool
	attempt  uint64
	engine   string
	events   int // held
	versions []uint64
	failures int // answers of 500
	scores   int // answers of 500 to the call that scores it
	nevers   int // answers that the item can never be done
	notAt    string
	after    time.Duration // not sent again before
	since    time.Duration // when its result began to wait
	restart  bool          // the held events are of no use
}

// job is a batch job that this host runs.
type job struct {
	head   event.JobHead
	epoch  uint64
	items  []*item
	groups []group
	chunks int
	busy   bool // a chunk is under way
	retry  time.Duration
	left   int // items that are not listed
	ended  bool
	unkept bool // its items run, though the store may not have it: nothing is listed yet
	since  time.Duration
	// checkedAt is when the store's record was last read.
	checkedAt time.Duration
	// copiesTo is the host that gets copies of the texts, "" for none.
	copiesTo string
}

// group is what is known of the items that share a prompt.
type group struct {
	items  []int
	left   int // items that are not listed
	hint   int // greatest expected output
	needed bool
}

func newJob(now time.Duration, head event.JobHead, epoch uint64) *job {
	j := &job{head: head, epoch: epoch, left: len(head.Items), since: now}
	for i, h := range head.Items {
		j.items = append(j.items, &item{ItemHead: h, index: i})
		for len(j.groups) <= h.Group {
			j.groups = append(j.groups, group{})
		}
		g := &j.groups[h.Group]
		g.items = append(g.items, i)
		g.left++
		g.hint = max(g.hint, h.Hint)
	}
	j.need()
	j.markLong()
	return j
}

// longShare is the part of a job's items that count as its longest: hints are rough, and the truly longest twelfth lies
// within the fifth with the greatest hints.
const longShare = 5

// markLong marks the items with the greatest hints.
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
	least := hints[len(hints)-1-len(hints)/longShare]
	for _, it := range j.items {
		it.long = it.Hint >= least
	}
}

// need marks the groups that the trainer waits for: those that come first, which may be groups of an earlier job that
// it insists on, and of the others those whose longest item is expected to be the shortest.
func (j *job) need() {
	target := j.target()
	first := target / 2
	for i := range j.groups {
		j.groups[i].needed = i < first
	}
	for n := first; n < target; n++ {
		best := -1
		for i := range j.groups {
			if !j.groups[i].needed && (best < 0 || j.groups[i].hint < j.groups[best].hint) {
				best = i
			}
		}
		j.groups[best].needed = true
	}
}

// setListed notes that an item's result is stored.
func (j *job) setListed(i int) {
	if i < 0 || i >= len(j.items) || j.items[i].state == listed {
		return
	}
	j.items[i].state = listed
	j.left--
	j.groups[j.items[i].Group].left--
}

// find returns the item of a run, nil when that run is not the present one.
func (p *Part) find(id string, index int, attempt uint64) (*job, *item) {
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
