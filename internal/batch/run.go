package batch

import (
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/route"
)

const (
	// silence is the time without an event after which a run goes on elsewhere; an engine reads a prompt in
	// milliseconds and gives an event each few tens of milliseconds.
	silence = 1500 * time.Millisecond
	// scoreTime bounds one call that scores a text, its retries among them.
	scoreTime = 3 * time.Second
	// scoreAgain is the pause before such a call is made again.
	scoreAgain = 100 * time.Millisecond
	// mostNevers is the number of answers that an item can never be done after which it is given up.
	mostNevers = 1
	// defaultFailures is the number of failed runs after which an item is given up, on a route that sets none.
	defaultFailures = 3
)

// place is an item with its job.
type place struct {
	job  *job
	item *item
	as   Candidate
}

// dispatch starts waiting items while engines have free places.
func (p *Part) dispatch(now time.Duration, out *event.Batch) {
	if p.site == nil || p.stopping {
		return
	}
	for _, w := range p.waiting(now) {
		r, ok := p.site.Routes[w.job.head.Route]
		if !ok {
			continue
		}
		e := p.engines.pick(now, p.wantOf(w, r))
		if e == nil {
			continue
		}
		p.run(w, r, e, out)
	}
}

// waiting returns the items to start in order.
func (p *Part) waiting(now time.Duration) []place {
	var all []place
	for _, j := range p.sorted() {
		if j.ended {
			continue
		}
		rank := p.site.Routes[j.head.Route].Priority
		for _, it := range j.items {
			if it.state != waiting || now < it.after {
				continue
			}
			all = append(all, place{job: j, item: it, as: Candidate{
				Needed: j.groups[it.Group].needed, Urgent: rank, Submitted: int64(j.head.Due), Hint: it.Hint,
				Begun: it.events > 0, Group: it.Group, Index: it.index,
			}})
		}
	}
	slices.SortStableFunc(all, func(a, b place) int { return p.Order.Compare(a.as, b.as) })
	return all
}

func (p *Part) wantOf(w place, r config.Route) want {
	it := w.item
	asked := want{
		service: serviceOf(r, it),
		model:   w.job.head.Model,
		least:   w.job.head.MinVersion,
		notAt:   it.notAt,
		long:    it.long,
		zone:    p.Self.Zone,
	}
	if w.job.head.Single && it.events > 0 && len(it.versions) > 0 {
		asked.exact = it.versions[len(it.versions)-1]
	}
	return asked
}

// serviceOf returns the service of a route; the items of a split route are spread by their index.
func serviceOf(r config.Route, it *item) string {
	const stride, parts = 37, 100 // neighbours come far apart
	return route.ServiceOf(r, float64(it.index*stride%parts)/parts)
}

func (p *Part) run(w place, r config.Route, e *engine, out *event.Batch) {
	p.attempts++
	it := w.item
	it.attempt, it.state, it.engine = p.attempts, running, e.Name
	e.running++
	p.runs[it.attempt] = mark(&e.Endpoint)
	started := event.RunItem{
		Job: w.job.head.ID, Item: it.index, Attempt: it.attempt,
		Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address,
		Priority: r.Priority, Restart: it.restart, Silence: silence, Deadline: w.job.head.GiveUp,
	}
	if w.job.head.Single && it.events > 0 && !it.restart && len(it.versions) > 0 {
		started.Version = it.versions[len(it.versions)-1]
	}
	it.restart = false
	out.Emit(started)
	p.log(w.job, it, "ItemSent", out, event.Field{Key: "Endpoint", Value: e.Name},
		event.Field{Key: "Version", Value: strconv.FormatUint(e.VersionOf(w.job.head.Model), 10)},
		event.Field{Key: "From", Value: strconv.Itoa(it.events)})
}

func (p *Part) log(j *job, it *item, name string, out *event.Batch, fields ...event.Field) {
	all := []event.Field{
		{Key: "Job", Value: j.head.ID},
		{Key: "Item", Value: it.ID},
		{Key: "Attempt", Value: strconv.FormatUint(it.attempt, 10)},
	}
	out.Emit(event.Log{Level: "info", Event: name, Fields: append(all, fields...)})
}

// itemEnded goes on from the end of a run.
func (p *Part) itemEnded(now time.Duration, e event.ItemEnded, out *event.Batch) {
	p.release(now, e)
	j, it := p.find(e.Job, e.Item, e.Attempt)
	if it == nil || it.state != running && it.state != stopping {
		return
	}
	stopped := it.state == stopping
	it.state, it.events, it.versions = waiting, e.Events, e.Versions
	p.log(j, it, "ItemEnded", out, event.Field{Key: "Endpoint", Value: it.engine},
		event.Field{Key: "Reason", Value: e.Reason}, event.Field{Key: "Status", Value: strconv.Itoa(e.Status)},
		event.Field{Key: "Events", Value: strconv.Itoa(e.Events)}, event.Field{Key: "FirstMS", Value: strconv.FormatInt(e.First.Milliseconds(), 10)}, event.Field{Key: "TookMS", Value: strconv.FormatInt(e.Took.Milliseconds(), 10)})
	if e.First > 0 {
		out.Emit(event.Observe{Name: "FirstEventTime", Took: e.First})
	}
	out.Emit(event.Observe{Name: "ItemTime", Tags: []event.Field{{Key: "Reason", Value: e.Reason}}, Took: e.Took})
	if e.Reason != "" {
		out.Emit(event.Count{Name: "ItemRetries", Tags: []event.Field{{Key: "Reason", Value: e.Reason}}, N: 1})
	}
	switch {
	case j.ended || stopped:
	case !j.allows(it):
		it.restart, it.events, it.versions = true, 0, nil
	case e.Reason == "":
		p.whole(now, j, it, out)
	case e.Reason == event.ReasonNever:
		it.nevers++
		if it.nevers >= mostNevers {
			p.setDown(now, j, it, "Never", out)
		}
	case e.Reason == event.ReasonStatus:
		it.failures++
		if it.failures >= p.mostFailures(j) {
			p.setDown(now, j, it, "Failures", out)
		}
	default:
		it.notAt = it.engine
	}
	p.dispatch(now, out)
}

