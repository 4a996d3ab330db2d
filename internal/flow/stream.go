package flow

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/origin"
	"github.com/figshift/figshift/internal/route"
)

// unresumableRetry is the time to tell a caller to wait whose stream no endpoint can go on with. A host that is out of reach
// now may know where the stream began.
const unresumableRetry = 100 * time.Millisecond

// softwareQueue is added, with the version, to the pool of a request in the queue that only one software version can go on
// with, so that it doesn't hold up the others of its organisation.
const softwareQueue = "#software="

// withoutVersion is the software version of endpoints that tell none.
const withoutVersion = ""

// resumesStream reports whether a request takes up a stream. The call alone tells, not the endpoints that are known just then.
func resumesStream(r *request) bool {
	return r.route.Streaming && r.arrived.LastEvent != ""
}

// withoutVersions reports whether endpoints of the request's services are known and none of them tells its software version.
func (p *Component) withoutVersions(r *request) bool {
	pools := 0
	for _, service := range servicesOf(r) {
		pool := route.ServicePool(service)
		if p.table.Versioned(pool) {
			return false
		}
		if p.table.Listed(pool) {
			pools++
		}
	}
	return pools > 0
}

// servicesOf returns the services to which the request's route sends.
func servicesOf(r *request) []string {
	if len(r.route.Shares) == 0 {
		return []string{r.route.Service}
	}
	var services []string
	for _, s := range r.route.Shares {
		services = append(services, s.Service)
	}
	return services
}

// bindResumed binds a request to the software version that began its stream. It returns false while other hosts are asked
// for it, and a kind when the stream can't go on.
func (p *Component) bindResumed(now time.Duration, r *request, out *event.Batch) (kinds.Kind, bool) {
	if r.arrived.Resumes == "" {
		return p.bindTo(r, origin.Origin{}, false, true), true // nobody can be asked
	}
	stream := origin.Stream{Organisation: r.organisation, ID: r.arrived.Resumes}
	at, ok := p.Origins.Lookup(now, stream)
	if !ok && p.Origins.Seek(now, stream, out) {
		r.phase = seeking
		return "", false
	}
	return p.bindTo(r, at, ok, p.Origins.Alone()), true
}

// bindTo sends a request to the service and software version at which its stream began, or returns why the stream can't go on.
// A stream of which nobody knows where it began goes on only where no endpoint tells its version. Sure tells that no host that could
// be asked failed to answer: this one's list of endpoints may be old.
func (p *Component) bindTo(r *request, at origin.Origin, known, sure bool) kinds.Kind {
	switch {
	case known && slices.Contains(servicesOf(r), at.Service):
		r.service, r.pool = at.Service, route.ServicePool(at.Service)
		r.bind(at.Software)
	case !known && sure && p.withoutVersions(r):
		r.bind(withoutVersion)
	default:
		return kinds.StreamUnresumable
	}
	return ""
}

// bind makes a software version the only one that the request may go to.
func (r *request) bind(software string) { r.software = &software }

// handleStreamSought goes on with the requests that waited for the origin of a stream.
func (p *Component) handleStreamSought(now time.Duration, e event.StreamSought, out *event.Batch) {
	at, known := p.Origins.Lookup(now, origin.Stream{Organisation: e.Organisation, ID: e.ID})
	for _, r := range p.sortedRequests() {
		if r.phase != seeking || r.organisation != e.Organisation || r.arrived.Resumes != e.ID {
			continue
		}
		if kind := p.bindTo(r, at, known, !e.Unsure); kind != "" {
			p.finish(now, r, kind, out)
			continue
		}
		p.admitAndDispatch(now, r, out)
	}
}

// handleStreamBegan remembers at which software version a caller's stream goes on.
func (p *Component) handleStreamBegan(now time.Duration, e event.StreamBegan, out *event.Batch) {
	r, ok := p.requests[e.Request]
	if !ok || r.attempt != e.Attempt || !r.route.Streaming || r.sentTo.Software == "" || r.arrived.ID == "" {
		return
	}
	id := r.arrived.ID
	if r.software != nil {
		id = r.arrived.Resumes
	}
	stream := origin.Stream{Organisation: r.organisation, ID: id}
	p.Origins.Began(now, stream, origin.Origin{Service: r.sentTo.Service, Software: r.sentTo.Software}, out)
}

// unplaceable reports whether a request for which no endpoint is free can't wait for one: the caller of a stream begins it
// anew elsewhere, and a generation needs an endpoint of the version that began it.
func (p *Component) unplaceable(now time.Duration, r *request) bool {
	if r.software == nil || p.relayed(now, r) {
		return false
	}
	return !r.generation && *r.software != withoutVersion || !p.table.ServesSoftware(now, r.pool, *r.software)
}
