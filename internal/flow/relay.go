package flow

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// overdueTime is the time without the head of an answer after which it matters whether endpoints are reached at all.
const overdueTime = 200 * time.Millisecond

// relayed reports whether a request goes through another host, since this one reaches no endpoint. A call that was passed on
// is never passed on again.
func (p *Component) relayed(now time.Duration, r *request) bool {
	return r.arrived.Pass == nil && r.arrived.Sample == nil && !r.generation && p.Links.CutOff(now)
}

// relayPause is the time for which a host that takes no calls gets none while there are others. Since it refuses at once, it
// would always be the one with the fewest calls under way.
const relayPause = time.Second

// pickRelay returns the host through which a request goes: of those that reach endpoints the one that has the fewest calls of
// this host. Hosts that were tried before, or that have just taken no call, come last.
func (p *Component) pickRelay(now time.Duration, r *request) string {
	relays := p.Links.Relays(now)
	for _, last := range []func(host string) bool{
		func(host string) bool { return slices.Contains(r.triedRelays, host) },
		func(host string) bool { return now < p.relayPausedUntil[host] },
	} {
		if first := slices.DeleteFunc(slices.Clone(relays), last); len(first) > 0 {
			relays = first
		}
	}
	if len(relays) == 0 {
		return ""
	}
	best := relays[p.Random.IntN(len(relays))]
	for _, host := range relays {
		if p.passed[host] < p.passed[best] {
			best = host
		}
	}
	return best
}

// startRelayed starts an attempt at a request through another host.
func (p *Component) startRelayed(now time.Duration, r *request, relay string, out *event.Batch) {
	p.beginAttempt(now, r, out)
	p.passed[relay]++
	r.relay, r.endpoint, r.incarnation, r.price, r.sentTo = relay, "", "", "", wire.Endpoint{}
	p.logRequest(now, r, "RequestPassed", out, event.Field{Key: "Relay", Value: relay}, event.Field{Key: "LeftMS", Value: formatMillis(r.deadline - now)})
	out.Emit(event.Count{Name: "RequestsPassed", N: 1})
	terms := wire.PassTerms{
		Service: r.service, Class: string(r.class), Idempotent: r.idempotent, Streaming: r.route.Streaming, TargetMS: r.route.Target.Milliseconds(),
		Resumes: r.arrived.Resumes, Again: r.attempts > 1, Tokens: r.arrived.Tokens, Digest: r.arrived.Digest,
	}
	if r.software != nil {
		terms.Bound, terms.Software = true, *r.software
	}
	out.Emit(event.StartAttempt{
		Request: r.id(), Attempt: r.attempt, Organisation: r.organisation, Idempotent: r.idempotent, PassErrors: !p.mayRetry(now, r),
		Deadline: r.deadline, Relay: relay, Pass: &terms,
	})
}

// identifyPassed takes over what another host has decided about a call that it passes on, or returns why it is refused.
func (p *Component) identifyPassed(now time.Duration, r *request) kinds.Kind {
	terms := r.arrived.Pass
	if p.drain.closing {
		return kinds.Stopping
	}
	if p.Links.CutOff(now) {
		return kinds.EndpointsUnreached
	}
	r.organisation, r.class, r.idempotent = r.arrived.Organisation, r.arrived.Class, terms.Idempotent
	r.service, r.pool = terms.Service, route.ServicePool(terms.Service)
	r.route = config.Route{
		Service: terms.Service, Class: r.class, Open: true, Idempotent: terms.Idempotent, Streaming: terms.Streaming, MaxAttempts: 1,
		Target: time.Duration(terms.TargetMS) * time.Millisecond,
	}
	if terms.Bound {
		r.bind(terms.Software)
	}
	r.deadline = r.arrived.Deadline
	return ""
}

// handleLinksChanged drops what this host took for the state of the endpoints. When it is cut off, it ends the attempts whose
// requests may go through another host, and those that other hosts have passed on.
func (p *Component) handleLinksChanged(now time.Duration, e event.LinksChanged, out *event.Batch) {
	p.table.ForgetFailures()
	if !e.CutOff {
		p.dispatch(now, out)
		return
	}
	for _, r := range p.sortedRequests() {
		switch {
		case !r.attemptActive() || r.headSeen || r.relay != "" || r.phase == running && !r.idempotent:
		case r.arrived.Pass != nil:
			p.endRequest(now, r, kinds.EndpointsUnreached, out)
		case p.relayed(now, r):
			r.rerouted, r.phase = true, stopping
			out.Emit(event.StopAttempt{Request: r.id(), Attempt: r.attempt})
		}
	}
	p.dispatch(now, out)
}

// takesNoCalls reports whether an attempt through another host ended since that host takes no calls, whatever they are.
func takesNoCalls(r *request, e event.AttemptDone) bool {
	if r.relay == "" || e.Run != kinds.NotRun {
		return false
	}
	switch e.Refusal {
	case kinds.Stopping, kinds.EndpointsUnreached, kinds.NotReady:
		return true
	default:
		return e.Reason == event.ReasonDial || e.Refusal == "" && e.Reason == event.ReasonRefused
	}
}

// passElsewhere queues a request for another host after one that takes no calls, and reports whether there is one that was
// not tried. No endpoint has seen the request, so that it costs no attempt.
func (p *Component) passElsewhere(now time.Duration, r *request) bool {
	if p.relayPausedUntil == nil {
		p.relayPausedUntil = map[string]time.Duration{}
	}
	p.relayPausedUntil[r.relay] = now + relayPause
	r.triedRelays = append(r.triedRelays, r.relay)
	if !slices.ContainsFunc(p.Links.Relays(now), func(host string) bool { return !slices.Contains(r.triedRelays, host) }) {
		return false
	}
	p.reroute(now, r)
	return true
}

// reroute queues a request whose attempt was ended because this host is cut off.
func (p *Component) reroute(now time.Duration, r *request) {
	r.attempts--
	r.charged = false
	p.Queue.Correct(r.item, 0)
	p.enqueue(now, r, true)
}

// checkOverdue has the links checked when an attempt waits for long while nothing is heard of any endpoint.
func (p *Component) checkOverdue(now time.Duration) {
	for _, r := range p.requests {
		if r.attemptActive() && !r.headSeen && r.relay == "" && now-r.sentAt >= overdueTime {
			p.Links.Waiting(r.sentAt)
		}
	}
}

// endRelay counts the end of an attempt through another host.
func (p *Component) endRelay(r *request) {
	if r.relay == "" {
		return
	}
	if p.passed[r.relay]--; p.passed[r.relay] <= 0 {
		delete(p.passed, r.relay)
	}
}
