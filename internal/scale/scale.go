// Package scale replaces lost endpoints on a platform whose orders state how many endpoints a service is to have in an
// availability zone. It orders as many as the items of the open batch jobs need, but never more than there were at
// first.
package scale

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/spend"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// decideInterval is the time between decisions. It can be long, since an endpoint takes seconds to start.
	decideInterval = time.Second
	// scaleUpAfter is the time that a demand must last before endpoints are ordered for it, so that a job that is
	// announced twice, and briefly counted twice, causes no order.
	scaleUpAfter = time.Second
	// startMargin is the time after the rule's Boot in which ordered endpoints may still appear in the list, since an
	// order may be carried out late. After that the number is ordered again.
	startMargin = 6 * time.Second
	// minRetryDelay and maxRetryDelay limit the delay after a failed order: the platform may have no endpoint
	// available.
	minRetryDelay = 2 * time.Second
	maxRetryDelay = 30 * time.Second
	// minLeaseLeft is the minimum remaining lease time with which orders are sent.
	minLeaseLeft = 200 * time.Millisecond
	// defaultSlots is the number of slots of an endpoint that does not report it.
	defaultSlots = 8
)

// Jobs reports the demand of the open batch jobs.
type Jobs interface {
	// OpenItems returns the number of items of the open batch jobs by service.
	OpenItems() map[string]int
}

// Component is the component of the reducer that orders endpoints. Its exported fields are set before the first Step.
type Component struct {
	Host  string
	Trust event.Trust
	Duty  string // the duty whose holder sends the orders
	Jobs  Jobs

	site       *config.Site
	endpoints  []wire.Endpoint
	services   map[string]*serviceState
	lastSeq    uint64
	nextDecide time.Duration
}

// serviceState is the demand and the endpoints of one service.
type serviceState struct {
	demand spend.RecentRange[int] // endpoints that the open jobs need
	zones  map[string]*zoneState
}

// zoneState is a service's endpoints and orders in one availability zone.
type zoneState struct {
	initial       int // maximum number of live endpoints before the platform first accepted an order of this process
	live          int
	ordered       int           // last number that the platform has accepted, 0 if none
	orderedAt     time.Duration // when that was accepted
	inFlight      uint64        // Seq of the order in flight, 0 if none
	inFlightCount int           // number of endpoints in that order
	retryAt       time.Duration // no order is sent before
	refusals      int           // consecutive refused orders
}

// Step applies one event. It must not be called concurrently.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.site = e.Site
	case event.EndpointsListed:
		p.endpoints = e.List.Endpoints
		p.countLive()
	case event.OrderSent:
		p.handleOrderSent(now, e, out)
	case event.Tick:
		p.tick(now, out)
	}
}

// countLive counts the live on-demand endpoints of each service and zone.
func (p *Component) countLive() {
	if p.services == nil {
		p.services = map[string]*serviceState{}
	}
	for _, s := range p.services {
		for _, z := range s.zones {
			z.live = 0
		}
	}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.State == wire.Live && e.Price == wire.OnDemand {
			p.zone(e.Service, e.Zone).live++
		}
	}
	for _, s := range p.services {
		for _, z := range s.zones {
			if z.ordered == 0 {
				z.initial = max(z.initial, z.live)
			}
		}
	}
}

func (p *Component) zone(serviceName, zoneName string) *zoneState {
	s := p.services[serviceName]
	if s == nil {
		s = &serviceState{demand: spend.RecentRange[int]{MaxAge: 2 * scaleUpAfter}, zones: map[string]*zoneState{}}
		p.services[serviceName] = s
	}
	z := s.zones[zoneName]
	if z == nil {
		z = &zoneState{}
		s.zones[zoneName] = z
	}
	return z
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	if p.site == nil || now < p.nextDecide {
		return
	}
	p.nextDecide = now + decideInterval
	items := p.Jobs.OpenItems()
	until, epoch, held := p.Trust.Holds(p.Duty, now)
	for _, serviceName := range slices.Sorted(maps.Keys(p.site.Fleet)) {
		s := p.services[serviceName]
		if s == nil {
			continue
		}
		slots := p.minSlots(serviceName)
		s.demand.Add(now, (items[serviceName]+slots-1)/slots)
		if !held || until-now < minLeaseLeft {
			continue
		}
		rule := p.site.Fleet[serviceName]
		wanted := s.wantedByZone(now, rule)
		for _, zoneName := range slices.Sorted(maps.Keys(s.zones)) {
			p.sendOrder(now, until, epoch, serviceName, zoneName, wanted[zoneName], rule, out)
		}
	}
}

