package flow

import (
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// dispatch starts queued requests as long as endpoints have free slots, and refuses those that cannot finish in time.
func (p *Component) dispatch(now time.Duration, out *event.Batch) {
	if p.site == nil || !p.startup.open(now) {
		return
	}
	var endpoint *route.Endpoint
	relay := ""
	fits := func(item admit.Item[uint64]) bool {
		r := p.requests[item.Value]
		endpoint, relay = nil, ""
		if p.relayed(now, r) {
			relay = p.pickRelay(now, r)
		} else {
			endpoint = p.pickEndpoint(now, r)
		}
		return endpoint != nil || relay != "" || p.cannotFinishInTime(now, r) || p.outlivesStop(now, r) || p.givenUp(now, r) || p.unplaceable(now, r)
	}
	for {
		item, ok := p.Queue.Pop(fits)
		if !ok {
			return
		}
		r := p.requests[item.Value]
		p.queuedByPool[r.pool]--
		if p.givenUp(now, r) {
			p.Queue.Correct(r.item, 0)
			p.finish(now, r, kinds.EndpointsCrashed, out)
			continue
		}
		if p.cannotFinishInTime(now, r) {
			p.Queue.Correct(r.item, 0)
			p.finish(now, r, kinds.DeadlineTooShort, out)
			continue
		}
		if p.outlivesStop(now, r) {
			p.Queue.Correct(r.item, 0)
			p.finish(now, r, kinds.Stopping, out)
			continue
		}
		if relay != "" {
			p.startRelayed(now, r, relay, out)
			continue
		}
		if endpoint == nil {
			p.Queue.Correct(r.item, 0)
			p.finish(now, r, kinds.StreamUnresumable, out)
			continue
		}
		p.startAttempt(now, r, endpoint, out)
	}
}

// pickEndpoint returns an endpoint for the request, nil when none is free.
func (p *Component) pickEndpoint(now time.Duration, r *request) *route.Endpoint {
	isolated, required, ok := p.isolated(now, r)
	if !ok {
		return nil
	}
	if e := p.pickAmong(now, r, isolated); e != nil || required || len(p.isolation.endpoints) == 0 {
		return e
	}
	return p.pickAmong(now, r, func(*route.Endpoint) bool { return true })
}

// pickAmong returns an endpoint that suits for the request, nil when none is free.
func (p *Component) pickAmong(now time.Duration, r *request, suits func(e *route.Endpoint) bool) *route.Endpoint {
	candidates := p.table.Candidates(now, route.Requirements{
		Pool:       r.pool,
		Zone:       p.Zone,
		Price:      preferredPrice(r.class),
		MinVersion: r.arrived.MinVersion,
		Avoid:      append(slices.Clone(r.arrived.Avoid), r.triedEndpoints...),
		MaxRunning: p.site.Limits.ConcurrencyPerNode,
		Software:   r.software,
		LeaveRoom:  r.route.Streaming && r.software == nil,
		Allows: func(e *route.Endpoint) bool {
			return suits(e) && p.Limits.Allowance(now, markOf(e), limit.Requests).Allows()
		},
	})
	if len(candidates) == 0 {
		return nil
	}
	return p.Picker.Pick(now, candidates, r.arrived.Prefix)
}

// preferredPrice returns the price of the endpoints that a class prefers, "" for no preference.
func preferredPrice(class config.Class) wire.Price {
	switch class {
	case config.Rollout:
		return wire.Cheap
	case config.Interactive:
		return wire.OnDemand
	default:
		return ""
	}
}

func (p *Component) startAttempt(now time.Duration, r *request, e *route.Endpoint, out *event.Batch) {
	p.beginAttempt(now, r, out)
	p.table.AttemptStarted(e, r.item.Cost)
	p.Limits.Take(now, markOf(e), limit.Requests, 1)
	identify := (r.route.Streaming || r.generation) && e.Software != ""
	if identify {
		p.Limits.Take(now, markOf(e), limit.Polls, 1) // such a request has a connection of its own
	}
	p.beginIsolation(now, r, markOf(e))
	r.endpoint, r.incarnation, r.price, r.sentTo = e.Name, e.Incarnation, string(e.Price), e.Endpoint
	p.logRequest(now, r, "RequestSent", out, event.Field{Key: "Endpoint", Value: e.Name}, event.Field{Key: "Software", Value: e.Software}, event.Field{Key: "Try", Value: strconv.Itoa(r.attempts)},
		event.Field{Key: "LeftMS", Value: formatMillis(r.deadline - now)}, event.Field{Key: "Work", Value: strconv.Itoa(int(e.Work(now)))},
		event.Field{Key: "LastEvent", Value: r.arrived.LastEvent}, event.Field{Key: "Resumes", Value: r.arrived.Resumes})
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
		Identify:     identify,
		PassErrors:   !p.mayRetry(now, r),
		Brief:        r.arrived.Own && r.arrived.Pass == nil,
		Deadline:     r.deadline,
		AnswerBy:     p.answerBy(now, r),
		Sample:       r.arrived.Sample,
	})
}

