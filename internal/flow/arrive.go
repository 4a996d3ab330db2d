package flow

import (
	"time"

	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/crash"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/route"
)

// handleArrived queues a new request or refuses it at once.
func (p *Component) handleArrived(now time.Duration, e event.RequestArrived, out *event.Batch) {
	if _, ok := p.requests[e.Request]; ok {
		return
	}
	r := &request{arrived: e, arrivedAt: now, idempotent: true, generation: e.Generation}
	p.requests[e.Request] = r
	if kind := p.identify(now, r); kind != "" {
		p.finish(now, r, kind, out)
		return
	}
	if r.software == nil && resumesStream(r) {
		kind, ok := p.bindResumed(now, r, out)
		if kind != "" {
			p.finish(now, r, kind, out)
			return
		}
		if !ok {
			p.timers.add(r.deadline, r.id())
			return
		}
	}
	p.admitAndDispatch(now, r, out)
}

// admitAndDispatch queues a request, or refuses it at once.
func (p *Component) admitAndDispatch(now time.Duration, r *request, out *event.Batch) {
	if kind := p.admit(now, r, out); kind != "" {
		p.finish(now, r, kind, out)
		return
	}
	p.enqueue(now, r, false)
	p.timers.add(r.deadline, r.id())
	p.dispatch(now, out)
	if _, open := p.requests[r.id()]; open && r.phase == queued && r.software != nil && *r.software != withoutVersion {
		p.endRequest(now, r, kinds.StreamUnresumable, out)
	}
}

// identify sets the request's organisation, route, pool and deadline, or returns why it is refused.
func (p *Component) identify(now time.Duration, r *request) kinds.Kind {
	if p.drain.closed || (p.drain.closing && r.arrived.Sample != nil) {
		return kinds.Stopping
	}
	if p.site == nil {
		return kinds.NotReady
	}
	if r.arrived.Sample != nil {
		return p.identifySample(now, r)
	}
	if r.arrived.Pass != nil {
		return p.identifyPassed(now, r)
	}
	matched, ok := p.routes.Match(r.arrived.Host, r.arrived.Path)
	if !ok {
		return kinds.RouteUnknown
	}
	r.route = matched
	if !r.arrived.Own {
		if kind := p.identifyCaller(now, r); kind != "" {
			return kind
		}
	}
	if r.arrived.Generation != (matched.Model != "") {
		return kinds.NotReady
	}
	r.class = matched.Class
	if r.class == "" {
		r.class = config.Interactive
	}
	draw := p.shareDraw(matched)
	r.service, r.pool = route.ServiceOf(matched, draw), route.PoolOf(matched, draw)
	r.idempotent = matched.Idempotent
	r.deadline = p.effectiveDeadline(now, r.arrived.Deadline, matched.Timeout)
	return ""
}

// shareDraw returns a random number that selects one of the shares of a split route, 0 for any other route.
func (p *Component) shareDraw(r config.Route) float64 {
	if len(r.Shares) == 0 {
		return 0
	}
	return p.Random.Float64()
}

func (p *Component) identifySample(now time.Duration, r *request) kinds.Kind {
	if _, ok := p.Trust.Trusted(now); !ok {
		return kinds.AuthorityStale
	}
	r.organisation = r.arrived.Organisation
	r.class = config.Rollout
	r.pool = route.EnginePool(r.arrived.Model)
	if r.arrived.Service != "" {
		r.pool = route.ServicePool(r.arrived.Service)
	}
	r.deadline = r.arrived.Deadline
	if r.deadline == 0 {
		r.deadline = now + p.site.Limits.DefaultTimeout
	}
	return ""
}

// identifyCaller sets the organisation that the key belongs to. An open route admits requests without a valid key.
func (p *Component) identifyCaller(now time.Duration, r *request) kinds.Kind {
	organisation, kind := p.OrganisationOf(now, r.arrived.KeyHash)
	if kind == "" {
		r.organisation = organisation
		return ""
	}
	if r.route.Open {
		return ""
	}
	return kind
}

