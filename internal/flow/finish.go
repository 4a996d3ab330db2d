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
	staleGrace   = time.Second // time after the evidence lapsed at which running answers are ended
	leastRetryIn = time.Second
)

// finish answers a request and forgets it.
func (p *Part) finish(now time.Duration, r *request, kind kinds.Kind, out *event.Batch) {
	kind = r.truthOf(kind)
	delete(p.requests, r.id())
	out.Emit(event.AnswerRequest{
		Request:    r.id(),
		Kind:       kind,
		Detail:     r.detail(kind),
		RetryAfter: p.retryAfter(now, r, kind),
		Sample:     r.arrived.Sample,
	})
	p.settle(now, r, kind)
	p.count(r, kind, out)
	p.lineEnd(now, r, kind, out)
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
		PromptTokens:    r.prompt,
		CachedTokens:    r.cached,
		GeneratedTokens: r.made,
		HasUsage:        r.hasUsage,
		Took:            now - r.started,
		Own:             r.arrived.Own,
		Began:           r.began,
	})
}

// truthOf keeps "" for a whole answer.
func (r *request) truthOf(kind kinds.Kind) kinds.Kind {
	if kind == "" {
		return ""
	}
	return r.truth(kind)
}

// detail tells people why the request was told to end, when the kind alone does not.
func (r *request) detail(kind kinds.Kind) string {
	if r.stop != "" && r.stop != kind {
		return "ended by " + string(r.stop)
	}
	return ""
}

// settle charges the true cost. What did not run costs nothing.
func (p *Part) settle(now time.Duration, r *request, kind kinds.Kind) {
	if !r.charged {
		return
	}
	cost := r.item.Cost
	if r.hasUsage {
		cost = r.prompt + r.made
	}
	if kind != "" && !r.mayRun {
		cost = 0
	}
	p.Queue.Correct(r.item, cost)
	p.ledger.Serve(r.organisation, r.class, uint64(cost))
	if kind == "" {
		p.budget.Served(r.route.Name)
		p.pace(r).Done(now, r.item.Cost, now-r.sentAt)
	}
}

func (p *Part) count(r *request, kind kinds.Kind, out *event.Batch) {
	if kind != "" && r.givenUp {
		out.Emit(event.Count{Name: "GivenUp", Tags: r.classTag(), N: 1})
		return
	}
	if kind == "" {
		out.Emit(event.Count{Name: "Answers", Tags: r.classTag(), N: 1})
		return
	}
	out.Emit(event.Count{Name: "Refusals", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	if _, ok := p.organisation(r.organisation); !ok {
		return
	}
	if p.refused[r.organisation] == nil {
		p.refused[r.organisation] = map[kinds.Kind]uint64{}
	}
	p.refused[r.organisation][kind]++
}

func (p *Part) organisation(name string) (config.Organisation, bool) {
	if p.site == nil {
		return config.Organisation{}, false
	}
	o, ok := p.site.Organisations[name]
	return o, ok
}

// retryAfter returns the time in which what waits now will have drained.
func (p *Part) retryAfter(now time.Duration, r *request, kind kinds.Kind) time.Duration {
	if !kinds.Of(kind).RetryAfter {
		return 0
	}
	return max(leastRetryIn, p.wait(now, r))
}

// giveUp ends a request that nobody waits for.
func (p *Part) giveUp(now time.Duration, id uint64, out *event.Batch) {
	if r, ok := p.requests[id]; ok {
		r.givenUp = true
		p.end(now, r, kinds.StreamCut, out)
		p.dispatch(now, out)
	}
}

// end refuses a request that waits and stops one that runs.
func (p *Part) end(now time.Duration, r *request, kind kinds.Kind, out *event.Batch) {
	switch r.phase {
	case queued:
		if p.Queue.Remove(r.item) {
			p.waiting[r.pool]--
		}
		p.finish(now, r, kind, out)
	case backingOff:
		p.backing--
		p.finish(now, r, kind, out)
	case connecting, running:
		p.stop(r, kind, out)
	case stopping:
	}
}

// fire ends the requests whose deadline has come and queues those whose backoff is over.
func (p *Part) fire(now time.Duration, out *event.Batch) {
	for {
		id, ok := p.timers.due(now)
		if !ok {
			return
		}
		r, ok := p.requests[id]
		if !ok {
			continue
		}
		switch {
		case now >= r.deadline:
			p.end(now, r, kinds.DeadlineExceeded, out)
		case r.phase == backingOff:
			p.backing--
			p.enqueue(r, true)
		}
	}
}

// checkKeys ends the requests whose key admits them no longer.
func (p *Part) checkKeys(now time.Duration, out *event.Batch) {
	if p.site == nil {
		return
	}
	for _, r := range p.sorted() {
		if !r.keyed() {
			continue
		}
		kind := p.keyKind(now, r)
		if kind != "" && kind != kinds.AuthorityStale {
			p.end(now, r, kind, out)
		}
	}
	p.dispatch(now, out)
}

// checkTrust refuses what waits when the evidence has lapsed, and ends what runs when it stays so.
func (p *Part) checkTrust(now time.Duration, out *event.Batch) {
	if p.Trust == nil {
		return
	}
	if _, ok := p.Trust.Trusted(now); ok {
		p.staleAt = 0
		return
	}
	if p.staleAt == 0 {
		p.staleAt = now
	}
	for _, r := range p.sorted() {
		if r.keyed() && (!r.runs() || now-p.staleAt >= staleGrace) {
			p.end(now, r, kinds.AuthorityStale, out)
		}
	}
}

func (r *request) runs() bool { return r.phase == running || r.phase == connecting }

// sorted returns the requests by id.
func (p *Part) sorted() []*request {
	all := make([]*request, 0, len(p.requests))
	for _, r := range p.requests {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Compare(a.id(), b.id()) })
	return all
}

// authorise answers for calls that figshift serves itself.
func (p *Part) authorise(now time.Duration, e event.AuthoriseCall, out *event.Batch) {
	organisation, kind := "", kinds.NotReady
	if p.site != nil {
		organisation, kind = p.Holder(now, e.KeyHash)
	}
	if kind != "" {
		out.Emit(event.Count{Name: "Refusals", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	}
	out.Emit(event.CallAuthorised{Owner: e.Owner, Seq: e.Seq, Organisation: organisation, Kind: kind})
}
