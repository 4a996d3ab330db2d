package batch

import (
	"cmp"
	"container/heap"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// jobItem is an item with its job.
type jobItem struct {
	job  *job
	item *item
}

// dispatch starts the waiting items for which an engine has a free slot, in the order that Order gives. It ends as soon as
// no engine can take any of those that are left, since most calls find one free slot for thousands of items.
func (p *Component) dispatch(now time.Duration, out *event.Batch) {
	if p.site == nil || p.stopping || p.Links.CutOff(now) {
		return
	}
	queue := p.waitingItems(now, out)
	for len(queue.left) > 0 {
		w := heap.Pop(queue).(waitingItem)
		if queue.left[w.need] == 0 {
			continue
		}
		e := p.engines.pick(now, p.requirementsOf(w.jobItem, *w.route))
		if e == nil {
			delete(queue.left, w.need) // all engines look alike to the other items with this need
			continue
		}
		p.startRun(w.jobItem, *w.route, e, out)
		if queue.left[w.need]--; queue.left[w.need] == 0 {
			delete(queue.left, w.need)
		}
	}
}

// waitingItem is an item that may start now.
type waitingItem struct {
	jobItem
	route     *config.Route
	need      need
	candidate Candidate
	position  int // decides between items that the Order holds equal
}

// waitingQueue is a heap of waiting items, the next one first.
type waitingQueue struct {
	order Order
	items []waitingItem
	left  map[need]int // number of items by need, without needs that no engine meets now
}

// Len returns the number of items.
func (q *waitingQueue) Len() int { return len(q.items) }

// Less reports whether item i is dispatched before item j.
func (q *waitingQueue) Less(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	if c := q.order.Compare(a.candidate, b.candidate); c != 0 {
		return c < 0
	}
	return a.position < b.position
}

// Swap exchanges two items.
func (q *waitingQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push adds an item at the end.
func (q *waitingQueue) Push(x any) { q.items = append(q.items, x.(waitingItem)) }

// Pop removes the last item.
func (q *waitingQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

// waitingItems returns the items that may start now.
func (p *Component) waitingItems(now time.Duration, out *event.Batch) *waitingQueue {
	q := &waitingQueue{order: p.Order, left: map[need]int{}}
	for _, j := range p.sortedJobs() {
		r, ok := p.site.Routes[j.head.Route]
		if !ok || !j.mayBeginRuns(now) {
			continue
		}
		for _, it := range j.items {
			if it.state != waiting || now < it.pausedUntil {
				continue
			}
			p.giveUpHeldEvents(now, j, it, r, out)
			w := waitingItem{jobItem: jobItem{j, it}, route: &r, need: j.needOf(it, r), position: len(q.items), candidate: Candidate{
				Needed: j.groups[it.Group].needed, Priority: r.Priority, DueAt: int64(j.head.Due), Hint: it.Hint,
				HasEvents: it.heldEvents > 0, Group: it.Group, Index: it.index,
			}}
			q.items = append(q.items, w)
			q.left[w.need]++
		}
	}
	heap.Init(q)
	return q
}

// AddWants implements limit.Backlog: it adds the items that wait.
func (p *Component) AddWants(now time.Duration, wants map[wire.LeaveMark]float64) {
	if p.site == nil {
		return
	}
	waitingItems := map[need]int{}
	var needs []need // in a fixed order, since sums of fractions depend on it
	for _, j := range p.sortedJobs() {
		r, ok := p.site.Routes[j.head.Route]
		if !ok || !j.mayBeginRuns(now) {
			continue
		}
		for _, it := range j.items {
			if it.state != waiting || now < it.pausedUntil {
				continue
			}
			n := j.needOf(it, r)
			if waitingItems[n] == 0 {
				needs = append(needs, n)
			}
			waitingItems[n]++
		}
	}
	for _, n := range needs {
		var fitting []*engine
		for _, e := range p.engines.byService[n.service] {
			if e.canServe(now, n) {
				fitting = append(fitting, e)
			}
		}
		for _, e := range fitting {
			id := leaveMark(&e.Endpoint)
			if _, ok := wants[id]; ok {
				wants[id] += float64(waitingItems[n]) / float64(len(fitting))
			}
		}
	}
}

// needOf returns what an item needs. Its held events go on only at the software version that made them and, in a job that
// takes only one weight version, at that weight version.
func (j *job) needOf(it *item, r config.Route) need {
	n := need{service: serviceOf(r, it), model: j.head.Model, minVersion: j.head.MinVersion}
	if it.heldEvents == 0 {
		return n
	}
	n.goesOn, n.software = true, it.heldSoftware
	if j.head.Single && len(it.heldVersions) > 0 {
		n.exactVersion = it.heldVersions[len(it.heldVersions)-1]
	}
	return n
}

// defaultGap is the time between two events of an item while no engine's is measured.
const defaultGap = 50 * time.Millisecond

// giveUpHeldEvents has an item begin anew when no engine can go on with its held events, or when it has waited for one as
// long as it takes to make them again and another engine is free.
func (p *Component) giveUpHeldEvents(now time.Duration, j *job, it *item, r config.Route, out *event.Batch) {
	if it.heldEvents == 0 || !p.shouldBeginAnew(now, j, it, r) {
		return
	}
	p.logItem(j, it, "ItemBegunAnew", out, event.Field{Key: "Software", Value: it.heldSoftware},
		event.Field{Key: "Events", Value: strconv.Itoa(it.heldEvents)}, event.Field{Key: "WaitedMS", Value: strconv.FormatInt((now - it.stateTime).Milliseconds(), 10)})
	out.Emit(event.Count{Name: "ItemsBegunAnew", N: 1})
	it.beginAnew()
}

func (p *Component) shouldBeginAnew(now time.Duration, j *job, it *item, r config.Route) bool {
	goingOn := p.requirementsOf(jobItem{j, it}, r)
	anew := goingOn
	anew.goesOn, anew.exactVersion = false, 0
	if !p.engines.serves(goingOn.need) {
		return p.engines.serves(anew.need)
	}
	timeToRepeat := time.Duration(it.heldEvents) * cmp.Or(p.engines.fastMeanGap(goingOn.service), defaultGap)
	return now-it.stateTime >= timeToRepeat && p.engines.pick(now, goingOn) == nil && p.engines.pick(now, anew) != nil
}

// requirementsOf returns what an item needs of its engine and prefers.
func (p *Component) requirementsOf(ji jobItem, r config.Route) requirements {
	it := ji.item
	return requirements{need: ji.job.needOf(it, r), avoid: it.avoidEngine, long: it.long, zone: p.Self.Zone}
}

// serviceOf returns the service for an item of a route. The items of a route that is split between services are spread
// over them by their index.
func serviceOf(r config.Route, it *item) string {
	const stride, parts = 37, 100 // puts items with adjacent indices far apart
	return route.ServiceOf(r, float64(it.index*stride%parts)/parts)
}

// startRun starts an item on an engine, as a new attempt that continues from the held events.
func (p *Component) startRun(ji jobItem, r config.Route, e *engine, out *event.Batch) {
	p.lastAttempt++
	it := ji.item
	it.attempt, it.state, it.engineName = p.lastAttempt, running, e.Name
	e.ownRunning++
	p.runEngines[it.attempt] = leaveMark(&e.Endpoint)
	p.Limits.Take(p.now, leaveMark(&e.Endpoint), limit.Items, 1)
	charged := e.Software != "" && p.Limits.Allowance(p.now, leaveMark(&e.Endpoint), limit.Items).Limited
	if charged {
		p.Limits.Take(p.now, leaveMark(&e.Endpoint), limit.Polls, 1)
	}
	started := event.RunItem{
		Job: ji.job.head.ID, Item: it.index, Attempt: it.attempt,
		Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
		Software: e.Software, Identify: e.Software != "", Charged: charged, Priority: r.Priority, Restart: it.restart, Silence: silenceTimeout, Deadline: ji.job.head.GiveUp,
	}
	if ji.job.head.Single && it.heldEvents > 0 && !it.restart && len(it.heldVersions) > 0 {
		started.Version = it.heldVersions[len(it.heldVersions)-1]
	}
	it.restart = false
	out.Emit(started)
	p.logItem(ji.job, it, "ItemSent", out, event.Field{Key: "Endpoint", Value: e.Name},
		event.Field{Key: "Software", Value: e.Software},
		event.Field{Key: "Version", Value: strconv.FormatUint(e.VersionOf(ji.job.head.Model), 10)},
		event.Field{Key: "From", Value: strconv.Itoa(it.heldEvents)},
		event.Field{Key: "Group", Value: strconv.Itoa(it.Group)},
		event.Field{Key: "Others", Value: strconv.Itoa(e.ownRunning + e.remoteRunning - 1)})
}
