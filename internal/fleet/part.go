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
	owner       = "fleet"
	decideEvery = 250 * time.Millisecond
	// leavingKeep is the time for which a leave mark outlasts its endpoint's place in the list, which may flap.
	leavingKeep = 10 * time.Minute
)

// Part is the part that holds the duties of the zones. Its exported fields are set before use.
type Part struct {
	Host  string
	Trust event.Trust

	site       *config.Site
	demands    demands
	loads      map[wire.LeaveMark]load
	leaving    map[wire.LeaveMark]time.Duration // last time at which the list showed it
	list       *wire.EndpointList
	firstSeen  map[wire.LeaveMark]uint64 // revision of the first list that showed it, 0 when that list was the first of all
	rollouts   map[string]string         // model by rollout
	zones      map[string]*zone          // of the duties held here
	seq        uint64                    // of the last order sent
	nextDecide time.Duration
}

// load is an endpoint's own report.
type load struct {
	tokens int
	at     time.Duration // when the endpoint made it
}

// Step takes the events of demand, endpoints, leases and orders. It must not be called concurrently.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.prepare()
	if p.observe(now, ev) {
		return
	}
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.configure(e.Site, out)
	case event.DutyGained:
		p.gain(now, e, out)
	case event.DutyLost:
		delete(p.zones, strings.TrimPrefix(e.Duty, DutyPrefix))
	case event.LedgerWritten:
		p.written(e)
	case event.OrderSent:
		p.sent(now, e, out)
	case event.Tick:
		p.tick(now, out)
	}
}

func (p *Part) prepare() {
	if p.demands != nil {
		return
	}
	p.demands = demands{}
	p.loads = map[wire.LeaveMark]load{}
	p.leaving = map[wire.LeaveMark]time.Duration{}
	p.rollouts = map[string]string{}
	p.zones = map[string]*zone{}
}

// observe takes what tells of the fleet's state and reports whether ev was of that kind.
func (p *Part) observe(now time.Duration, ev event.Event) bool {
	switch e := ev.(type) {
	case event.DemandSeen:
		p.demands[p.Host] = hostDemand{at: now, demand: e.Demand}
	case event.BeatSeen:
		p.hear(now, e)
	case event.HostLost:
		delete(p.demands, e.Host)
	case event.EndpointPolled:
		if e.OK {
			p.report(wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}, e.Tokens, now-e.Age)
		}
	case event.EndpointLeaving:
		p.leaving[e.Mark] = now
	case event.EndpointsListed:
		p.take(now, e.List)
	case event.ObjectSeen:
		p.see(e.Object)
	default:
		return false
	}
	return true
}

func (p *Part) hear(now time.Duration, e event.BeatSeen) {
	p.demands[e.Host] = hostDemand{at: now, demand: e.Beat.Demand}
	for _, l := range e.Beat.Loads {
		age := time.Duration(l.AgeMS) * time.Millisecond
		p.report(wire.LeaveMark{Endpoint: l.Endpoint, Incarnation: l.Incarnation}, l.Tokens, now-age)
	}
}

func (p *Part) report(id wire.LeaveMark, tokens int, at time.Duration) {
	if at >= p.loads[id].at {
		p.loads[id] = load{tokens: tokens, at: at}
	}
}

// take keeps a newer list and forgets what is known of endpoints that it shows no more.
func (p *Part) take(now time.Duration, list wire.EndpointList) {
	seen := make(map[wire.LeaveMark]uint64, len(list.Endpoints))
	for _, e := range list.Endpoints {
		id := idOf(e)
		seen[id] = p.firstShown(id, list.Revision)
		if _, marked := p.leaving[id]; marked {
			p.leaving[id] = now
		}
	}
	for id := range p.loads {
		if _, shown := seen[id]; !shown {
			delete(p.loads, id)
		}
	}
	for id, last := range p.leaving {
		if now-last > leavingKeep {
			delete(p.leaving, id)
		}
	}
	p.list = &list
	p.firstSeen = seen
}

func (p *Part) firstShown(id wire.LeaveMark, revision uint64) uint64 {
	if p.list == nil {
		return 0
	}
	if first, known := p.firstSeen[id]; known {
		return first
	}
	return revision
}

func idOf(e wire.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

func (p *Part) see(object wire.Object) {
	name, ok := strings.CutPrefix(object.Name, wire.PrefixRollouts)
	if !ok {
		return
	}
	var spec wire.RolloutSpec
	if object.Deleted || json.Unmarshal(object.Value, &spec) != nil {
		delete(p.rollouts, name)
		return
	}
	p.rollouts[name] = spec.Model
}

func (p *Part) configure(site *config.Site, out *event.Batch) {
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

func (p *Part) gain(now time.Duration, e event.DutyGained, out *event.Batch) {
	name, ok := strings.CutPrefix(e.Duty, DutyPrefix)
	if !ok {
		return
	}
	ledger, err := Decode(e.Ledger)
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "FleetLedgerInvalid", Fields: []event.Field{{Key: "Zone", Value: name}, {Key: "Error", Value: err.Error()}}})
		return
	}
	p.zones[name] = newZone(now, name, e.Epoch, ledger)
}

func (p *Part) written(e event.LedgerWritten) {
	z := p.zones[strings.TrimPrefix(e.Duty, DutyPrefix)]
	if z != nil && strings.HasPrefix(e.Duty, DutyPrefix) && e.Epoch == z.epoch {
		z.written = max(z.written, e.Seq)
	}
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	if p.site == nil || p.list == nil || now < p.nextDecide {
		return
	}
	p.nextDecide = now + decideEvery
	names := make([]string, 0, len(p.zones))
	for n := range p.zones {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		p.tickZone(now, p.zones[n], out)
	}
}

// tickZone decides and acts for a zone while its lease is trusted.
func (p *Part) tickZone(now time.Duration, z *zone, out *event.Batch) {
	settings, known := p.site.Zones[z.name]
	until, epoch, held := p.Trust.Holds(DutyPrefix+z.name, now)
	if !known || !held || epoch != z.epoch {
		return
	}
	if p.list.Revision < z.ledger.Listed {
		return // read before the list by which the former holder went
	}
	z.settle(now, p, settings, out)
	z.drain(now, p, out)
	need := p.demands.need(now, settings.Model)
	need.Trainers = p.trainers(settings.Model)
	need.CheapGone = z.backoffs[wire.Cheap].active(now)
	live := z.count(p.list, settings, p.leaving)
	need.Cheap = live.Cheap
	want := spend.Of(p.site.Spend.Policy).Want(p.site, z.name, need)
	z.decide(now, want, live, p, out)
	z.write(out)
	z.send(now, until, p, out)
}

func (p *Part) trainers(model string) int {
	n := 0
	for _, m := range p.rollouts {
		if m == model {
			n++
		}
	}
	return n
}
