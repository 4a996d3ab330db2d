package flow

import (
	"time"

	"github.com/figshift/figshift/internal/crash"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// suspectQueue is added to the pool of a suspected request in the queue, so that it waits for its turn without holding up
// the others of its organisation.
const suspectQueue = "#suspects"

// isolation keeps the suspected requests of this host apart, so that the next crash shows which of them is the cause: each
// runs once at a time, and no two of them on one endpoint.
type isolation struct {
	requests  map[crash.ID]int
	endpoints map[wire.LeaveMark]int
}

func (i *isolation) begin(id crash.ID, endpoint wire.LeaveMark) {
	if i.requests == nil {
		i.requests, i.endpoints = map[crash.ID]int{}, map[wire.LeaveMark]int{}
	}
	i.requests[id]++
	i.endpoints[endpoint]++
}

func (i *isolation) end(id crash.ID, endpoint wire.LeaveMark) {
	if i.requests[id]--; i.requests[id] == 0 {
		delete(i.requests, id)
	}
	if i.endpoints[endpoint]--; i.endpoints[endpoint] == 0 {
		delete(i.endpoints, endpoint)
	}
}

// contentID identifies a request by its content.
func (r *request) contentID() crash.ID {
	return crash.ID{Organisation: r.organisation, Digest: r.arrived.Digest}
}

func (p *Component) givenUp(now time.Duration, r *request) bool {
	return p.Crashes.Verdict(now, r.contentID()) == crash.GivenUp
}

// isolated returns a filter for the endpoints of a request: a suspected request gets one without another suspected request,
// and others prefer those. It returns false while the request must wait for another one with the same content.
func (p *Component) isolated(now time.Duration, r *request) (filter func(e *route.Endpoint) bool, required, ok bool) {
	suspected := p.Crashes.Verdict(now, r.contentID()) == crash.Suspect
	if suspected && p.isolation.requests[r.contentID()] > 0 {
		return nil, false, false
	}
	return func(e *route.Endpoint) bool { return p.isolation.endpoints[markOf(e)] == 0 }, suspected, true
}

// beginIsolation counts the start of an attempt of a suspected request.
func (p *Component) beginIsolation(now time.Duration, r *request, endpoint wire.LeaveMark) {
	if p.Crashes.Verdict(now, r.contentID()) != crash.Clear {
		r.isolated = true
		p.isolation.begin(r.contentID(), endpoint)
	}
}

// observeEnd takes what the end of an attempt shows about its request: whether it may have crashed the endpoint.
func (p *Component) observeEnd(now time.Duration, r *request, endpoint wire.LeaveMark, e event.AttemptDone, out *event.Batch) {
	if r.isolated {
		r.isolated = false
		p.isolation.end(r.contentID(), endpoint)
	}
	if r.relay == "" && (e.Reason == event.ReasonDial || e.Reason == event.ReasonBroken) {
		p.Links.Doubt(now, endpoint)
	}
	switch {
	case e.Whole:
		p.Crashes.Completed(now, r.contentID(), out)
	case r.relay != "":
	case e.Closed && (e.Reason == event.ReasonBroken || e.Reason == event.ReasonCut):
		p.logClosed(now, r, endpoint, out)
		if !e.Leaving && p.table.Stays(endpoint) {
			p.Crashes.Closed(now, r.contentID(), endpoint, r.sentAt, out)
		}
	}
}
