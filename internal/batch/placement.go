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
	// placementRetry is the time for which a host gets no submissions after it failed to take one.
	placementRetry = 3 * time.Second
	// placementKey is the rendezvous key by which the hubs are ordered for placement.
	placementKey = "Jobs"
)

// answerPlacement answers which host should run a job.
func (p *Component) answerPlacement(now time.Duration, e event.JobCalled, organisation string, out *event.Batch) {
	r, ok := p.routes.Match(e.Host, e.Path)
	switch {
	case !ok:
		p.answer(e.Seq, e.Job, kinds.RouteUnknown, "", out)
	case r.Jobs == nil:
		p.answer(e.Seq, e.Job, kinds.BadRequest, "", out)
	default:
		out.Emit(event.JobAnswer{Seq: e.Seq, Organisation: organisation, Host: p.hostForRoute(now, r.Name)})
	}
}

// hostForRoute returns the host that should run the jobs of a route, "" for this one. All jobs of a route run on one host,
// which keeps its connections to the engines from one training step to the next: in a small fleet on the owner of its
// last job, in a large one on a hub, since hubs have the most processor time. There a route stays with the hub that was announced as the owner of its last job, and moves to
// another one when that hub does not accept jobs. When a hub is gone, only the first host that forwards a submission to
// it waits for it in vain.
func (p *Component) hostForRoute(now time.Duration, name string) string {
	cutOff := p.Links.CutOff(now)
	if !p.largeFleet {
		if last := p.lastOwner(now, name); last != "" || !cutOff {
			return last
		}
		return p.reachingHost(now, name)
	}
	hubs := p.hubOrder(name)
	if last := p.routeHost[name]; slices.Contains(hubs, last) {
		hubs = append([]string{last}, hubs...)
	}
	for _, hub := range hubs {
		if hub == p.Self.Name && !cutOff {
			return ""
		}
		if hub != p.Self.Name && p.acceptsJobs(now, hub) {
			return hub
		}
	}
	return ""
}

// lastOwner returns the owner of a route's last job, "" for this host and while that host does not accept jobs.
func (p *Component) lastOwner(now time.Duration, name string) string {
	last := p.routeHost[name]
	if last == p.Self.Name || !slices.Contains(p.availableHosts(now), last) || !p.acceptsJobs(now, last) {
		return ""
	}
	return last
}

// hubOrder returns the hubs in the order in which a route tries them. The hubs are assigned to the routes in turn, and a
// route tries those assigned to it first.
func (p *Component) hubOrder(name string) []string {
	var routes []string
	for _, r := range p.site.Routes {
		if r.Jobs != nil {
			routes = append(routes, r.Name)
		}
	}
	slices.Sort(routes)
	own := slices.Index(routes, name)
	var first, others []string
	for i, hub := range ranks.Order(placementKey, p.hubs) {
		if i%len(routes) == own {
			first = append(first, hub)
		} else {
			others = append(others, hub)
		}
	}
	return append(first, others...)
}

// noteRouteHost records the owner of a route's job that was not known before.
func (p *Component) noteRouteHost(s event.JobSeen) {
	if s.Route != "" && !s.Ended {
		p.routeHost[s.Route] = s.Host
	}
}

// acceptsJobs reports whether submissions may be forwarded to a host. For a host that is not connected to this one, only
// the outcome of earlier submissions is known.
func (p *Component) acceptsJobs(now time.Duration, host string) bool {
	if p.stoppingHosts[host] || p.Links.HostCutOff(host) {
		return false
	}
	if since, down := p.disconnectedAt[host]; down && now-since >= disconnectGrace {
		return false
	}
	failed, ok := p.placementFailedAt[host]
	return !ok || now-failed >= placementRetry
}

// handleJobPlaced records the outcome of a submission that was forwarded to another host.
func (p *Component) handleJobPlaced(now time.Duration, e event.JobPlaced, out *event.Batch) {
	result := "Taken"
	switch {
	case !e.Answered:
		result = "Unreached"
	case e.Kind != "":
		result = "Refused"
	}
	delete(p.placementFailedAt, e.Host)
	if result == "Unreached" || e.Kind == kinds.Stopping || e.Kind == kinds.NotReady {
		p.placementFailedAt[e.Host] = now
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
