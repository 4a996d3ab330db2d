package reach

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

// round is a number of probes that are made at once.
type round struct {
	open             map[wire.LeaveMark]bool
	asked, answered  int
	decides          bool // the probes use new connections
	until, startedAt time.Duration
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	if p.round.open != nil {
		if now >= p.round.until {
			p.endRound(now, out)
		}
		return
	}
	quiet := now-max(p.contactAt, p.roundAt) >= quietTime
	late := p.waiting > p.contactAt && now-p.roundAt >= roundPause
	p.waiting = 0
	switch {
	case p.kept == nil:
	case p.cutOff && now-p.roundAt >= cutPause:
		p.startRound(now, trialSize, out)
	case p.cutOff:
	case p.alarmed && now-p.roundAt >= roundPause:
		p.startRound(now, roundSize, out)
	case quiet || late:
		p.probeKept(now, out)
	}
}

// Doubt takes that a connection to an endpoint failed. One endpoint may be down; when several fail at once, they are probed.
func (p *Component) Doubt(now time.Duration, endpoint wire.LeaveMark) {
	if p.failed == nil {
		p.failed = map[wire.LeaveMark]time.Duration{}
	}
	p.failed[endpoint] = now
	for id, at := range p.failed {
		if now-at > doubtMemory {
			delete(p.failed, id)
		}
	}
	p.alarmed = p.alarmed || len(p.failed) >= doubtedEndpoints
}

// Waiting takes that something was sent to an endpoint at the time sent and is not answered yet, although it is late.
func (p *Component) Waiting(sent time.Duration) { p.waiting = max(p.waiting, sent) }

// probeKept probes one endpoint on a kept connection, which costs little. When it doesn't answer, several are probed.
func (p *Component) probeKept(now time.Duration, out *event.Batch) {
	p.roundAt = now
	p.round = round{open: map[wire.LeaveMark]bool{}, until: now + probeTimeout, startedAt: now}
	for _, endpoints := range append([][]wire.Endpoint{{*p.kept}}, p.services...) {
		i := slices.IndexFunc(endpoints, func(e wire.Endpoint) bool { return !p.limited(now, e) })
		if i >= 0 {
			p.probe(endpoints[i], true, out)
			return
		}
	}
	p.dropEmptyRound()
}

// probe adds an endpoint to the round.
func (p *Component) probe(e wire.Endpoint, kept bool, out *event.Batch) {
	p.round.open[markOf(e)] = true
	p.round.asked++
	out.Emit(event.ProbeEndpoint{Endpoint: e.Name, Incarnation: e.Incarnation, Address: e.Address, Kept: kept, Timeout: probeTimeout})
}

// limited reports whether an endpoint names a limit. What it takes is left to requests.
func (p *Component) limited(now time.Duration, e wire.Endpoint) bool {
	return p.Limits != nil && p.Limits.Allowance(now, markOf(e), limit.Polls).Limited
}

func (p *Component) dropEmptyRound() {
	if p.round.asked == 0 {
		p.round = round{}
	}
}

func markOf(e wire.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

// startRound probes a number of endpoints, and one of each service at least, so that the round tells the links from a service
// that is down.
func (p *Component) startRound(now time.Duration, size int, out *event.Batch) {
	p.alarmed, p.roundAt = false, now
	clear(p.failed)
	p.round = round{open: map[wire.LeaveMark]bool{}, decides: true, until: now + probeTimeout, startedAt: now}
	size = max(size, len(p.services))
	perService := (size + len(p.services) - 1) / len(p.services)
	p.rounds++
	for n := range size {
		endpoints := p.services[n%len(p.services)]
		first := p.rounds*perService + n/len(p.services)
		for i := range endpoints {
			if e := endpoints[(first+i)%len(endpoints)]; !p.round.open[markOf(e)] && !p.limited(now, e) {
				p.probe(e, false, out)
				break
			}
		}
	}
	p.dropEmptyRound()
}

func (p *Component) handleProbed(now time.Duration, e event.EndpointProbed, out *event.Batch) {
	if e.Answered {
		p.contactAt = now
	}
	id := wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}
	if !p.round.open[id] {
		return
	}
	delete(p.round.open, id)
	if e.Answered {
		p.round.answered++
	}
	if len(p.round.open) == 0 {
		p.endRound(now, out)
	}
}

// endRound decides by a round of probes, whose open ones count as failed.
func (p *Component) endRound(now time.Duration, out *event.Batch) {
	ended := p.round
	p.round = round{}
	switch {
	case p.cutOff && ended.answered == 0:
		p.healed = 0
	case p.cutOff:
		if p.healed++; p.healed >= healedRounds {
			p.setCutOff(now, false, ended, out)
		}
	case !ended.decides && ended.answered == 0:
		p.alarmed, p.roundAt = true, now-roundPause // the next round asks more of them at once
	case ended.decides && ended.answered == 0 && len(p.Relays(now)) > 0:
		p.setCutOff(now, true, ended, out)
	}
}
