package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

const (
	staleAnswerGrace = time.Second // time from the lapse of trust in the authority until running requests are stopped
	minRetryAfter    = time.Second
)

// finish answers a request, removes it and accounts for it.
func (p *Component) finish(now time.Duration, r *request, kind kinds.Kind, out *event.Batch) {
	kind = r.answerKind(kind)
	delete(p.requests, r.id())
	out.Emit(event.AnswerRequest{
		Request:    r.id(),
		Kind:       kind,
		Detail:     r.detail(kind),
		RetryAfter: p.retryAfter(now, r, kind),
		Sample:     r.arrived.Sample,
	})
	p.settle(now, r, kind)
	p.countOutcome(r, kind, out)
	p.logRequestEnd(now, r, kind, out)
	out.Raise(event.RequestDone{
		Request:         r.id(),
		Organisation:    r.organisation,
		Class:           r.class,
		Sample:          r.arrived.Sample,
		Kind:            kind,
		Endpoint:        r.endpoint,
		Price:           r.price,
		Attempt:         r.attempt,
		Versions:        r.versions,
		PromptTokens:    r.promptTokens,
		CachedTokens:    r.cachedTokens,
		GeneratedTokens: r.generatedTokens,
		HasUsage:        r.hasUsage,
		Took:            now - r.arrivedAt,
		Own:             r.arrived.Own,
		Began:           r.workStartedAt,
	})
}

// answerKind returns the kind to answer with, "" for a complete answer.
func (r *request) answerKind(kind kinds.Kind) kinds.Kind {
	if kind == "" {
		return ""
	}
	return r.correctKind(kind)
}

// detail says why the request was stopped when the kind alone does not.
func (r *request) detail(kind kinds.Kind) string {
	if r.stopKind != "" && r.stopKind != kind {
		return "ended by " + string(r.stopKind)
	}
	return ""
}

// settle replaces the estimated cost of the request by the actual one. A request that did not run costs nothing.
func (p *Component) settle(now time.Duration, r *request, kind kinds.Kind) {
	if !r.charged {
		return
	}
	cost := r.item.Cost
	if r.hasUsage {
		cost = r.promptTokens + r.generatedTokens
	}
	if kind != "" && !r.mayHaveRun {
		cost = 0
	}
	p.Queue.Correct(r.item, cost)
	if r.arrived.Pass != nil {
		return // the host that passed the call on accounts for it
	}
	p.servedTokens.Add(r.organisation, r.class, uint64(cost))
	if kind == "" {
		p.budget.Served(r.route.Name)
		p.throughput(r).Record(now, r.item.Cost, now-r.sentAt)
	}
}

// countOutcome emits the counter of the request's outcome and counts refusals for the status report.
func (p *Component) countOutcome(r *request, kind kinds.Kind, out *event.Batch) {
	if kind != "" && r.abandoned {
		out.Emit(event.Count{Name: "GivenUp", Tags: r.classTags(), N: 1})
		return
	}
	if kind == "" {
		out.Emit(event.Count{Name: "Answers", Tags: r.classTags(), N: 1})
		return
	}
	out.Emit(event.Count{Name: "Refusals", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	if _, ok := p.lookupOrganisation(r.organisation); !ok {
		return
	}
	if p.refusals[r.organisation] == nil {
		p.refusals[r.organisation] = map[kinds.Kind]uint64{}
	}
	p.refusals[r.organisation][kind]++
}

func (p *Component) lookupOrganisation(name string) (config.Organisation, bool) {
	if p.site == nil {
		return config.Organisation{}, false
	}
	o, ok := p.site.Organisations[name]
	return o, ok
}

// retryAfter returns the time to tell the caller to wait before a retry, 0 for kinds without one: the estimated time
// until the tokens queued ahead have been served.
func (p *Component) retryAfter(now time.Duration, r *request, kind kinds.Kind) time.Duration {
	if !kinds.AnswerFor(kind).RetryAfter {
		return 0
	}
	switch kind {
	case kinds.EndpointsLimited:
		return p.limitRetryAfter(now, r)
	case kinds.StreamUnresumable:
		return unresumableRetry
	}
	return max(minRetryAfter, p.queueWait(now, r))
}

// abandon ends a request whose caller has disconnected or whose sample is no longer needed.
func (p *Component) abandon(now time.Duration, id uint64, out *event.Batch) {
	if r, ok := p.requests[id]; ok {
		r.abandoned = true
		p.endRequest(now, r, kinds.StreamCut, out)
		p.dispatch(now, out)
	}
}

// endRequest answers a waiting request with kind, and stops the attempt of a running one.
func (p *Component) endRequest(now time.Duration, r *request, kind kinds.Kind, out *event.Batch) {
	switch r.phase {
	case queued:
		if p.Queue.Remove(r.item) {
			p.queuedByPool[r.pool]--
		}
		p.finish(now, r, kind, out)
	case backingOff:
		p.pendingRetries--
		p.finish(now, r, kind, out)
	case seeking:
		p.finish(now, r, kind, out)
	case connecting, running:
		p.stopAttempt(r, kind, out)
	case stopping:
	}
}

// fireTimers ends the requests whose deadline has passed and queues those whose backoff is over.
func (p *Component) fireTimers(now time.Duration, out *event.Batch) {
	for {
		id, ok := p.timers.popDue(now)
		if !ok {
			return
		}
		r, ok := p.requests[id]
		if !ok {
			continue
		}
		switch {
		case now >= r.deadline:
			p.endRequest(now, r, kinds.DeadlineExceeded, out)
		case r.phase == backingOff:
			p.pendingRetries--
			p.enqueue(now, r, true)
		}
	}
}

// checkKeys ends the requests whose key is no longer accepted.
func (p *Component) checkKeys(now time.Duration, out *event.Batch) {
	if p.site == nil {
		return
	}
	for _, r := range p.sortedRequests() {
		if !r.needsKey() {
			continue
		}
		kind := p.keyRefusal(now, r)
		if kind != "" && kind != kinds.AuthorityStale {
			p.endRequest(now, r, kind, out)
		}
	}
	p.dispatch(now, out)
}

// checkTrust refuses waiting requests that need a key once trust in the authority has lapsed, and stops running ones
// after staleAnswerGrace.
func (p *Component) checkTrust(now time.Duration, out *event.Batch) {
	if p.Trust == nil {
		return
	}
	if _, ok := p.Trust.Trusted(now); ok {
		p.staleSince = 0
		return
	}
	if p.staleSince == 0 {
		p.staleSince = now
	}
	for _, r := range p.sortedRequests() {
		if r.needsKey() && (!r.attemptActive() || now-p.staleSince >= staleAnswerGrace) {
			p.endRequest(now, r, kinds.AuthorityStale, out)
		}
	}
}

func (r *request) attemptActive() bool { return r.phase == running || r.phase == connecting }

// sortedRequests returns the requests, sorted by ID.
func (p *Component) sortedRequests() []*request {
	all := make([]*request, 0, len(p.requests))
	for _, r := range p.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.id(), b.id()) })
	return all
}

// handleAuthoriseCall checks the key of a call that figshift answers itself.
func (p *Component) handleAuthoriseCall(now time.Duration, e event.AuthoriseCall, out *event.Batch) {
	organisation, kind := "", kinds.NotReady
	if p.site != nil {
		organisation, kind = p.OrganisationOf(now, e.KeyHash)
	}
	if kind != "" {
		out.Emit(event.Count{Name: "Refusals", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	}
	out.Emit(event.CallAuthorised{Owner: e.Owner, Seq: e.Seq, Organisation: organisation, Kind: kind})
}
