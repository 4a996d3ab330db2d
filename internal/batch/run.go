package batch

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// silenceTimeout is the time without an event after which a run is continued on another engine. An engine reads a
	// prompt within milliseconds and then sends an event every few tens of milliseconds.
	silenceTimeout = 1500 * time.Millisecond
	// scoreTimeout bounds one call that scores a text, including its retries.
	scoreTimeout = 3 * time.Second
	// scoreRetryPause is the pause before such a call is made again.
	scoreRetryPause = 100 * time.Millisecond
	// maxPermanentFailures is the number of answers that an item can never succeed after which it is given up.
	maxPermanentFailures = 1
	// defaultMaxFailures is the number of failed runs, or of failed calls for a score, after which an item is given up on
	// a route that sets none.
	defaultMaxFailures = 3
	// bodyMissingPause is the pause after a run that the executor could not begin, which costs no time by itself.
	bodyMissingPause = 500 * time.Millisecond
)

func (p *Component) logItem(j *job, it *item, name string, out *event.Batch, fields ...event.Field) {
	all := []event.Field{
		{Key: "Job", Value: j.head.ID},
		{Key: "Item", Value: it.ID},
		{Key: "Attempt", Value: strconv.FormatUint(it.attempt, 10)},
	}
	out.Emit(event.Log{Level: "info", Event: name, Fields: append(all, fields...)})
}

// handleItemEnded takes the end of a run: the item's text is whole, or the item waits for its next run or is given up.
func (p *Component) handleItemEnded(now time.Duration, e event.ItemEnded, out *event.Batch) {
	p.releaseSlot(now, e)
	j, it := p.findRun(e.Job, e.Item, e.Attempt)
	if it == nil || it.state != running && it.state != stopping {
		return
	}
	stopped := it.state == stopping
	it.state, it.heldEvents, it.heldVersions, it.heldSoftware, it.stateTime = waiting, e.Events, e.Versions, e.Software, now
	p.logItem(j, it, "ItemEnded", out, event.Field{Key: "Endpoint", Value: it.engineName},
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
	case j.ended:
	case !j.acceptsHeldVersions(it):
		it.beginAnew()
	case e.Reason == "":
		p.handleWholeText(now, j, it, out)
	case e.Reason == event.ReasonUnprocessable:
		it.permanentFailures++
		if it.permanentFailures >= maxPermanentFailures {
			p.giveUpItem(now, j, it, "Never", out)
		}
	case e.Reason == event.ReasonStatus:
		it.failures++
		if it.failures >= p.maxFailures(j) {
			p.giveUpItem(now, j, it, "Failures", out)
		}
	case e.Reason == event.ReasonBodyMissing:
		it.pausedUntil = now + bodyMissingPause
	case !stopped:
		it.avoidEngine = it.engineName
	}
	p.endIfLate(now, j, it, out)
	p.dispatch(now, out)
}

// beginAnew drops the held events at the next run.
func (it *item) beginAnew() {
	it.restart, it.heldEvents, it.heldVersions, it.heldSoftware = true, 0, nil, ""
}

// acceptsHeldVersions reports whether the job allows the weight versions that made an item's held events.
func (j *job) acceptsHeldVersions(it *item) bool {
	if j.head.Single && len(it.heldVersions) > 1 {
		return false
	}
	for _, v := range it.heldVersions {
		if v < j.head.MinVersion {
			return false
		}
	}
	return true
}

// maxFailures returns the number of failed runs after which an item of a job is given up.
func (p *Component) maxFailures(j *job) int {
	if n := p.site.Routes[j.head.Route].MaxAttempts; n > 0 {
		return n
	}
	return defaultMaxFailures
}

// releaseSlot frees the engine's slot of an ended run, even when this host no longer owns the job, and records the run's
// success or failure for the engine.
func (p *Component) releaseSlot(now time.Duration, e event.ItemEnded) {
	m, ok := p.runEngines[e.Attempt]
	delete(p.runEngines, e.Attempt)
	eng := p.engines.byName[m.Endpoint]
	if !ok || eng == nil || eng.Incarnation != m.Incarnation {
		return
	}
	eng.ownRunning = max(0, eng.ownRunning-1)
	switch e.Reason {
	case "":
		eng.recordSuccess(now)
	case event.ReasonRefused:
		eng.recordRefusal(now)
		if e.Status == statusMisdirectedRequest {
			eng.pausedUntil = max(eng.pausedUntil, now+wrongVersionPause)
		}
	case event.ReasonDial, event.ReasonBroken, event.ReasonCut, event.ReasonSilent:
		eng.recordFailure(now)
		p.Links.Doubt(now, m)
	}
}

