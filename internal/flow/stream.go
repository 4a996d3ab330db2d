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

// resumesStream reports whether a request takes up a stream of a route whose endpoints tell their software versions.
func (p *Component) resumesStream(r *request) bool {
	return r.route.Streaming && r.arrived.LastEvent != "" && slices.ContainsFunc(servicesOf(r), func(service string) bool {
		return p.table.Versioned(route.ServicePool(service))
	})
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
		return kinds.StreamUnresumable, true
	}
	stream := origin.Stream{Organisation: r.organisation, ID: r.arrived.Resumes}
	at, ok := p.Origins.Lookup(now, stream)
	if !ok && p.Origins.Seek(now, stream, out) {
		r.phase = seeking
		return "", false
	}
	if !ok || !slices.Contains(servicesOf(r), at.Service) {
		return kinds.StreamUnresumable, true
	}
	r.bindTo(at)
	return "", true
}

// bindTo sends a request to the service and software version at which its stream began.
func (r *request) bindTo(at origin.Origin) {
	r.service, r.pool = at.Service, route.ServicePool(at.Service)
	r.bind(at.Software)
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
		if !known || !slices.Contains(servicesOf(r), at.Service) {
			p.finish(now, r, kinds.StreamUnresumable, out)
			continue
		}
		r.bindTo(at)
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
	return r.software != nil && !p.relayed(now, r) && (!r.generation || !p.table.ServesSoftware(now, r.pool, *r.software))
}