// allows reports whether the versions of an item's held events are within the job's bounds.
func (j *job) allows(it *item) bool {
	if j.head.Single && len(it.versions) > 1 {
		return false
	}
	for _, v := range it.versions {
		if v < j.head.MinVersion {
			return false
		}
	}
	return true
}

func (p *Part) mostFailures(j *job) int {
	if n := p.site.Routes[j.head.Route].MaxAttempts; n > 0 {
		return n
	}
	return defaultFailures
}

// release gives an engine's place back, also when the job has gone meanwhile, and judges the engine by the end of the
// run.
func (p *Part) release(now time.Duration, e event.ItemEnded) {
	id, ok := p.runs[e.Attempt]
	delete(p.runs, e.Attempt)
	g := p.engines.byName[id.Endpoint]
	if !ok || g == nil || g.Incarnation != id.Incarnation {
		return
	}
	g.running = max(0, g.running-1)
	switch e.Reason {
	case "":
		g.served(now)
	case event.ReasonRefused:
		g.refused(now)
		if e.Status == statusMisdirected {
			g.until = max(g.until, now+lagFor)
		}
	case event.ReasonDial, event.ReasonBroken, event.ReasonCut, event.ReasonSilent:
		g.failed(now)
	}
}

// statusMisdirected is the status of an endpoint that is not the one asked for, or has another version.
const statusMisdirected = 421

// whole goes on from a whole text: it is scored or waits to be listed.
func (p *Part) whole(now time.Duration, j *job, it *item, out *event.Batch) {
	if it.ScorePath == "" {
		p.finish(now, j, it, out)
		return
	}
	it.state = scoring
	out.Emit(event.ScoreItem{Job: j.head.ID, Item: it.index, Deadline: min(now+scoreTime, j.head.GiveUp)})
}

func (p *Part) scored(now time.Duration, e event.ItemScored, out *event.Batch) {
	j, it := p.find(e.Job, e.Item, 0)
	if it == nil || it.state != scoring {
		return
	}
	if e.Kind == "" && e.Status/100 == 2 {
		p.finish(now, j, it, out)
		return
	}
	p.log(j, it, "ScoreFailed", out, event.Field{Key: "Kind", Value: string(e.Kind)}, event.Field{Key: "Status", Value: strconv.Itoa(e.Status)})
	out.Emit(event.Count{Name: "ScoreRetries", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	it.scores += e.Failures
	if it.scores >= p.mostScores(it) {
		p.setDown(now, j, it, "Score", out)
		return
	}
	it.since = now + scoreAgain
}

// mostScores returns the number of failed calls for a score after which an item is given up.
func (p *Part) mostScores(it *item) int {
	r, ok := p.routes.Match(it.ScoreHost, it.ScorePath)
	if !ok || r.MaxAttempts == 0 {
		return defaultFailures
	}
	return r.MaxAttempts
}

func (p *Part) finish(now time.Duration, j *job, it *item, out *event.Batch) {
	it.state, it.since = finished, now
	p.list(now, j, out)
}

func (p *Part) setDown(now time.Duration, j *job, it *item, why string, out *event.Batch) {
	it.down = true
	p.log(j, it, "ItemDown", out, event.Field{Key: "Reason", Value: why})
	out.Emit(event.Count{Name: "ItemsDown", Tags: []event.Field{{Key: "Reason", Value: why}}, N: 1})
	p.finish(now, j, it, out)
}

// giveUp lists what can't be done in time as given up, makes failed calls for scores again and stops what is not needed.
func (p *Part) giveUp(now time.Duration, j *job, out *event.Batch) {
	if j.ended {
		return
	}
	for _, it := range j.items {
		switch {
		case it.state == scoring && it.since != 0 && now >= it.since:
			it.since = 0
			out.Emit(event.ScoreItem{Job: j.head.ID, Item: it.index, Deadline: min(now+scoreTime, j.head.GiveUp)})
		case now < j.head.GiveUp:
		case it.state == waiting || it.state == scoring:
			p.setDown(now, j, it, "Late", out)
		case it.state == running:
			p.stopItem(j, it, out)
		}
	}
}

func (p *Part) stopItem(j *job, it *item, out *event.Batch) {
	it.state = stopping
	out.Emit(event.StopItem{Job: j.head.ID, Item: it.index, Attempt: it.attempt})
}