// firstAnswerShare is the share of the time for a call of this host's own within which its first attempt must be answered. The
// rest is left to another endpoint.
const firstAnswerShare = 1.0 / 3

// answerBy returns the time by which an endpoint must have begun to answer the attempt that starts, 0 for none. A caller's request
// has none: its endpoint may take as long as the caller waits.
func (p *Component) answerBy(now time.Duration, r *request) time.Duration {
	if !r.arrived.Own || r.arrived.Pass != nil || r.attempts > 1 || !p.mayRetry(now, r) {
		return 0
	}
	return now + time.Duration(float64(r.deadline-now)*firstAnswerShare)
}

// beginAttempt numbers the next attempt at a request.
func (p *Component) beginAttempt(now time.Duration, r *request, out *event.Batch) {
	p.lastAttempt++
	r.attempt, r.phase = p.lastAttempt, connecting
	if r.attempts == 0 {
		out.Emit(event.Observe{Name: "QueueTime", Tags: r.classTags(), Took: now - r.arrivedAt})
	}
	r.attempts++
	r.sentAt, r.charged, r.headSeen, r.rerouted, r.relay = now, true, false, false, ""
}

// pathFor returns the path to call at the endpoint, "" for the caller's own path.
func pathFor(r *request) string {
	if r.generation {
		return wire.PathGenerate
	}
	return ""
}

// priority returns the priority of a class for engines; a greater number goes first.
func priority(class config.Class) int {
	return len(admit.Classes) - slices.Index(admit.Classes, class)
}

// mayRetry reports whether a failed attempt could be followed by another one.
func (p *Component) mayRetry(now time.Duration, r *request) bool {
	return r.idempotent && r.attempts < p.maxAttempts(r) && now < r.deadline
}

// maxAttempts returns the maximum number of attempts for a request.
func (p *Component) maxAttempts(r *request) int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return p.site.Retry.MaxAttempts
}

// handleConnected checks the key and the trust in the authority again before the first byte is written.
func (p *Component) handleConnected(now time.Duration, e event.AttemptConnected, out *event.Batch) {
	r, ok := p.requests[e.Request]
	if !ok || r.attempt != e.Attempt || r.phase != connecting {
		return
	}
	sendBefore := r.deadline
	if r.needsKey() || r.arrived.Sample != nil {
		trustedUntil, kind := p.checkAuthority(now, r)
		if kind != "" {
			p.stopAttempt(r, kind, out)
			return
		}
		sendBefore = min(sendBefore, trustedUntil)
	}
	r.phase = running
	if r.arrived.Sample != nil {
		out.Raise(event.SampleSent{Request: r.id(), Endpoint: r.endpoint})
	}
	out.Emit(event.SendAttempt{Request: r.id(), Attempt: r.attempt, Before: sendBefore})
}

// checkAuthority returns the time until which the request may be sent, or why it may not be sent: keys and configuration
// are no longer known to be current, or the key is refused.
func (p *Component) checkAuthority(now time.Duration, r *request) (time.Duration, kinds.Kind) {
	trustedUntil, ok := p.Trust.Trusted(now)
	if !ok {
		return 0, kinds.AuthorityStale
	}
	if !r.needsKey() {
		return trustedUntil, ""
	}
	return trustedUntil, p.keyRefusal(now, r)
}

// keyRefusal returns why the request's key is no longer accepted, "" while it is.
func (p *Component) keyRefusal(now time.Duration, r *request) kinds.Kind {
	organisation, kind := p.OrganisationOf(now, r.arrived.KeyHash)
	if kind == "" && organisation != r.organisation {
		return kinds.KeyWithdrawn
	}
	return kind
}

// stopAttempt stops the running attempt; the request is answered with kind once AttemptDone arrives.
func (p *Component) stopAttempt(r *request, kind kinds.Kind, out *event.Batch) {
	r.stopKind, r.phase = kind, stopping
	out.Emit(event.StopAttempt{Request: r.id(), Attempt: r.attempt})
}

func (p *Component) handleHead(now time.Duration, e event.AttemptHead, out *event.Batch) {
	r, ok := p.requests[e.Request]
	if !ok || r.attempt != e.Attempt {
		return
	}
	r.headSeen = true
	if e.Leaving {
		p.markLeaving(now, wire.LeaveMark{Endpoint: r.endpoint, Incarnation: r.incarnation}, out)
	}
	if e.Load >= 0 {
		p.table.ApplyLoad(now, wire.LoadReport{Endpoint: r.endpoint, Incarnation: r.incarnation, Tokens: e.Load})
	}
}

