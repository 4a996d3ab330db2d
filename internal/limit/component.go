package limit

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// useInterval is the interval at which this host's requests to a limited endpoint are logged.
	useInterval = 4 * time.Second
	// unlistedRetention is the time for which the limit of an endpoint that is no longer listed is kept.
	unlistedRetention = time.Minute
)

// Component is the component of the reducer that knows the limits of endpoints. It must not be used concurrently.
type Component struct {
	limits map[wire.LeaveMark]*limit
}

// limit is the limit of one incarnation of an endpoint.
type limit struct {
	endpoint  wire.LeaveMark
	perSecond float64
	lifted    bool
	at        time.Duration // when the newest answer that named it arrived
	sent      [sourceCount]int
	loggedAt  time.Duration // when the requests were last logged
	listedAt  time.Duration // when the incarnation was last in the endpoint list
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.EndpointAnswered:
		p.handleAnswered(now, e, out)
	case event.EndpointsListed:
		p.dropUnlisted(now, e.List.Endpoints)
	case event.Tick:
		p.logUse(now, out)
	}
}

// handleAnswered applies what an answer says of its endpoint's limit.
func (p *Component) handleAnswered(now time.Duration, e event.EndpointAnswered, out *event.Batch) {
	id := wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}
	if e.Malformed != "" {
		out.Emit(event.Count{Name: "LimitsMalformed", N: 1})
		out.Emit(event.Log{Level: "warn", Event: "LimitMalformed", Fields: []event.Field{
			{Key: "Endpoint", Value: e.Endpoint}, {Key: "Value", Value: strconv.Quote(e.Malformed)},
		}})
		return
	}
	if e.Limited {
		p.name(now, id, e.PerSecond, out)
		return
	}
	// An answer to an earlier request may have been made before the endpoint named its limit.
	if l := p.limits[id]; l != nil && !l.lifted && e.Sent > l.at {
		p.lift(now, l, out)
	}
}

// name applies a limit that an endpoint has just named.
func (p *Component) name(now time.Duration, id wire.LeaveMark, perSecond float64, out *event.Batch) {
	l := p.limits[id]
	if l == nil {
		l = &limit{endpoint: id, lifted: true, listedAt: now}
		if p.limits == nil {
			p.limits = map[wire.LeaveMark]*limit{}
		}
		p.limits[id] = l
	}
	if l.lifted || l.perSecond != perSecond {
		out.Emit(event.Log{Level: "info", Event: "EndpointLimited", Fields: []event.Field{
			{Key: "Endpoint", Value: id.Endpoint}, {Key: "PerSecond", Value: formatRate(perSecond)},
		}})
	}
	if l.lifted {
		l.sent, l.loggedAt = [sourceCount]int{}, now
	}
	l.lifted, l.perSecond, l.at = false, perSecond, now
}

// lift ends a limit, as the endpoint no longer names one.
func (p *Component) lift(now time.Duration, l *limit, out *event.Batch) {
	p.logUseOf(now, l, out)
	l.lifted = true
	out.Emit(event.Log{Level: "info", Event: "EndpointLimitLifted", Fields: []event.Field{{Key: "Endpoint", Value: l.endpoint.Endpoint}}})
}

// Take counts n requests that are sent to an endpoint now.
func (p *Component) Take(_ time.Duration, endpoint wire.LeaveMark, source Source, n int) {
	if l := p.limits[endpoint]; l != nil {
		l.sent[source] += n
	}
}

// logUse logs, every useInterval, what this host has sent to each limited endpoint.
func (p *Component) logUse(now time.Duration, out *event.Batch) {
	for _, l := range p.sorted() {
		if !l.lifted && now-l.loggedAt >= useInterval {
			p.logUseOf(now, l, out)
		}
	}
}

func (p *Component) logUseOf(now time.Duration, l *limit, out *event.Batch) {
	fields := []event.Field{
		{Key: "Endpoint", Value: l.endpoint.Endpoint},
		{Key: "PerSecond", Value: formatRate(l.perSecond)},
		{Key: "ForMS", Value: strconv.FormatInt((now - l.loggedAt).Milliseconds(), 10)},
	}
	for source, n := range l.sent {
		fields = append(fields, event.Field{Key: sourceNames[source], Value: strconv.Itoa(n)})
	}
	out.Emit(event.Log{Level: "info", Event: "LimitUse", Fields: fields})
	l.sent, l.loggedAt = [sourceCount]int{}, now
}

// sorted returns the limits, sorted by endpoint.
func (p *Component) sorted() []*limit {
	if len(p.limits) == 0 {
		return nil
	}
	all := make([]*limit, 0, len(p.limits))
	for _, l := range p.limits {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b *limit) int {
		return cmp.Or(cmp.Compare(a.endpoint.Endpoint, b.endpoint.Endpoint), cmp.Compare(a.endpoint.Incarnation, b.endpoint.Incarnation))
	})
	return all
}

// dropUnlisted forgets the limits of incarnations that have not been listed for unlistedRetention.
func (p *Component) dropUnlisted(now time.Duration, endpoints []wire.Endpoint) {
	if len(p.limits) == 0 {
		return
	}
	for _, e := range endpoints {
		if l := p.limits[wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}]; l != nil {
			l.listedAt = now
		}
	}
	for id, l := range p.limits {
		if now-l.listedAt > unlistedRetention {
			delete(p.limits, id)
		}
	}
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'f', -1, 64) }
