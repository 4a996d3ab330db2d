// Package update brings engines to the newest versions that trainers have named for their models.
package update

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Duty is the duty to order engines.
const Duty = "Weights"

const (
	owner = "update"
	// loadsShare is the part of a service's engines that may load at once; more slow each other down.
	loadsShare = 0.2
	// loadTime is the time after which a load that the list does not show is ordered again.
	loadTime = 4 * time.Second
	// orderTime bounds one order.
	orderTime = time.Second
	// sendMargin is the least time left in the lease for an order.
	sendMargin = 200 * time.Millisecond
	// stepAfter is the time after a version was named in which its step may begin; engines that can serve it wait.
	stepAfter = 300 * time.Millisecond
	// staleBy is the number of versions behind the newest from which on an engine can't serve the next step.
	staleBy = 2
	// againAfter is the pause after an order that was refused or had no answer.
	againAfter = 500 * time.Millisecond
)

// Part is the share of the reducer that orders versions. Its exported fields are set before the first Step.
type Part struct {
	Host  string
	Trust event.Trust
	Runs  Runs

	site      *config.Site
	wanted    bool
	held      bool
	epoch     uint64
	endpoints []wire.Endpoint
	newest    map[string]uint64 // by model
	named     map[string]time.Duration
	remote    map[string][]wire.EngineRuns // by host
	busy      map[string]bool              // engines that run items
	assigned  map[wire.LeaveMark]string
	orders    map[wire.LeaveMark]*order
	seq       uint64
}

// Runs tells what this host runs.
type Runs interface {
	// Running returns the items of this host by engine.
	Running() []wire.EngineRuns
}

// order is an order to an engine that is under way or was just refused.
type order struct {
	id      string
	model   string
	version uint64
	until   time.Duration // nothing is ordered there before
	loading bool
}

// Step applies one event. It must not be called concurrently.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	if p.newest == nil {
		p.newest = map[string]uint64{}
		p.named = map[string]time.Duration{}
		p.remote = map[string][]wire.EngineRuns{}
		p.assigned = map[wire.LeaveMark]string{}
		p.orders = map[wire.LeaveMark]*order{}
	}
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.site = e.Site
	case event.EndpointsListed:
		p.endpoints = e.List.Endpoints
		p.settle()
	case event.VersionPublished:
		if e.Version > p.newest[e.Model] {
			p.newest[e.Model], p.named[e.Model] = e.Version, now
		}
	case event.BeatSeen:
		p.remote[e.Host] = e.Beat.Runs
	case event.HostLost:
		delete(p.remote, e.Host)
	case event.DutyGained:
		if e.Duty == Duty {
			p.held, p.epoch = true, e.Epoch
			clear(p.orders)
		}
	case event.DutyLost:
		if e.Duty == Duty {
			p.held = false
		}
	case event.EngineSwapped:
		p.swapped(now, e, out)
	case event.Tick:
		p.tick(now, out)
	}
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	if p.site == nil {
		return
	}
	if !p.wanted && len(p.site.Models) > 0 {
		p.wanted = true
		out.Raise(event.WantDuties{Owner: owner, Duties: []string{Duty}})
	}
	until, epoch, ok := p.Trust.Holds(Duty, now)
	if !p.held || !ok || epoch != p.epoch || until-now < sendMargin {
		return
	}
	p.countRuns()
	for _, service := range slices.Sorted(maps.Keys(p.site.Models)) {
		p.order(now, until, service, p.site.Models[service], out)
	}
}

// countRuns notes the engines that run items of any host.
func (p *Part) countRuns() {
	p.busy = map[string]bool{}
	for _, runs := range p.remote {
		for _, r := range runs {
			p.busy[r.Endpoint] = true
		}
	}
	for _, r := range p.Runs.Running() {
		p.busy[r.Endpoint] = true
	}
}

// settle forgets the orders that the list shows as done and those of engines that have gone.
func (p *Part) settle() {
	listed := map[wire.LeaveMark]*wire.Endpoint{}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		listed[mark(e)] = e
	}
	for m, o := range p.orders {
		if e := listed[m]; e == nil || e.VersionOf(o.model) >= o.version {
			delete(p.orders, m)
		}
	}
	for m := range p.assigned {
		if listed[m] == nil {
			delete(p.assigned, m)
		}
	}
}

