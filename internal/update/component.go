// Package update brings engines that hold several models to the newest weight versions that trainers have published.
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
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/reach"
	"github.com/figshift/figshift/internal/wire"
)

// Duty is the name of the duty to order engines to load versions.
const Duty = "Weights"

const (
	dutyOwner = "update"
	// maxLoadShare is the share of a service's engines that may load at the same time; more of them slow each other down.
	maxLoadShare = 0.2
	// loadTimeout is the time after which a load is ordered again if the endpoint list does not show it as done.
	loadTimeout = 4 * time.Second
	// orderTimeout is the timeout for sending one order, and the Timeout that the order carries.
	orderTimeout = time.Second
	// minLeaseLeft is the minimum remaining time of the lease in which orders are sent.
	minLeaseLeft = 200 * time.Millisecond
	// stepStartDelay is the time after the publish of a version in which the trainer's next step may begin. Engines that
	// can serve the step don't load during this time.
	stepStartDelay = 300 * time.Millisecond
	// staleLag is the number of versions behind the newest from which on an engine cannot serve the next step.
	staleLag = 2
	// answerTimeout is the time after which an order that has no answer no longer counts against maxLoadShare. Engines
	// answer within milliseconds, before they load.
	answerTimeout = 300 * time.Millisecond
	// retryDelay is the wait after an order that was refused or had no answer.
	retryDelay = 500 * time.Millisecond
	// callsPerOrder is the number of calls that an engine gets for one order: its state is read first.
	callsPerOrder = 2
)

// Component is the component of the reducer that orders engines to load versions. Its exported fields are set before the
// first Step.
type Component struct {
	Host      string
	Trust     event.Trust
	LocalRuns LocalRuns
	Limits    limit.Gate  // nil for limit.Unlimited
	Links     reach.Links // nil for reach.Unbroken

	site          *config.Site
	dutyWanted    bool
	held          bool
	epoch         uint64
	endpoints     []wire.Endpoint
	newestVersion map[string]uint64 // by model
	publishedAt   map[string]time.Duration
	remoteRuns    map[string][]wire.EngineRuns // by host
	busyEngines   map[string]bool              // engines that run items
	assignedModel map[wire.LeaveMark]string
	orders        map[wire.LeaveMark]*order
	lastOrder     uint64
}

// LocalRuns reports what this host runs.
type LocalRuns interface {
	// RunsByEngine returns the items of this host by engine.
	RunsByEngine() []wire.EngineRuns
}

// order is an order to an engine that is in progress or was refused a short time ago.
type order struct {
	id      string
	model   string
	version uint64
	until   time.Duration // the engine gets no other order before this time
	loading bool
	// answerBy is until when the order counts as a load without an answer, 0 once the engine has accepted it.
	answerBy time.Duration
}

// Step applies one event. It must not be called concurrently.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	if p.newestVersion == nil {
		p.newestVersion = map[string]uint64{}
		p.publishedAt = map[string]time.Duration{}
		p.remoteRuns = map[string][]wire.EngineRuns{}
		p.assignedModel = map[wire.LeaveMark]string{}
		p.orders = map[wire.LeaveMark]*order{}
		if p.Limits == nil {
			p.Limits = limit.Unlimited{}
		}
	}
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.site = e.Site
	case event.EndpointsListed:
		p.endpoints = e.List.Endpoints
		p.dropFinishedOrders()
	case event.VersionPublished:
		if e.Version > p.newestVersion[e.Model] {
			p.newestVersion[e.Model], p.publishedAt[e.Model] = e.Version, now
		}
	case event.BeatSeen:
		p.remoteRuns[e.Host] = e.Beat.Runs
	case event.HostLost:
		delete(p.remoteRuns, e.Host)
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
		p.handleEngineSwapped(now, e, out)
	case event.Tick:
		p.handleTick(now, out)
	}
}