// minSlots returns the minimum number of slots of a service's endpoints.
func (p *Component) minSlots(serviceName string) int {
	minimum := 0
	for i := range p.endpoints {
		if e := &p.endpoints[i]; e.Service == serviceName && e.Slots > 0 && (minimum == 0 || e.Slots < minimum) {
			minimum = e.Slots
		}
	}
	return cmp.Or(minimum, defaultSlots)
}

// wantedByZone returns the number of endpoints wanted in each zone: those expected, and replacements for lost ones as
// far as the demand has lasted, in the cheaper zones first.
func (s *serviceState) wantedByZone(now time.Duration, rule config.FleetRule) map[string]int {
	wanted := map[string]int{}
	total := 0
	for zoneName, z := range s.zones {
		wanted[zoneName] = z.expected(now, rule)
		total += wanted[zoneName]
	}
	need, lasting := s.demand.Min(now, scaleUpAfter)
	if !lasting {
		return wanted
	}
	byPrice := slices.SortedFunc(maps.Keys(s.zones), func(a, b string) int {
		return cmp.Or(cmp.Compare(rule.ZonePrices[a], rule.ZonePrices[b]), cmp.Compare(a, b))
	})
	for _, zoneName := range byPrice {
		missing := min(s.zones[zoneName].initial, rule.Max) - wanted[zoneName]
		if added := min(missing, need-total); added > 0 {
			wanted[zoneName] += added
			total += added
		}
	}
	return wanted
}

// expected returns the number of endpoints that a zone has or is about to have.
func (z *zoneState) expected(now time.Duration, rule config.FleetRule) int {
	if z.ordered > 0 && now-z.orderedAt < rule.Boot+startMargin {
		return z.ordered
	}
	return z.live
}

// sendOrder orders a number of endpoints in a zone if it differs from the expected number.
func (p *Component) sendOrder(now, until time.Duration, epoch uint64, serviceName, zoneName string, count int, rule config.FleetRule, out *event.Batch) {
	z := p.services[serviceName].zones[zoneName]
	if z.inFlight != 0 || now < z.retryAt || count == z.expected(now, rule) || count <= 0 {
		return
	}
	p.lastSeq++
	z.inFlight, z.inFlightCount = p.lastSeq, count
	out.Emit(event.SendOrder{Seq: p.lastSeq, Before: until, Order: wire.EndpointOrder{
		Duty: p.Duty, Holder: p.Host, Epoch: epoch, Zone: zoneName, Model: serviceName, Count: count, Price: wire.OnDemand, Kind: wire.Service,
	}})
	out.Emit(event.Log{Level: "info", Event: "EndpointsOrdered", Fields: append(logFields(serviceName, zoneName, count),
		event.Field{Key: "Live", Value: strconv.Itoa(z.live)})})
}

// handleOrderSent handles the outcome of an order. An order of unknown outcome can be sent again, since it states a
// number of endpoints and not a difference.
func (p *Component) handleOrderSent(now time.Duration, e event.OrderSent, out *event.Batch) {
	s := p.services[e.Order.Model]
	if s == nil || s.zones[e.Order.Zone] == nil || s.zones[e.Order.Zone].inFlight != e.Seq {
		return
	}
	z := s.zones[e.Order.Zone]
	z.inFlight = 0
	out.Emit(event.Count{Name: "EndpointOrders", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	if e.Kind == "" {
		z.ordered, z.orderedAt, z.refusals = z.inFlightCount, now, 0
		return
	}
	z.retryAt = now + min(minRetryDelay<<min(z.refusals, 8), maxRetryDelay)
	if e.Kind == kinds.Conflict {
		z.refusals++ // no endpoint is available there, or there is another holder
	}
	out.Emit(event.Log{Level: "warn", Event: "EndpointOrderFailed", Fields: append(logFields(e.Order.Model, e.Order.Zone, z.inFlightCount),
		event.Field{Key: "Kind", Value: string(e.Kind)}, event.Field{Key: "RetryMS", Value: strconv.FormatInt((z.retryAt - now).Milliseconds(), 10)})})
}

func logFields(service, zone string, count int) []event.Field {
	return []event.Field{
		{Key: "Service", Value: service}, {Key: "Zone", Value: zone}, {Key: "Count", Value: strconv.Itoa(count)},
	}
}
