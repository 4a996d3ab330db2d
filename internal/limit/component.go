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
	// minPerSecond replaces a lower limit. Without any request, no answer would ever name a higher one.
	minPerSecond = 0.1
	// ordersPart is the part of an engine's limit that orders may use, and ordersCapacity what is saved of it, in requests.
	ordersPart     = 0.25
	ordersCapacity = 2
)

// Component is the component of the reducer that keeps this host's requests to each endpoint within its share of the
// endpoint's limit. Its exported fields are set before the first Step. It must not be used concurrently.
type Component struct {
	Self     string // name of this host
	Backlogs []Backlog

	limits    map[wire.LeaveMark]*limit
	sent      map[wire.LeaveMark]*Recent // requests that this host has sent
	fleet     fleet
	endpoints []wire.Endpoint // as listed
	startup   startup
}

// Backlog knows of requests that wait on this host.
type Backlog interface {
	// AddWants adds, to each endpoint that is a key of wants, the number of requests that wait for it or were refused lately.
	// A request that several endpoints can take counts in parts.
	AddWants(now time.Duration, wants map[wire.LeaveMark]float64)
}

// limit is the limit of one incarnation of an endpoint.
type limit struct {
	endpoint  wire.LeaveMark
	perSecond float64
	lifted    bool
	// at is when the newest answer that named the limit arrived, or when the request was sent whose answer did not.
	at       time.Duration
	sent     [sourceCount]int
	loggedAt time.Duration // when the requests were last logged
	listedAt time.Duration // when the incarnation was last in the endpoint list
	bucket   bucket
	wants    wants
	atOnce   int    // requests that a host may send with one left: two where it asks for the incarnation first
	orders   bucket // for orders, which don't wait for a share
	// overdraft counts the requests that this host has sent beyond its share since its last heartbeat.
	overdraft int
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.startup.begin(now)
	switch e := ev.(type) {
	case event.EndpointAnswered:
		p.handleAnswered(now, e, out)
	case event.EndpointIdentified:
		if e.Uncounted != 0 {
			p.Take(now, wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}, Polls, e.Uncounted)
		}
	case event.EndpointsListed:
		p.endpoints = e.List.Endpoints
		p.dropUnlisted(now)
	case event.HostsChanged:
		p.fleet.setHosts(e.Hosts, e.Hubs)
		p.updateShares(now)
	case event.HostLost:
		p.fleet.setLost(e.Host, true)
		p.updateShares(now)
	case event.BeatSeen:
		p.handleHeartbeat(now, e, out)
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
	p.startup.answered(now, id)
	if e.Limited {
		p.name(now, now, id, e.PerSecond, out)
		return
	}
	// An answer to an earlier request may have been made before the endpoint named its limit.
	if l := p.limits[id]; l != nil && !l.lifted && e.Sent > l.at {
		p.lift(now, e.Sent, l, out)
	}
}

// name applies a limit that an endpoint named at the time at.
func (p *Component) name(now, at time.Duration, id wire.LeaveMark, perSecond float64, out *event.Batch) {
	perSecond = max(perSecond, minPerSecond)
	l := p.limits[id]
	if l == nil {
		l = &limit{endpoint: id, lifted: true, listedAt: now, atOnce: p.atOnce(id)}
		if p.limits == nil {
			p.limits = map[wire.LeaveMark]*limit{}
		}
		p.limits[id] = l
	}
	if !l.lifted && l.perSecond == perSecond {
		l.at = at
		return
	}
	if l.lifted {
		l.sent, l.loggedAt = [sourceCount]int{}, now
		l.bucket, l.wants, l.overdraft = bucket{at: now, left: 1 - p.startup.sentAtFirst(now, id, l.atOnce), capacity: 1}, wants{}, 0
		l.orders = bucket{at: now, left: ordersCapacity, capacity: ordersCapacity}
	}
	l.lifted, l.perSecond, l.at = false, perSecond, at
	l.orders.set(now, ordersPart*perSecond, ordersCapacity)
	p.updateBucket(now, l)
	out.Emit(event.Log{Level: "info", Event: "EndpointLimited", Fields: []event.Field{
		{Key: "Endpoint", Value: id.Endpoint}, {Key: "PerSecond", Value: formatRate(perSecond)}, {Key: "Own", Value: formatRate(l.bucket.rate)},
	}})
}

