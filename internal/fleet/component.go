package fleet

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/spend"
	"github.com/figshift/figshift/internal/wire"
)

const (
	owner          = "fleet"
	decideInterval = 250 * time.Millisecond
	// leaveMarkTTL is the time for which a leave mark is kept after its endpoint was last in the platform's list. Lists
	// may flap: an endpoint can disappear and come back.
	leaveMarkTTL = 10 * time.Minute
)

// Component is the component of the reducer that performs the zones' duties held by this daemon. Its exported fields are
// set before use.
type Component struct {
	Host  string
	Trust event.Trust

	site          *config.Site
	demands       demandByHost
	loads         map[wire.LeaveMark]reportedLoad
	leaving       map[wire.LeaveMark]time.Duration // endpoints that take no new work, with the time they were last listed
	list          *wire.EndpointList
	firstListed   map[wire.LeaveMark]uint64 // revision of the first list with the endpoint, 0 for the first list read
	rolloutModels map[string]string         // model of each rollout
	zones         map[string]*zoneTerm      // by zone, of the duties held by this daemon
	sendSeq       uint64                    // Seq of the newest SendOrder
	nextDecide    time.Duration
}

// reportedLoad is the load that an endpoint reported.
type reportedLoad struct {
	tokens int
	at     time.Duration // when the endpoint made the report
}

// Step applies one event, if it concerns demand, endpoints, duties or orders. It must not be called concurrently.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.initMaps()
	if p.observeFleet(now, ev) {
		return
	}
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.applyConfig(e.Site, out)
	case event.DutyGained:
		p.startTerm(now, e, out)
	case event.DutyLost:
		delete(p.zones, strings.TrimPrefix(e.Duty, DutyPrefix))
	case event.LedgerWritten:
		p.confirmWrite(e)
	case event.OrderSent:
		p.handleOrderSent(now, e, out)
	case event.Tick:
		p.tick(now, out)
	}
}

func (p *Component) initMaps() {
	if p.demands != nil {
		return
	}
	p.demands = demandByHost{}
	p.loads = map[wire.LeaveMark]reportedLoad{}
	p.leaving = map[wire.LeaveMark]time.Duration{}
	p.rolloutModels = map[string]string{}
	p.zones = map[string]*zoneTerm{}
}

// observeFleet handles the events that describe the state of the fleet, and reports whether ev was one of them.
func (p *Component) observeFleet(now time.Duration, ev event.Event) bool {
	switch e := ev.(type) {
	case event.DemandSeen:
		p.demands[p.Host] = hostDemand{at: now, demand: e.Demand}
	case event.BeatSeen:
		p.observeHeartbeat(now, e)
	case event.HostLost:
		delete(p.demands, e.Host)
	case event.EndpointPolled:
		if e.OK {
			p.updateLoad(wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}, e.Tokens, now-e.Age)
		}
	case event.EndpointLeaving:
		p.leaving[e.Mark] = now
	case event.EndpointsListed:
		p.observeList(now, e.List)
	case event.ObjectSeen:
		p.observeRollout(e.Object)
	default:
		return false
	}
	return true
}

func (p *Component) observeHeartbeat(now time.Duration, e event.BeatSeen) {
	p.demands[e.Host] = hostDemand{at: now, demand: e.Beat.Demand}
	for _, l := range e.Beat.Loads {
		age := time.Duration(l.AgeMS) * time.Millisecond
		p.updateLoad(wire.LeaveMark{Endpoint: l.Endpoint, Incarnation: l.Incarnation}, l.Tokens, now-age)
	}
}

func (p *Component) updateLoad(mark wire.LeaveMark, tokens int, at time.Duration) {
	if at >= p.loads[mark].at {
		p.loads[mark] = reportedLoad{tokens: tokens, at: at}
	}
}