// statusMisdirectedRequest is the HTTP status with which an endpoint refuses a run that is meant for another endpoint or
// another weight version.
const statusMisdirectedRequest = 421

// handleWholeText has a whole text scored when its item has a score route, and else lets it wait to be listed.
func (p *Component) handleWholeText(now time.Duration, j *job, it *item, out *event.Batch) {
	if it.ScorePath == "" {
		p.finishItem(now, j, it, out)
		return
	}
	it.state = scoring
	p.score(now, j, it, out)
}

// score calls for the score of an item's text. The call may go on after the job's deadline, since the text is whole.
func (p *Component) score(now time.Duration, j *job, it *item, out *event.Batch) {
	it.stateTime = 0 // the call is under way
	out.Emit(event.ScoreItem{Job: j.head.ID, Item: it.index, Deadline: now + scoreTimeout})
}

func (p *Component) handleItemScored(now time.Duration, e event.ItemScored, out *event.Batch) {
	j, it := p.findRun(e.Job, e.Item, 0)
	if it == nil || it.state != scoring {
		return
	}
	if e.Kind == "" && e.Status/100 == 2 {
		p.finishItem(now, j, it, out)
		return
	}
	p.logItem(j, it, "ScoreFailed", out, event.Field{Key: "Kind", Value: string(e.Kind)}, event.Field{Key: "Status", Value: strconv.Itoa(e.Status)})
	out.Emit(event.Count{Name: "ScoreRetries", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	it.scoreFailures += e.Failures
	if it.scoreFailures >= p.maxScoreFailures(it) {
		p.giveUpItem(now, j, it, "Score", out)
		return
	}
	it.stateTime = now + scoreRetryPause
	p.endIfLate(now, j, it, out)
}

// maxScoreFailures returns the number of failed calls for a score after which an item is given up.
func (p *Component) maxScoreFailures(it *item) int {
	r, ok := p.routes.Match(it.ScoreHost, it.ScorePath)
	if !ok || r.MaxAttempts == 0 {
		return defaultMaxFailures
	}
	return r.MaxAttempts
}

func (p *Component) finishItem(now time.Duration, j *job, it *item, out *event.Batch) {
	it.state, it.stateTime = finished, now
	p.listResults(now, j, out)
}

// giveUpItem marks an item as given up, which is listed as its result.
func (p *Component) giveUpItem(now time.Duration, j *job, it *item, reason string, out *event.Batch) {
	it.givenUp = true
	p.logItem(j, it, "ItemDown", out, event.Field{Key: "Reason", Value: reason})
	out.Emit(event.Count{Name: "ItemsDown", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
	p.finishItem(now, j, it, out)
}

// applyTimers makes failed calls for scores again after their pause, and ends the items of a job that is past its deadline.
func (p *Component) applyTimers(now time.Duration, j *job, out *event.Batch) {
	if j.ended {
		return
	}
	for _, it := range j.items {
		if p.endIfLate(now, j, it, out) {
			continue
		}
		if it.state == scoring && it.stateTime != 0 && now >= it.stateTime {
			p.score(now, j, it, out)
		}
	}
}

// minRunTime is the time before a job's deadline from which on no run begins: it would bring no event.
const minRunTime = defaultGap

// mayBeginRuns reports whether runs of a job's items may begin.
func (j *job) mayBeginRuns(now time.Duration) bool { return !j.ended && now+minRunTime < j.head.GiveUp }

// endIfLate ends an item whose job is past its deadline, and reports whether it is: a run is stopped, and an item of which
// nothing is under way is given up. A call for the score of a whole text is awaited.
func (p *Component) endIfLate(now time.Duration, j *job, it *item, out *event.Batch) bool {
	if j.ended || now < j.head.GiveUp {
		return false
	}
	switch {
	case it.state == running:
		p.stopItem(j, it, out)
	case it.state == waiting, it.state == scoring && it.stateTime != 0:
		p.giveUpItem(now, j, it, "Late", out)
	}
	return true
}

func (p *Component) stopItem(j *job, it *item, out *event.Batch) {
	it.state = stopping
	out.Emit(event.StopItem{Job: j.head.ID, Item: it.index, Attempt: it.attempt})
}
