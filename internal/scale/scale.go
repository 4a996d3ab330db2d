// Package scale replaces endpoints that were lost, on a platform that takes the number of endpoints that a service is to
// have in each availability zone: as many as the items of the open batch jobs need, and never more than there were.
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
	// decideEvery is the interval of the decisions; an endpoint takes seconds to start.
	decideEvery = time.Second
	// growAfter is the time that a demand must last before endpoints are ordered for it, so that one job that has been
	// announced twice orders nothing.
	growAfter = time.Second
	// settleAfter is the time beyond the start of an endpoint after which a number that does not show is ordered again:
	// an earlier order may have been carried out late.
	settleAfter = 6 * time.Second
	// firstPause and lastPause bound the pause after an order that was refused: there may be none to be had.
	firstPause = 2 * time.Second
	lastPause  = 30 * time.Second
	// sendMargin is the least time left in the lease for an order.
	sendMargin   = 200 * time.Millisecond
	defaultSlots = 8 // of an endpoint that does not tell
)

// Jobs tells what the open batch jobs need.
type Jobs interface {
	// OpenItems returns the number of items of the open batch jobs by service.
	OpenItems() map[string]int
}

// Part is the share of the reducer that orders endpoints. Its exported fields are set before the first Step.
type Part struct {
	Host  string
	Trust event.Trust
	Duty  string // whose holder orders
	Jobs  Jobs

	site      *config.Site
	endpoints []wire.Endpoint
	services  map[string]*service
	seq       uint64
	next      time.Duration
}

// service is what is known and ordered of one service.
type service struct {
	demand spend.Range[int] // endpoints that the open jobs need
	zones  map[string]*zone
}

// zone is a service's part in an availability zone.
type zone struct {
	first   int // most endpoints that were there before any order of this process
	live    int
	ordered int           // last number that the platform has taken, 0 before
	since   time.Duration // when it was
	seq     uint64        // order under way, 0 for none
	count   int           // of that order
	until   time.Duration // no order before
	refused int           // in a row
}

// Step applies one event. It must not be called concurrently.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.site = e.Site
	case event.EndpointsListed:
		p.endpoints = e.List.Endpoints
		p.count()
	case event.OrderSent:
		p.sent(now, e, out)
	case event.Tick:
		p.tick(now, out)
	}
}

// count notes the endpoints of each service and zone.
func (p *Part) count() {
	if p.services == nil {
		p.services = map[string]*service{}
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
				z.first = max(z.first, z.live)
			}
		}
	}
}

func (p *Part) zone(name, in string) *zone {
	s := p.services[name]
	if s == nil {
		s = &service{demand: spend.Range[int]{Keep: 2 * growAfter}, zones: map[string]*zone{}}
		p.services[name] = s
	}
	z := s.zones[in]
	if z == nil {
		z = &zone{}
		s.zones[in] = z
	}
	return z
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	if p.site == nil || now < p.next {
		return
	}
	p.next = now + decideEvery
	items := p.Jobs.OpenItems()
	until, epoch, held := p.Trust.Holds(p.Duty, now)
	for _, name := range slices.Sorted(maps.Keys(p.site.Fleet)) {
		s := p.services[name]
		if s == nil {
			continue
		}
		slots := p.slots(name)
		s.demand.Add(now, (items[name]+slots-1)/slots)
		if !held || until-now < sendMargin {
			continue
		}
		rule := p.site.Fleet[name]
		wanted := s.wanted(now, rule)
		for _, in := range slices.Sorted(maps.Keys(s.zones)) {
			p.order(now, until, epoch, name, in, wanted[in], rule, out)
		}
	}
}

// slots returns the least number of places of a service's endpoints.
func (p *Part) slots(name string) int {
	least := 0
	for i := range p.endpoints {
		if e := &p.endpoints[i]; e.Service == name && e.Slots > 0 && (least == 0 || e.Slots < least) {
			least = e.Slots
		}
	}
	return cmp.Or(least, defaultSlots)
}

// wanted returns the number of endpoints for each zone: what there is, and those that were lost as far as the demand has
// lasted, in the cheaper zones first.
func (s *service) wanted(now time.Duration, rule config.FleetRule) map[string]int {
	wanted := map[string]int{}
	total := 0
	for name, z := range s.zones {
		wanted[name] = z.has(now, rule)
		total += wanted[name]
	}
	need, lasting := s.demand.Least(now, growAfter)
	if !lasting {
		return wanted
	}
	byPrice := slices.SortedFunc(maps.Keys(s.zones), func(a, b string) int {
		return cmp.Or(cmp.Compare(rule.ZonePrices[a], rule.ZonePrices[b]), cmp.Compare(a, b))
	})
	for _, name := range byPrice {
		missing := min(s.zones[name].first, rule.Max) - wanted[name]
		if add := min(missing, need-total); add > 0 {
			wanted[name] += add
			total += add
		}
	}
	return wanted
}

// has returns the endpoints that a zone has or will have soon.
func (z *zone) has(now time.Duration, rule config.FleetRule) int {
	if z.ordered > 0 && now-z.since < rule.Boot+settleAfter {
		return z.ordered
	}
	return z.live
}

// order sends a zone's number when it differs from what there is or will be.
func (p *Part) order(now, until time.Duration, epoch uint64, name, in string, count int, rule config.FleetRule, out *event.Batch) {
	z := p.services[name].zones[in]
	if z.seq != 0 || now < z.until || count == z.has(now, rule) || count <= 0 {
		return
	}
	p.seq++
	z.seq, z.count = p.seq, count
	out.Emit(event.SendOrder{Seq: p.seq, Before: until, Order: wire.EndpointOrder{
		Duty: p.Duty, Holder: p.Host, Epoch: epoch, Zone: in, Model: name, Count: count, Price: wire.OnDemand, Kind: wire.Service,
	}})
	out.Emit(event.Log{Level: "info", Event: "EndpointsOrdered", Fields: append(fields(name, in, count),
		event.Field{Key: "Live", Value: strconv.Itoa(z.live)})})
}

// sent takes the outcome of an order. One of unknown outcome is sent again: it names a number and not a difference.
func (p *Part) sent(now time.Duration, e event.OrderSent, out *event.Batch) {
	s := p.services[e.Order.Model]
	if s == nil || s.zones[e.Order.Zone] == nil || s.zones[e.Order.Zone].seq != e.Seq {
		return
	}
	z := s.zones[e.Order.Zone]
	z.seq = 0
	out.Emit(event.Count{Name: "EndpointOrders", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	if e.Kind == "" {
		z.ordered, z.since, z.refused = z.count, now, 0
		return
	}
	z.until = now + min(firstPause<<min(z.refused, 8), lastPause)
	if e.Kind == kinds.Conflict {
		z.refused++ // none to be had there, or another holder is at work
	}
	out.Emit(event.Log{Level: "warn", Event: "EndpointOrderFailed", Fields: append(fields(e.Order.Model, e.Order.Zone, z.count),
		event.Field{Key: "Kind", Value: string(e.Kind)}, event.Field{Key: "RetryMS", Value: strconv.FormatInt((z.until - now).Milliseconds(), 10)})})
}

func fields(service, zone string, count int) []event.Field {
	return []event.Field{
		{Key: "Service", Value: service}, {Key: "Zone", Value: zone}, {Key: "Count", Value: strconv.Itoa(count)},
	}
}