// observeList replaces the list and drops the loads of endpoints that are no longer listed, and expired leave marks.
func (p *Component) observeList(now time.Duration, list wire.EndpointList) {
	firstListed := make(map[wire.LeaveMark]uint64, len(list.Endpoints))
	for _, e := range list.Endpoints {
		mark := markOf(e)
		firstListed[mark] = p.firstRevision(mark, list.Revision)
		if _, marked := p.leaving[mark]; marked {
			p.leaving[mark] = now
		}
	}
	for mark := range p.loads {
		if _, shown := firstListed[mark]; !shown {
			delete(p.loads, mark)
		}
	}
	for mark, lastListed := range p.leaving {
		if now-lastListed > leaveMarkTTL {
			delete(p.leaving, mark)
		}
	}
	p.list = &list
	p.firstListed = firstListed
}

func (p *Component) firstRevision(mark wire.LeaveMark, revision uint64) uint64 {
	if p.list == nil {
		return 0
	}
	if first, known := p.firstListed[mark]; known {
		return first
	}
	return revision
}

func markOf(e wire.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

func (p *Component) observeRollout(object wire.Object) {
	name, ok := strings.CutPrefix(object.Name, wire.PrefixRollouts)
	if !ok {
		return
	}
	var spec wire.RolloutSpec
	if object.Deleted || json.Unmarshal(object.Value, &spec) != nil {
		delete(p.rolloutModels, name)
		return
	}
	p.rolloutModels[name] = spec.Model
}

func (p *Component) applyConfig(site *config.Site, out *event.Batch) {
	p.site = site
	names := make([]string, 0, len(site.Zones))
	for n, z := range site.Zones {
		if z.Model != "" {
			names = append(names, DutyPrefix+n)
		}
	}
	sort.Strings(names)
	out.Raise(event.WantDuties{Owner: owner, Duties: names})
}

func (p *Component) startTerm(now time.Duration, e event.DutyGained, out *event.Batch) {
	name, ok := strings.CutPrefix(e.Duty, DutyPrefix)
	if !ok {
		return
	}
	ledger, err := Decode(e.Ledger)
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "FleetLedgerInvalid", Fields: []event.Field{{Key: "Zone", Value: name}, {Key: "Error", Value: err.Error()}}})
		return
	}
	p.zones[name] = newZoneTerm(now, name, e.Epoch, ledger)
}

func (p *Component) confirmWrite(e event.LedgerWritten) {
	z := p.zones[strings.TrimPrefix(e.Duty, DutyPrefix)]
	if z != nil && strings.HasPrefix(e.Duty, DutyPrefix) && e.Epoch == z.epoch {
		z.written = max(z.written, e.Seq)
	}
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	if p.site == nil || p.list == nil || now < p.nextDecide {
		return
	}
	p.nextDecide = now + decideInterval
	names := make([]string, 0, len(p.zones))
	for n := range p.zones {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		p.tickZone(now, p.zones[n], out)
	}
}

// tickZone settles, records and sends a zone's orders while the lease of its duty is trusted.
func (p *Component) tickZone(now time.Duration, z *zoneTerm, out *event.Batch) {
	settings, known := p.site.Zones[z.name]
	until, epoch, held := p.Trust.Holds(DutyPrefix+z.name, now)
	if !known || !held || epoch != z.epoch {
		return
	}
	if p.list.Revision < z.ledger.Listed {
		return // older than a list that the former holder acted on
	}
	z.removeSettled(now, p, settings, out)
	z.drainStopping(now, p, out)
	need := p.demands.total(now, settings.Model)
	need.Trainers = p.trainerCount(settings.Model)
	need.CheapUnavailable = z.backoffs[wire.Cheap].active(now)
	have := z.countEndpoints(p.list, settings, p.leaving)
	need.Cheap = have.Cheap
	target := spend.PolicyFor(p.site.Spend.Policy).Target(p.site, z.name, need)
	z.recordOrders(now, target, have, p, out)
	z.writeLedger(out)
	z.sendOrders(now, until, p, out)
}

func (p *Component) trainerCount(model string) int {
	n := 0
	for _, m := range p.rolloutModels {
		if m == model {
			n++
		}
	}
	return n
}