func (p *Component) handleTick(now time.Duration, out *event.Batch) {
	if p.site == nil {
		return
	}
	p.declareDuty(now, out)
	until, epoch, ok := p.Trust.Holds(Duty, now)
	if !p.held || !ok || epoch != p.epoch || until-now < minLeaseLeft {
		return
	}
	p.updateBusyEngines()
	for _, service := range slices.Sorted(maps.Keys(p.site.Models)) {
		p.orderLoads(now, until, service, p.site.Models[service], out)
	}
}

// declareDuty wants the duty when there are models, unless this host is cut off from the engines.
func (p *Component) declareDuty(now time.Duration, out *event.Batch) {
	wanted := len(p.site.Models) > 0 && (p.Links == nil || !p.Links.CutOff(now))
	if wanted == p.dutyWanted || len(p.site.Models) == 0 {
		return
	}
	p.dutyWanted = wanted
	want := event.WantDuties{Owner: dutyOwner}
	if wanted {
		want.Duties = []string{Duty}
	}
	out.Raise(want)
}

// updateBusyEngines collects the engines that run items of any host.
func (p *Component) updateBusyEngines() {
	p.busyEngines = map[string]bool{}
	for _, runs := range p.remoteRuns {
		for _, r := range runs {
			p.busyEngines[r.Endpoint] = true
		}
	}
	for _, r := range p.LocalRuns.RunsByEngine() {
		p.busyEngines[r.Endpoint] = true
	}
}

// dropFinishedOrders drops the orders that the endpoint list shows as done, and the orders and models of engines that
// are no longer listed.
func (p *Component) dropFinishedOrders() {
	listed := map[wire.LeaveMark]*wire.Endpoint{}
	for i := range p.endpoints {
		e := &p.endpoints[i]
		listed[engineKey(e)] = e
	}
	for m, o := range p.orders {
		if e := listed[m]; e == nil || e.VersionOf(o.model) >= o.version {
			delete(p.orders, m)
		}
	}
	for m := range p.assignedModel {
		if listed[m] == nil {
			delete(p.assignedModel, m)
		}
	}
}