func mark(e *wire.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

// order sends the orders of one service's engines that may load now.
func (p *Part) order(now, until time.Duration, service string, models []string, out *event.Batch) {
	engines := p.engines(service)
	p.assign(engines, models)
	loads := 0
	for _, e := range engines {
		if o := p.orders[mark(e)]; o != nil && o.loading && now < o.until {
			loads++
		}
	}
	most := max(1, int(float64(len(engines))*loadsShare+0.999))
	for _, e := range p.behind(now, engines) {
		if loads >= most {
			return
		}
		loads++
		p.send(now, until, e, out)
	}
}

// engines returns a service's engines that stay, sorted by name.
func (p *Part) engines(service string) []*wire.Endpoint {
	var all []*wire.Endpoint
	for i := range p.endpoints {
		if e := &p.endpoints[i]; e.Service == service && e.State == wire.Live && len(e.Weights) > 0 {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *wire.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// assign gives each engine the model whose versions it follows, so that each model has its share of the engines and
// engines change as seldom as possible.
func (p *Part) assign(engines []*wire.Endpoint, models []string) {
	count := map[string]int{}
	var free []*wire.Endpoint
	for _, e := range engines {
		m := p.assigned[mark(e)]
		if m == "" {
			m = followed(e, models)
		}
		if m == "" || !slices.Contains(models, m) {
			free = append(free, e)
			continue
		}
		p.assigned[mark(e)] = m
		count[m]++
	}
	for _, e := range free {
		m := least(models, count)
		p.assigned[mark(e)] = m
		count[m]++
	}
	for {
		low, high := least(models, count), most(models, count)
		if count[high]-count[low] < 2 {
			return
		}
		for _, e := range slices.Backward(engines) {
			if p.assigned[mark(e)] == high {
				p.assigned[mark(e)] = low
				break
			}
		}
		count[high]--
		count[low]++
	}
}

// followed returns the model whose newest versions an engine has, "" when it has none that is ahead of the others.
func followed(e *wire.Endpoint, models []string) string {
	best, highest, tie := "", uint64(1), false
	for _, m := range models {
		switch v := e.VersionOf(m); {
		case v > highest:
			best, highest, tie = m, v, false
		case v == highest:
			tie = true
		}
	}
	if tie {
		return ""
	}
	return best
}

func least(models []string, count map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
}

func most(models []string, count map[string]int) string {
	return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
}

// behind returns the engines to load now, in order. One that can't serve its model's next step loads at once, those of
// the model with the fewest that can first. One that can loads while it has nothing to run.
func (p *Part) behind(now time.Duration, engines []*wire.Endpoint) []*wire.Endpoint {
	var all []*wire.Endpoint
	able := map[string]int{} // engines that can serve the next step, by model
	for _, e := range engines {
		if m := p.assigned[mark(e)]; p.lag(e) < staleBy {
			able[m]++
		}
	}
	for _, e := range engines {
		if o := p.orders[mark(e)]; o != nil && now < o.until {
			continue
		}
		idle := !p.busy[e.Name] && now-p.named[p.assigned[mark(e)]] >= stepAfter
		if lag := p.lag(e); lag >= staleBy || lag > 0 && idle {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b *wire.Endpoint) int {
		return cmp.Or(
			cmp.Compare(min(p.lag(b), staleBy), min(p.lag(a), staleBy)),
			cmp.Compare(able[p.assigned[mark(a)]], able[p.assigned[mark(b)]]),
			cmp.Compare(p.lag(b), p.lag(a)),
		)
	})
	return all
}

// lag returns the number of versions that an engine's weights of its model are behind the newest.
func (p *Part) lag(e *wire.Endpoint) uint64 {
	m := p.assigned[mark(e)]
	return p.newest[m] - min(p.newest[m], e.VersionOf(m))
}

func (p *Part) send(now, until time.Duration, e *wire.Endpoint, out *event.Batch) {
	p.seq++
	model := p.assigned[mark(e)]
	o := &order{id: p.Host + "-" + strconv.FormatUint(p.seq, 10), model: model, version: p.newest[model], until: now + loadTime, loading: true}
	p.orders[mark(e)] = o
	out.Emit(event.SwapEngine{
		Duty: Duty, Epoch: p.epoch, OrderID: o.id, Endpoint: e.Name, Address: e.Address, Model: model, Version: o.version,
		Before: min(until, now+orderTime), Timeout: orderTime, Holder: p.Host, Incarnation: e.Incarnation,
	})
	out.Emit(event.Log{Level: "info", Event: "VersionOrdered", Fields: []event.Field{
		{Key: "Order", Value: o.id},
		{Key: "Endpoint", Value: e.Name},
		{Key: "Model", Value: model},
		{Key: "Version", Value: strconv.FormatUint(o.version, 10)},
		{Key: "From", Value: strconv.FormatUint(e.VersionOf(model), 10)},
		{Key: "Epoch", Value: strconv.FormatUint(p.epoch, 10)},
	}})
}

// swapped takes the answer to an order. The list shows when the load is done.
func (p *Part) swapped(now time.Duration, e event.EngineSwapped, out *event.Batch) {
	if e.Duty != Duty || e.Epoch != p.epoch {
		return
	}
	if e.Kind != "" {
		out.Emit(event.Log{Level: "info", Event: "VersionRefused", Fields: []event.Field{
			{Key: "Order", Value: e.OrderID}, {Key: "Endpoint", Value: e.Endpoint}, {Key: "Kind", Value: string(e.Kind)},
		}})
	}
	if e.Kind == kinds.NotHolder {
		out.Raise(event.ReleaseDuty{Duty: Duty}) // the engine has seen a higher epoch
		return
	}
	for _, o := range p.orders {
		if o.id == e.OrderID && e.Kind != "" {
			o.loading = e.Kind == kinds.OutcomeUnknown
			o.until = now + againAfter
		}
	}
}
