package batch

import (
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/ranks"
)

const (
	// placeAgain is the time for which a host that did not answer for a submission is handed none.
	placeAgain = 3 * time.Second
	// placeKey orders the hubs that run jobs.
	placeKey = "Jobs"
)

// place answers which host should run a job.
func (p *Part) place(now time.Duration, e event.JobCalled, organisation string, out *event.Batch) {
	r, ok := p.routes.Match(e.Host, e.Path)
	switch {
	case !ok:
		p.answer(e.Seq, e.Job, kinds.RouteUnknown, "", out)
	case r.Jobs == nil:
		p.answer(e.Seq, e.Job, kinds.BadRequest, "", out)
	default:
		out.Emit(event.JobAnswer{Seq: e.Seq, Organisation: organisation, Host: p.placeOf(now, r.Name)})
	}
}

// placeOf returns the host that runs the jobs of a route, "" for this one. In a large fleet all of a route's jobs run on
// one of the hubs, so that it keeps its connections to the engines from one step of the trainer to the next; hubs have the
// most processor time. A route stays where its last job went, as the news tell, and moves on when that hub does not take
// jobs: so only the first host that meets a hub that is gone waits for it.
func (p *Part) placeOf(now time.Duration, name string) string {
	if !p.large {
		return ""
	}
	hubs := p.hubsOf(name)
	if last := p.ranAt[name]; slices.Contains(hubs, last) {
		hubs = append([]string{last}, hubs...)
	}
	for _, hub := range hubs {
		if hub == p.Self.Name {
			return ""
		}
		if p.takesJobs(now, hub) {
			return hub
		}
	}
	return ""
}

// hubsOf returns the hubs in the order in which a route tries them. The routes take them in turn, and a route tries first
// those that no other route prefers.
func (p *Part) hubsOf(name string) []string {
	var routes []string
	for _, r := range p.site.Routes {
		if r.Jobs != nil {
			routes = append(routes, r.Name)
		}
	}
	slices.Sort(routes)
	own := slices.Index(routes, name)
	var first, others []string
	for i, hub := range ranks.Order(placeKey, p.hubs) {
		if i%len(routes) == own {
			first = append(first, hub)
		} else {
			others = append(others, hub)
		}
	}
	return append(first, others...)
}

// ran notes where a route's job runs that was not known before.
func (p *Part) ran(s event.JobSeen) {
	if s.Route != "" && !s.Ended {
		p.ranAt[s.Route] = s.Host
	}
}

// takesJobs reports whether submissions may be handed to a host. Of one that is not heard here only its answers tell.
func (p *Part) takesJobs(now time.Duration, host string) bool {
	if p.leaving[host] {
		return false
	}
	if since, down := p.down[host]; down && now-since >= closedFor {
		return false
	}
	failed, ok := p.unplaced[host]
	return !ok || now-failed >= placeAgain
}

// placed notes what came of a submission that was handed to another host.
func (p *Part) placed(now time.Duration, e event.JobPlaced, out *event.Batch) {
	result := "Taken"
	switch {
	case !e.Answered:
		result = "Unreached"
	case e.Kind != "":
		result = "Refused"
	}
	delete(p.unplaced, e.Host)
	if result == "Unreached" || e.Kind == kinds.Stopping || e.Kind == kinds.NotReady {
		p.unplaced[e.Host] = now
	}
	out.Emit(event.Count{Name: "JobsPlaced", Tags: []event.Field{{Key: "Result", Value: result}}, N: 1})
	out.Emit(event.Log{Level: "info", Event: "JobPlaced", Fields: []event.Field{
		{Key: "Job", Value: e.Job},
		{Key: "Host", Value: e.Host},
		{Key: "Result", Value: result},
		{Key: "Kind", Value: string(e.Kind)},
		{Key: "TookMS", Value: strconv.FormatInt(e.Took.Milliseconds(), 10)},
	}})
}