func engineKey(e *wire.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

// orderLoads sends orders to the engines of one service that should load now, as far as maxLoadShare allows.
func (p *Component) orderLoads(now, until time.Duration, service string, models []string, out *event.Batch) {
	liveEngines := p.liveEngines(service)
	p.assignModels(liveEngines, models)
	loads := 0
	for _, e := range liveEngines {
		if o := p.orders[engineKey(e)]; o != nil && o.counts(now) {
			loads++
		}
	}
	maxLoads := max(1, int(float64(len(liveEngines))*maxLoadShare+0.999))
	for _, e := range p.enginesToLoad(now, liveEngines) {
		if loads >= maxLoads {
			return
		}
		if !p.Limits.Allowance(now, engineKey(e), limit.Orders).Allows() {
			continue
		}
		loads++
		p.sendOrder(now, until, e, out)
	}
}

// counts reports whether the engine is probably loading.
func (o *order) counts(now time.Duration) bool {
	return o.loading && now < o.until && (o.answerBy == 0 || now < o.answerBy)
}

// liveEngines returns a service's live engines that report weights, sorted by name.
func (p *Component) liveEngines(service string) []*wire.Endpoint {
	var all []*wire.Endpoint
	for i := range p.endpoints {
		if e := &p.endpoints[i]; e.Service == service && e.State == wire.Live && len(e.Weights) > 0 {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b *wire.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// assignModels assigns to each engine the model whose versions it loads, so that each model has an equal number of
// engines and as few engines as possible change their model.
func (p *Component) assignModels(engines []*wire.Endpoint, models []string) {
	count := map[string]int{}
	var unassigned []*wire.Endpoint
	for _, e := range engines {
		m := p.assignedModel[engineKey(e)]
		if m == "" {
			m = leadingModel(e, models)
		}
		if m == "" || !slices.Contains(models, m) {
			unassigned = append(unassigned, e)
			continue
		}
		p.assignedModel[engineKey(e)] = m
		count[m]++
	}
	for _, e := range unassigned {
		m := leastAssigned(models, count)
		p.assignedModel[engineKey(e)] = m
		count[m]++
	}
	for {
		low, high := leastAssigned(models, count), mostAssigned(models, count)
		if count[high]-count[low] < 2 {
			return
		}
		for _, e := range slices.Backward(engines) {
			if p.assignedModel[engineKey(e)] == high {
				p.assignedModel[engineKey(e)] = low
				break
			}
		}
		count[high]--
		count[low]++
	}
}

// leadingModel returns the model of which an engine has the highest version, "" if that is version 1 or if several
// models have it.
func leadingModel(e *wire.Endpoint, models []string) string {
	leading, highest, tie := "", uint64(1), false
	for _, m := range models {
		switch v := e.VersionOf(m); {
		case v > highest:
			leading, highest, tie = m, v, false
		case v == highest:
			tie = true
		}
	}
	if tie {
		return ""
	}
	return leading
}

func leastAssigned(models []string, count map[string]int) string {
	return slices.MinFunc(models, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
}

func mostAssigned(models []string, count map[string]int) string {
	return slices.MaxFunc(models, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
}

// enginesToLoad returns the engines that should load now, in order. An engine that cannot serve its model's next step
// loads at once, first those of the model with the fewest engines that can. An engine that can serve it loads while it
// is idle.
func (p *Component) enginesToLoad(now time.Duration, engines []*wire.Endpoint) []*wire.Endpoint {
	var all []*wire.Endpoint
	currentEngines := map[string]int{} // number that can serve the next step, by model
	for _, e := range engines {
		if m := p.assignedModel[engineKey(e)]; p.lag(e) < staleLag {
			currentEngines[m]++
		}
	}
	for _, e := range engines {
		if o := p.orders[engineKey(e)]; o != nil && now < o.until {
			continue
		}
		idle := !p.busyEngines[e.Name] && now-p.publishedAt[p.assignedModel[engineKey(e)]] >= stepStartDelay
		if lag := p.lag(e); lag >= staleLag || lag > 0 && idle {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b *wire.Endpoint) int {
		return cmp.Or(
			cmp.Compare(min(p.lag(b), staleLag), min(p.lag(a), staleLag)),
			cmp.Compare(currentEngines[p.assignedModel[engineKey(a)]], currentEngines[p.assignedModel[engineKey(b)]]),
			cmp.Compare(p.lag(b), p.lag(a)),
		)
	})
	return all
}

// lag returns the number of versions that an engine is behind the newest version of its model.
func (p *Component) lag(e *wire.Endpoint) uint64 {
	m := p.assignedModel[engineKey(e)]
	return p.newestVersion[m] - min(p.newestVersion[m], e.VersionOf(m))
}

func (p *Component) sendOrder(now, until time.Duration, e *wire.Endpoint, out *event.Batch) {
	p.lastOrder++
	model := p.assignedModel[engineKey(e)]
	o := &order{id: p.Host + "-" + strconv.FormatUint(p.lastOrder, 10), model: model, version: p.newestVersion[model], until: now + loadTimeout, loading: true, answerBy: now + answerTimeout}
	p.orders[engineKey(e)] = o
	p.Limits.Take(now, engineKey(e), limit.Orders, callsPerOrder)
	out.Emit(event.SwapEngine{
		Duty: Duty, Epoch: p.epoch, OrderID: o.id, Endpoint: e.Name, Address: e.Address, Model: model, Version: o.version,
		Before: min(until, now+orderTimeout), Timeout: orderTimeout, Holder: p.Host, Incarnation: e.Incarnation,
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

// handleEngineSwapped processes the answer to an order. The endpoint list shows when the load is done.
func (p *Component) handleEngineSwapped(now time.Duration, e event.EngineSwapped, out *event.Batch) {
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
	for engine, o := range p.orders {
		if o.id != e.OrderID {
			continue
		}
		if e.Kind == kinds.EndpointRefused && p.Links != nil {
			p.Links.Doubt(now, engine) // most of these orders could not be sent
		}
		if e.Kind == "" {
			o.answerBy = 0
			continue
		}
		o.loading = e.Kind == kinds.OutcomeUnknown
		o.until = now + retryDelay
	}
}
