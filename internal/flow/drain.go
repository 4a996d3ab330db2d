package flow

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// drainOwner identifies this component in the DrainBegun and DrainEnded events.
const drainOwner = "Flow"

// drain is the graceful shutdown of a daemon: it reports not ready, accepts requests for the load balancer's delay,
// closes the listener and waits for the remaining requests, until endAt.
type drain struct {
	begun   bool
	closing bool // StopListening was emitted
	closed  bool // the listener has closed
	done    bool
	closeAt time.Duration
	endAt   time.Duration // requests that run then are answered, 0 for never
	ended   bool          // they have been
}

func (d *drain) begin(now, delay, stopTime time.Duration, out *event.Batch) {
	if d.begun {
		return
	}
	d.begun, d.closeAt = true, now+delay
	if stopTime > 0 {
		d.endAt = now + stopTime
	}
	out.Emit(event.BeginDrain{})
	out.Raise(event.DrainBegun{Owner: drainOwner})
}

func (d *drain) tick(now time.Duration, requests int, out *event.Batch) {
	if d.begun && !d.closing && now >= d.closeAt {
		d.closing = true
		out.Emit(event.StopListening{})
	}
	if d.closed && !d.done && requests == 0 {
		d.done = true
		out.Raise(event.Drained{})
		out.Raise(event.DrainEnded{Owner: drainOwner})
	}
}

const (
	// stopAllowance is the time beyond its estimated run that a request needs before the end of the stop.
	stopAllowance = 500 * time.Millisecond
	// onceRunMargin is the factor by which the estimated run of a request is raised that may run only once.
	onceRunMargin = 2
	// unknownRun is the run of a request that may be repeated, while nothing is known of it.
	unknownRun = 2 * time.Second
)

// outlivesStop reports whether a request that starts now may still run at the end of the stop, so that another host should take
// it.
func (p *Component) outlivesStop(now time.Duration, r *request) bool {
	if p.drain.endAt == 0 || r.deadline <= p.drain.endAt {
		return false
	}
	run := p.estimateRun(now, r)
	switch {
	case run > 0 && r.idempotent:
		run = scaleDuration(run, runMargin)
	case run > 0:
		run = scaleDuration(run, onceRunMargin)
	case r.idempotent:
		run = unknownRun
	default:
		return true
	}
	return now+run+stopAllowance > p.drain.endAt
}

// endAtStop answers all requests at the end of the stop, since the process is about to end.
func (p *Component) endAtStop(now time.Duration, out *event.Batch) {
	if p.drain.endAt == 0 || p.drain.ended || now < p.drain.endAt {
		return
	}
	p.drain.ended = true
	for _, r := range p.sortedRequests() {
		p.endRequest(now, r, kinds.Stopping, out)
	}
}
