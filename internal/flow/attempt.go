package flow

import (
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// dispatch starts queued requests while endpoints are free.
func (p *Part) dispatch(now time.Duration, out *event.Batch) {
	if p.site == nil || !p.peers.told(now) {
		return
	}
	var found *route.Endpoint
	fits := func(item admit.Item[uint64]) bool {
		r := p.requests[item.Value]
		found = p.pick(now, r)
		return found != nil || p.hopeless(now, r)
	}
	for {
		item, ok := p.Queue.Pop(fits)
		if !ok {
			return
		}
		r := p.requests[item.Value]
		p.waiting[r.pool]--
		if p.hopeless(now, r) {
			p.Queue.Correct(r.item, 0)
			p.finish(now, r, kinds.DeadlineTooShort, out)
			continue
		}
		p.start(now, r, found, out)
	}
}

// pick returns an endpoint for the request, nil when none is free.
func (p *Part) pick(now time.Duration, r *request) *route.Endpoint {
	candidates := p.table.Candidates(now, route.Want{
		Pool:       r.pool,
		Zone:       p.Zone,
		Price:      price(r.class),
		MinVersion: r.arrived.MinVersion,
		Avoid:      append(slices.Clone(r.arrived.Avoid), r.tried...),
		Limit:      p.site.Limits.ConcurrencyPerNode,
	})
	if len(candidates) == 0 {
		return nil
	}
	return p.Picker.Pick(now, candidates, r.arrived.Prefix)
}

// price returns the price of the endpoints that go first for a class, "" for any.
func price(class config.Class) wire.Price {
	switch class {
	case config.Rollout:
		return wire.Cheap
	case config.Interactive:
		return wire.OnDemand
	default:
		return ""
	}
}

func (p *Part) start(now time.Duration, r *request, e *route.Endpoint, out *event.Batch) {
	p.attempts++
	p.table.Start(e, r.item.Cost)
	r.attempt, r.phase = p.attempts, connecting
	if r.tries == 0 {
		out.Emit(event.Observe{Name: "QueueTime", Tags: r.classTag(), Took: now - r.started})
	}
	r.tries++
	r.sentAt, r.charged = now, true
	r.endpoint, r.incarnation, r.price = e.Name, e.Incarnation, string(e.Price)
	p.line(now, r, "RequestSent", out, event.Field{Key: "Endpoint", Value: e.Name}, event.Field{Key: "Try", Value: strconv.Itoa(r.tries)},
		event.Field{Key: "LeftMS", Value: ms(r.deadline - now)}, event.Field{Key: "Work", Value: strconv.Itoa(int(e.Work(now)))})
	out.Emit(event.StartAttempt{
		Request:      r.id(),
		Attempt:      r.attempt,
		Endpoint:     e.Name,
		Incarnation:  e.Incarnation,
		Address:      e.Address,
		Path:         pathFor(r),
		Organisation: r.organisation,
		Model:        e.Model,
		Priority:     priority(r.class),
		Idempotent:   r.idempotent,
		Generation:   r.generation,
		PassErrors:   !p.mayRetry(now, r),
		Deadline:     r.deadline,
		Sample:       r.arrived.Sample,
	})
}

func pathFor(r *request) string {
	if r.generation {
		return wire.PathGenerate
	}
	return ""
}

func priority(class config.Class) int {
	return len(admit.Classes) - slices.Index(admit.Classes, class)
}

// mayRetry reports whether a failed attempt could be followed by another one.
func (p *Part) mayRetry(now time.Duration, r *request) bool {
	return r.idempotent && r.tries < p.mostTries(r) && now < r.deadline
}

// mostTries returns the number of endpoints that a request may be sent to.
func (p *Part) mostTries(r *request) int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return p.site.Retry.MaxAttempts
}

// connected checks the evidence again before the first byte goes out.
func (p *Part) connected(now time.Duration, e event.AttemptConnected, out *event.Batch) {
	r, ok := p.requests[e.Request]
	if !ok || r.attempt != e.Attempt || r.phase != connecting {
		return
	}
	before := r.deadline
	if r.keyed() || r.arrived.Sample != nil {
		until, kind := p.evidence(now, r)
		if kind != "" {
			p.stop(r, kind, out)
			return
		}
		before = min(before, until)
	}
	r.phase = running
	if r.arrived.Sample != nil {
		out.Raise(event.SampleSent{Request: r.id(), Endpoint: r.endpoint})
	}
	out.Emit(event.SendAttempt{Request: r.id(), Attempt: r.attempt, Before: before})
}

// evidence returns until when the request may be sent, or why it may not.
func (p *Part) evidence(now time.Duration, r *request) (time.Duration, kinds.Kind) {
	until, ok := p.Trust.Trusted(now)
	if !ok {
		return 0, kinds.AuthorityStale
	}
	if !r.keyed() {
		return until, ""
	}
	return until, p.keyKind(now, r)
}