// handleAttemptDone finishes the request or schedules a retry. The ends of earlier attempts are ignored.
func (p *Component) handleAttemptDone(now time.Duration, e event.AttemptDone, out *event.Batch) {
	r, ok := p.requests[e.Request]
	if !ok || r.attempt != e.Attempt || r.waits() {
		return
	}
	mark := wire.LeaveMark{Endpoint: r.endpoint, Incarnation: r.incarnation}
	p.endRelay(r)
	p.observeEnd(now, r, mark, e, out)
	p.table.AttemptEnded(now, mark, r.item.Cost, attemptResult(e))
	if e.Leaving {
		p.markLeaving(now, mark, out)
	}
	r.addResult(e)
	if e.Begun && r.generation && r.software == nil {
		r.bind(r.sentTo.Software)
	}
	if e.Run == kinds.Ran || e.Run == kinds.Unknown && e.Status != 0 {
		r.workStartedAt = r.sentAt
	}
	out.Emit(event.Observe{Name: "AttemptTime", Tags: r.classTags(), Took: now - r.sentAt})
	switch {
	case e.Whole:
		p.finish(now, r, "", out)
	case r.rerouted && !e.Begun && (r.idempotent || e.Run == kinds.NotRun):
		p.reroute(now, r)
	case r.stopKind != "":
		p.finish(now, r, r.stopKind, out)
	case takesNoCalls(r, e) && p.passElsewhere(now, r):
	case e.Refusal == kinds.NoEndpoint && r.attempts == 1:
		p.finish(now, r, kinds.NoEndpoint, out) // at once, as a request that arrives where no endpoint is left
	case !p.scheduleRetry(now, r, e, out):
		p.finish(now, r, p.failureKind(now, e), out)
	}
	p.dispatch(now, out)
}

func attemptResult(e event.AttemptDone) route.Result {
	switch e.Reason {
	case "":
		return route.Succeeded
	case event.ReasonRefused:
		return route.Refused
	case event.ReasonDial, event.ReasonBroken, event.ReasonSilent, event.ReasonStatus, event.ReasonCut:
		return route.Failed
	default:
		return route.Inconclusive
	}
}

// scheduleRetry starts the backoff before another attempt and reports whether one is allowed.
func (p *Component) scheduleRetry(now time.Duration, r *request, e event.AttemptDone, out *event.Batch) bool {
	if !safeToRetry(r, e) || r.attempts >= p.maxAttempts(r) || p.givenUp(now, r) {
		return false
	}
	if r.software != nil && !p.table.ServesSoftware(now, r.pool, *r.software) {
		return false
	}
	backoff := retry.Backoff(p.Random, p.site.Retry.Backoff, r.attempts)
	if now+backoff >= r.deadline || p.outlivesStop(now+backoff, r) || !p.budget.Take(r.route.Name) {
		return false
	}
	if r.relay != "" {
		r.triedRelays = append(r.triedRelays, r.relay)
	} else {
		r.triedEndpoints = append(r.triedEndpoints, r.endpoint)
	}
	r.phase, r.charged = backingOff, false
	p.pendingRetries++
	p.Queue.Correct(r.item, 0)
	p.timers.add(now+backoff, r.id())
	out.Emit(event.Count{Name: "Retries", Tags: []event.Field{{Key: "Reason", Value: e.Reason}}, N: 1})
	p.logRequest(now, r, "RequestRetried", out, event.Field{Key: "Endpoint", Value: r.endpoint}, event.Field{Key: "Reason", Value: e.Reason},
		event.Field{Key: "Status", Value: strconv.Itoa(e.Status)}, event.Field{Key: "WaitMS", Value: formatMillis(backoff)})
	return true
}

// safeToRetry reports whether another attempt does no harm: the request was not run or is idempotent, and an answer that
// has started can be resumed.
func safeToRetry(r *request, e event.AttemptDone) bool {
	switch e.Reason {
	case event.ReasonDial, event.ReasonRefused:
		return e.Run == kinds.NotRun
	case event.ReasonBroken, event.ReasonSilent, event.ReasonForeign, event.ReasonStatus, event.ReasonCut:
		return (r.idempotent || e.Run == kinds.NotRun) && (!e.Begun || e.CanResume)
	default:
		return false
	}
}

// failureKind returns the kind to answer with after a failed attempt that is not retried.
func (p *Component) failureKind(now time.Duration, e event.AttemptDone) kinds.Kind {
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
	case event.ReasonCut, event.ReasonCallerWrite:
		return kinds.StreamCut
	case event.ReasonBodyMissing:
		return kinds.NotFound
	}
	if e.Run == kinds.NotRun {
		return kinds.EndpointRefused
	}
	return kinds.OutcomeUnknown
}
