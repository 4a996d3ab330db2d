// Package flow holds the state machine of requests: from arrival through admission, the choice of an endpoint
// and its attempts to exactly one answer.
package flow

import (
	"math/rand/v2"
	"time"

	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// Part is the request area of the reducer's state. Its exported fields are set before the first Step.
// It must not be used concurrently.
type Part struct {
	Host    string
	Zone    string
	Trust   event.Trust
	Keys    *keys.Table
	Random  *rand.Rand
	Process config.Process
	NoPolls bool // endpoints tell their load with their answers only
	// KeepsToOne says that plain calls go to one endpoint while it is idle, in place of the less busy of two.
	KeepsToOne bool
	Lines      bool                // each decision about a request is logged
	Queue      admit.Queue[uint64] // nil takes admit.Fair
	Picker     route.Picker[*route.Endpoint]

	site     *config.Site
	routes   route.Routes
	table    route.Table
	budget   retry.Budget
	ledger   admit.Ledger
	paces    map[string]*admit.Pace // by pool and class
	requests map[uint64]*request
	waiting  map[string]int // queued requests by pool
	backing  int            // requests that wait for another attempt; they count towards the queue limit
	timers   timers
	attempts uint64
	polls    poller
	peers    peers
	drain    drain
	demand   demand
	refused  map[string]map[kinds.Kind]uint64
	staleAt  time.Duration // time since which the authority is not trusted, 0 while it is
}

// Step takes one event.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.prepare()
	if p.stepRequest(now, ev, out) {
		return
	}
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.useSite(now, e.Site, out)
	case event.KeysInForce:
		p.checkKeys(now, out)
	case event.EndpointsListed:
		p.list(now, e.List, out)
	case event.EndpointPolled:
		p.polled(now, e, out)
	case event.BeatSeen:
		p.beat(now, e, out)
	case event.HostsChanged:
		p.polls.setHosts(e.Hosts)
		p.peers.known(len(p.polls.hosts))
		p.dispatch(now, out)
	case event.HostLost:
		p.hostLost(e.Host)
	case event.DrainEndpoint:
		p.leave(now, e.Mark, out)
	case event.StopAsked:
		p.drain.begin(now, p.Process.BalancerDelay, out)
	case event.ListenerClosed:
		p.drain.closed = true
	case event.AuthoriseCall:
		p.authorise(now, e, out)
	case event.StatusAsked:
		p.status(now, e, out)
	case event.Tick:
		p.tick(now, out)
	}
}

// stepRequest takes the events of one request and reports whether ev is one.
func (p *Part) stepRequest(now time.Duration, ev event.Event, out *event.Batch) bool {
	switch e := ev.(type) {
	case event.RequestArrived:
		p.arrive(now, e, out)
	case event.AttemptConnected:
		p.connected(now, e, out)
	case event.AttemptHead:
		p.head(now, e, out)
	case event.AttemptDone:
		p.attemptDone(now, e, out)
	case event.CallerGone:
		p.giveUp(now, e.Request, out)
	case event.CancelRequest:
		p.giveUp(now, e.Request, out)
	default:
		return false
	}
	return true
}

const (
	affineSlack     = 1.25
	affineSpare     = 4000.0 // tokens
	backgroundFloor = 0.1
	rolloutFloor    = 0.05
)

func (p *Part) prepare() {
	if p.requests != nil {
		return
	}
	p.requests = map[uint64]*request{}
	p.paces = map[string]*admit.Pace{}
	p.waiting = map[string]int{}
	p.refused = map[string]map[kinds.Kind]uint64{}
	p.polls.host, p.polls.lost = p.Host, map[string]bool{}
	if p.Queue == nil {
		p.Queue = &admit.Fair[uint64]{
			Floors: map[config.Class]float64{config.Background: backgroundFloor, config.Rollout: rolloutFloor},
		}
	}
	if p.Picker == nil {
		p.Picker = &route.Affine[*route.Endpoint]{Random: p.Random, Slack: affineSlack, Spare: affineSpare}
		if p.KeepsToOne {
			p.Picker = &route.Kept[*route.Endpoint]{Host: p.Host, Next: p.Picker}
		}
	}
}

func (p *Part) useSite(now time.Duration, site *config.Site, out *event.Batch) {
	p.site = site
	p.peers.begin(now)
	p.routes = route.NewRoutes(site)
	p.budget.Share = site.Retry.BudgetShare
	p.budget.Keep(func(name string) bool {
		_, ok := site.Routes[name]
		return ok
	})
	if fair, ok := p.Queue.(*admit.Fair[uint64]); ok {
		fair.Weights = weights(site)
	}
	out.Emit(event.UseSite{Site: site})
	p.dispatch(now, out)
}

func weights(site *config.Site) map[string]int {
	w := make(map[string]int, len(site.Organisations))
	for name, o := range site.Organisations {
		w[name] = o.Weight
	}
	return w
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	p.checkTrust(now, out)
	p.fire(now, out)
	if !p.NoPolls {
		p.polls.tick(now, &p.table, out)
	}
	p.demand.tick(now, p, out)
	p.dispatch(now, out)
	p.drain.tick(now, len(p.requests), out)
}

func (p *Part) list(now time.Duration, list wire.EndpointList, out *event.Batch) {
	p.table.List(now, list.Endpoints)
	for _, e := range list.Endpoints {
		if e.State == wire.Leaving {
			p.leave(now, wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}, out)
		}
	}
	p.dispatch(now, out)
}

// leave records a leave mark and tells the other parts of a new one.
func (p *Part) leave(now time.Duration, id wire.LeaveMark, out *event.Batch) {
	if p.table.Leave(now, id) {
		out.Raise(event.EndpointLeaving{Mark: id})
	}
}

func (p *Part) beat(now time.Duration, e event.BeatSeen, out *event.Batch) {
	for _, id := range e.Beat.Leaving {
		p.leave(now, id, out)
	}
	for _, r := range e.Beat.Loads {
		p.table.Report(now, r)
	}
	p.ledger.Seen(e.Host, e.Beat.Served, p.charge)
	if p.peers.hear(e.Host) {
		p.dispatch(now, out)
	}
	delete(p.polls.lost, e.Host)
}

func (p *Part) charge(organisation string, class config.Class, tokens uint64) {
	if fair, ok := p.Queue.(*admit.Fair[uint64]); ok {
		fair.ServedElsewhere(organisation, class, tokens)
	}
}

func (p *Part) hostLost(host string) {
	p.ledger.Forget(host)
	p.polls.lost[host] = true
}

// Contribute adds this area's share to a beat.
func (p *Part) Contribute(now time.Duration, beat *wire.Beat) {
	beat.Leaving = append(beat.Leaving, p.table.Marks(now)...)
	beat.Served = append(beat.Served, p.ledger.News(now)...)
	beat.Loads = append(beat.Loads, p.polls.news(now)...)
	beat.Demand = append(beat.Demand, p.demand.now(now, p)...)
}