// OrganisationOf returns the organisation of an active key, or why the key is refused at time now.
func (p *Component) OrganisationOf(now time.Duration, hash string) (string, kinds.Kind) {
	if hash == "" {
		return "", kinds.KeyMissing
	}
	if _, ok := p.Trust.Trusted(now); !ok {
		return "", kinds.AuthorityStale
	}
	entry, ok := p.Keys.Lookup(hash)
	if !ok {
		return "", kinds.KeyUnknown
	}
	if entry.State != keys.Active {
		return "", kinds.KeyWithdrawn
	}
	if _, ok := p.site.Organisations[entry.Organisation]; !ok {
		return "", kinds.Forbidden
	}
	return entry.Organisation, ""
}

// effectiveDeadline returns the earlier of the requested deadline, 0 for none, and the timeout, 0 for the default one.
func (p *Component) effectiveDeadline(now, requested, timeout time.Duration) time.Duration {
	if timeout == 0 {
		timeout = p.site.Limits.DefaultTimeout
	}
	if requested != 0 {
		return min(requested, now+timeout)
	}
	return now + timeout
}

// admit checks that the request can be served within its deadline and that the queue has room, evicting a request of
// another organisation if need be. It returns why the request is refused, "" when it is admitted.
func (p *Component) admit(now time.Duration, r *request, out *event.Batch) kinds.Kind {
	if r.deadline <= now {
		return kinds.DeadlineExceeded
	}
	r.item = admit.Item[uint64]{
		Organisation: r.organisation,
		Class:        r.class,
		Pool:         r.pool,
		Cost:         max(1, r.arrived.Tokens),
		Value:        r.id(),
	}
	if p.givenUp(now, r) {
		return kinds.EndpointsCrashed
	}
	if p.outlivesStop(now, r) {
		return kinds.Stopping
	}
	if p.relayed(now, r) {
		return p.makeRoom(now, r, out)
	}
	again := r.arrived.Pass != nil && r.arrived.Pass.Again
	if r.class == config.Interactive && !again && !p.table.Serves(now, r.pool) {
		p.demand.recordUnserved(now, r)
		return kinds.NoEndpoint
	}
	if r.software != nil && !p.table.ServesSoftware(now, r.pool, *r.software) {
		return kinds.StreamUnresumable
	}
	if p.limitWait(now, r) > p.maxLimitWait(now, r) {
		p.countLimited(now, r.pool)
		return kinds.EndpointsLimited
	}
	if p.missesDeadline(now, r, p.queueWait(now, r)) {
		return kinds.DeadlineTooShort
	}
	return p.makeRoom(now, r, out)
}

func (p *Component) makeRoom(now time.Duration, r *request, out *event.Batch) kinds.Kind {
	own, all := p.Queue.Len(r.organisation)
	if own >= p.site.Limits.QueuePerOrg {
		return kinds.QueueFull
	}
	if all+p.pendingRetries < p.site.Limits.QueuePerDaemon {
		return ""
	}
	evicted, ok := p.Queue.Evict(r.organisation)
	if !ok {
		return kinds.QueueFull
	}
	victim := p.requests[evicted.Value]
	p.queuedByPool[victim.pool]--
	victim.phase = backingOff
	p.finish(now, victim, kinds.QueueFull, out)
	return ""
}

// enqueue queues a request for its first or next attempt.
func (p *Component) enqueue(now time.Duration, r *request, front bool) {
	r.phase = queued
	r.item.Front = front
	r.item.Pool = r.pool
	if p.Crashes.Verdict(now, r.contentID()) == crash.Suspect {
		r.item.Pool += suspectQueue
	}
	if r.software != nil {
		r.item.Pool += softwareQueue + *r.software
	}
	p.Queue.Push(r.item)
	p.queuedByPool[r.pool]++
}