// atOnce returns what a request to an endpoint comes to with the question that may go before it.
func (p *Component) atOnce(id wire.LeaveMark) int {
	for i := range p.endpoints {
		if markOf(&p.endpoints[i]) == id {
			return requestsAtOnce(&p.endpoints[i])
		}
	}
	return 1
}

func requestsAtOnce(e *wire.Endpoint) int {
	if e.Software != "" {
		return 2
	}
	return 1
}

// lift ends a limit, as the endpoint did not name one in its answer to a request that was sent at the time at.
func (p *Component) lift(now, at time.Duration, l *limit, out *event.Batch) {
	p.logUseOf(now, l, out)
	l.lifted, l.at = true, at
	out.Emit(event.Log{Level: "info", Event: "EndpointLimitLifted", Fields: []event.Field{{Key: "Endpoint", Value: l.endpoint.Endpoint}}})
}

// Allowance returns what this host may send to an endpoint from now on.
func (p *Component) Allowance(now time.Duration, endpoint wire.LeaveMark, source Source) Allowance {
	l := p.limits[endpoint]
	if l == nil && (source == Items || source == Orders) && !p.startup.knowsLimits(now, len(p.fleet.hosts)-1) {
		return p.startup.allowance(endpoint) // calls wait by themselves, and polls are few
	}
	if l == nil || l.lifted {
		return Allowance{}
	}
	b := l.bucketFor(source)
	return Allowance{Limited: true, Left: b.refill(now), PerSecond: b.rate}
}

// bucketFor returns the bucket that bounds the requests of a source. Orders come from one host only, which has no share of
// its own, and an engine that waits for one serves nobody. So they don't wait for a share but are paid for by all.
func (l *limit) bucketFor(source Source) *bucket {
	if source == Orders {
		return &l.orders
	}
	return &l.bucket
}

// Take counts n requests that are sent to an endpoint now.
func (p *Component) Take(now time.Duration, endpoint wire.LeaveMark, source Source, n int) {
	if source != Orders {
		p.countSent(now, endpoint, n)
	}
	if source == Items || source == Orders {
		p.startup.tried(now, endpoint)
	}
	l := p.limits[endpoint]
	if l == nil || l.lifted {
		return
	}
	b := l.bucketFor(source)
	b.refill(now)
	b.left -= float64(n)
	l.sent[source] += n
	if source == Orders {
		l.overdraft += n
	}
}

func (p *Component) countSent(now time.Duration, endpoint wire.LeaveMark, n int) {
	if p.sent == nil {
		p.sent = map[wire.LeaveMark]*Recent{}
	}
	if p.sent[endpoint] == nil {
		p.sent[endpoint] = &Recent{}
	}
	p.sent[endpoint].Add(now, n)
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
		{Key: "Own", Value: formatRate(l.bucket.rate)},
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

// dropUnlisted forgets the limits of incarnations that have not been listed for unlistedRetention, and what was sent long
// ago.
func (p *Component) dropUnlisted(now time.Duration) {
	for id, sent := range p.sent {
		if sent.PerSecond(now) < minRate {
			delete(p.sent, id)
		}
	}
	if len(p.limits) == 0 {
		return
	}
	for i := range p.endpoints {
		if l := p.limits[markOf(&p.endpoints[i])]; l != nil {
			l.listedAt, l.atOnce = now, requestsAtOnce(&p.endpoints[i])
		}
	}
	for id, l := range p.limits {
		if now-l.listedAt > unlistedRetention {
			delete(p.limits, id)
		}
	}
}

func markOf(e *wire.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

func formatRate(perSecond float64) string { return strconv.FormatFloat(perSecond, 'g', 3, 64) }