// keyKind returns why the request's key admits it no longer, "" while it does.
func (p *Part) keyKind(now time.Duration, r *request) kinds.Kind {
	organisation, kind := p.Holder(now, r.arrived.KeyHash)
	if kind == "" && organisation != r.organisation {
		return kinds.KeyWithdrawn
	}
	return kind
}

// stop ends the running attempt; the request is answered with kind once the attempt has ended.
func (p *Part) stop(r *request, kind kinds.Kind, out *event.Batch) {
	r.stop, r.phase = kind, stopping
	out.Emit(event.StopAttempt{Request: r.id(), Attempt: r.attempt})
}

func (p *Part) head(now time.Duration, e event.AttemptHead, out *event.Batch) {
	r, ok := p.requests[e.Request]
	if !ok || r.attempt != e.Attempt {
		return
	}
	if e.Leaving {
		p.leave(now, wire.LeaveMark{Endpoint: r.endpoint, Incarnation: r.incarnation}, out)
	}
	if e.Load >= 0 {
		p.table.Report(now, wire.LoadReport{Endpoint: r.endpoint, Incarnation: r.incarnation, Tokens: e.Load})
	}
}

// attemptDone ends the request or tries again. Ends of former attempts are dropped.
func (p *Part) attemptDone(now time.Duration, e event.AttemptDone, out *event.Batch) {
	r, ok := p.requests[e.Request]
	if !ok || r.attempt != e.Attempt || r.phase == queued || r.phase == backingOff {
		return
	}
	id := wire.LeaveMark{Endpoint: r.endpoint, Incarnation: r.incarnation}
	p.table.End(now, id, r.item.Cost, health(e))
	if e.Leaving {
		p.leave(now, id, out)
	}
	r.add(e)
	if e.Run == kinds.Ran || e.Run == kinds.Unknown && e.Status != 0 {
		r.began = r.sentAt
	}
	out.Emit(event.Observe{Name: "AttemptTime", Tags: r.classTag(), Took: now - r.sentAt})
	switch {
	case e.Whole:
		p.finish(now, r, "", out)
	case r.stop != "":
		p.finish(now, r, r.stop, out)
	case !p.retry(now, r, e, out):
		p.finish(now, r, p.failure(now, e), out)
	}
	p.dispatch(now, out)
}

func health(e event.AttemptDone) route.Result {
	switch e.Reason {
	case "":
		return route.Succeeded
	case event.ReasonRefused:
		return route.Refusing
	case event.ReasonDial, event.ReasonBroken, event.ReasonStatus, event.ReasonCut:
		return route.Failed
	default:
		return route.Undecided
	}
}

// retry starts the wait before another attempt and reports whether one is allowed.
func (p *Part) retry(now time.Duration, r *request, e event.AttemptDone, out *event.Batch) bool {
	if !repeatable(r, e) || r.tries >= p.mostTries(r) {
		return false
	}
	wait := retry.Backoff(p.Random, p.site.Retry.Backoff, r.tries)
	if now+wait >= r.deadline || !p.budget.Take(r.route.Name) {
		return false
	}
	r.tried = append(r.tried, r.endpoint)
	r.phase, r.charged = backingOff, false
	p.backing++
	p.Queue.Correct(r.item, 0)
	p.timers.add(now+wait, r.id())
	out.Emit(event.Count{Name: "Retries", Tags: []event.Field{{Key: "Reason", Value: e.Reason}}, N: 1})
	p.line(now, r, "RequestRetried", out, event.Field{Key: "Endpoint", Value: r.endpoint}, event.Field{Key: "Reason", Value: e.Reason},
		event.Field{Key: "Status", Value: strconv.Itoa(e.Status)}, event.Field{Key: "WaitMS", Value: ms(wait)})
	return true
}

// repeatable reports whether another attempt can do no harm.
func repeatable(r *request, e event.AttemptDone) bool {
	switch e.Reason {
	case event.ReasonDial, event.ReasonRefused:
		return e.Run == kinds.NotRun
	case event.ReasonBroken, event.ReasonStatus, event.ReasonCut:
		return (r.idempotent || e.Run == kinds.NotRun) && (!e.Begun || e.CanResume)
	default:
		return false
	}
}

// failure returns the kind for an attempt that is not tried again.
func (p *Part) failure(now time.Duration, e event.AttemptDone) kinds.Kind {
	switch e.Reason {
	case event.ReasonDial, event.ReasonRefused:
		return kinds.EndpointRefused
	case event.ReasonExpired:
		if _, ok := p.Trust.Trusted(now); !ok {
			return kinds.AuthorityStale
		}
		return kinds.DeadlineExceeded
	case event.ReasonStopped:
		return kinds.DeadlineExceeded
	case event.ReasonCut, event.ReasonCaller:
		return kinds.StreamCut
	case event.ReasonGone:
		return kinds.NotFound
	}
	if e.Run == kinds.NotRun {
		return kinds.EndpointRefused
	}
	return kinds.OutcomeUnknown
}
