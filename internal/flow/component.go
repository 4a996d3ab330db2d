// Package flow implements the state machine of requests: admission, queueing, the choice of an endpoint, attempts and
// retries. Every request ends with exactly one answer.
package flow

import (
	"math/rand/v2"
	"time"

	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/crash"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/origin"
	"github.com/figshift/figshift/internal/reach"
	"github.com/figshift/figshift/internal/retry"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// Component is the component of the reducer that handles requests. Its exported fields must be set before the first
// Step. It must not be used concurrently.
type Component struct {
	Host           string
	Zone           string
	Trust          event.Trust
	Limits         limit.Gate    // nil for limit.Unlimited
	Crashes        crash.Watch   // nil for crash.Trusting
	Links          reach.Links   // nil for reach.Unbroken
	Origins        origin.Memory // nil for origin.Forgetful
	Keys           *keys.Table
	Random         *rand.Rand
	Process        config.Process
	DisablePolling bool // endpoint load is learnt from answers only
	// Sticky sends requests without a prompt to one endpoint while it is idle, instead of to the less loaded of two.
	Sticky      bool
	LogRequests bool                          // log each decision about a request
	Queue       admit.Queue[uint64]           // nil for an admit.Fair
	Picker      route.Picker[*route.Endpoint] // nil for a route.PrefixAffinity, within a route.Sticky when Sticky is set

	site             *config.Site
	routes           route.Routes
	table            route.Table
	budget           retry.Budget
	servedTokens     admit.ServedTokens
	throughputs      map[string]*admit.Throughput // by pool and class
	requests         map[uint64]*request
	queuedByPool     map[string]int           // number of queued requests by pool
	limitedByPool    map[string]*limit.Recent // requests that were refused because of limits, by pool
	passed           map[string]int           // number of this host's calls under way through each other host
	relayPausedUntil map[string]time.Duration // by host that took no call
	pendingRetries   int                      // requests that wait for their next attempt; they count towards QueuePerDaemon
	isolation        isolation
	timers           timers
	lastAttempt      uint64 // number of the last attempt started
	poller           poller
	startup          startupGate
	drain            drain
	demand           demandTracker
	refusals         map[string]map[kinds.Kind]uint64 // number of refused requests by organisation and kind
	staleSince       time.Duration                    // time at which trust in the authority lapsed, 0 while it is trusted
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.lazyInit()
	if p.handleRequestEvent(now, ev, out) {
		return
	}
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.applyConfig(now, e.Site, out)
	case event.KeysInForce:
		p.checkKeys(now, out)
	case event.EndpointsListed:
		p.updateEndpoints(now, e.List, out)
	case event.EndpointPolled:
		p.handlePolled(now, e, out)
	case event.BeatSeen:
		p.handleHeartbeat(now, e, out)
	case event.HostsChanged:
		p.poller.setHosts(e.Hosts)
		p.startup.setPeerCount(len(p.poller.peers))
		p.dispatch(now, out)
	case event.HostLost:
		p.handleHostLost(e.Host)
	case event.EndpointAnswered:
		p.handleAnswered(now, e, out)
	case event.EndpointIdentified:
		p.handleIdentified(now, e, out)
	case event.LinksChanged:
		p.handleLinksChanged(now, e, out)
	case event.DrainEndpoint:
		p.markLeaving(now, e.Mark, out)
	case event.StopAsked:
		p.drain.begin(now, p.Process.BalancerDelay, p.Process.StopTime, out)
	case event.ListenerClosed:
		p.drain.closed = true
	case event.AuthoriseCall:
		p.handleAuthoriseCall(now, e, out)
	case event.StatusAsked:
		p.handleStatusAsked(now, e, out)
	case event.Tick:
		p.tick(now, out)
	}
}

// handleRequestEvent handles the events that concern a single request and reports whether ev is one of them.
func (p *Component) handleRequestEvent(now time.Duration, ev event.Event, out *event.Batch) bool {
	switch e := ev.(type) {
	case event.RequestArrived:
		p.handleArrived(now, e, out)
	case event.AttemptConnected:
		p.handleConnected(now, e, out)
	case event.AttemptHead:
		p.handleHead(now, e, out)
	case event.StreamBegan:
		p.handleStreamBegan(now, e, out)
	case event.StreamSought:
		p.handleStreamSought(now, e, out)
	case event.AttemptDone:
		p.handleAttemptDone(now, e, out)
	case event.CallerGone:
		p.abandon(now, e.Request, out)
	case event.CancelRequest:
		p.abandon(now, e.Request, out)
	default:
		return false
	}
	return true
}

const (
	affinityMaxLoad    = 1.25   // multiple of the mean work of the candidates
	affinityAllowance  = 4000.0 // tokens
	backgroundMinShare = 0.1    // of the served tokens while such requests wait
	rolloutMinShare    = 0.05   // of the served tokens while such requests wait
)

func (p *Component) lazyInit() {
	if p.requests != nil {
		return
	}
	p.requests = map[uint64]*request{}
	p.throughputs = map[string]*admit.Throughput{}
	p.queuedByPool = map[string]int{}
	p.passed = map[string]int{}
	p.refusals = map[string]map[kinds.Kind]uint64{}
	if p.Crashes == nil {
		p.Crashes = crash.Trusting{}
	}
	if p.Limits == nil {
		p.Limits = limit.Unlimited{}
	}
	if p.Links == nil {
		p.Links = reach.Unbroken{}
	}
	if p.Origins == nil {
		p.Origins = origin.Forgetful{}
	}
	p.poller.host, p.poller.lost = p.Host, map[string]bool{}
	if p.Queue == nil {
		p.Queue = &admit.Fair[uint64]{
			MinShares: map[config.Class]float64{config.Background: backgroundMinShare, config.Rollout: rolloutMinShare},
		}
	}
	if p.Picker == nil {
		p.Picker = &route.PrefixAffinity[*route.Endpoint]{Random: p.Random, MaxLoad: affinityMaxLoad, Allowance: affinityAllowance}
		if p.Sticky {
			p.Picker = &route.Sticky[*route.Endpoint]{Host: p.Host, Fallback: p.Picker}
		}
	}
}

func (p *Component) applyConfig(now time.Duration, site *config.Site, out *event.Batch) {
	p.site = site
	p.startup.begin(now)
	p.routes = route.NewRoutes(site)
	p.budget.Share = site.Retry.BudgetShare
	p.budget.Retain(func(name string) bool {
		_, ok := site.Routes[name]
		return ok
	})
	if fair, ok := p.Queue.(*admit.Fair[uint64]); ok {
		fair.Weights = organisationWeights(site)
	}
	out.Emit(event.UseSite{Site: site})
	p.dispatch(now, out)
}

func organisationWeights(site *config.Site) map[string]int {
	weights := make(map[string]int, len(site.Organisations))
	for name, o := range site.Organisations {
		weights[name] = o.Weight
	}
	return weights
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	p.checkTrust(now, out)
	p.fireTimers(now, out)
	p.endAtStop(now, out)
	p.checkOverdue(now)
	if !p.DisablePolling {
		p.poller.tick(now, &p.table, p.Limits, out)
	}
	p.demand.tick(now, p, out)
	p.dispatch(now, out)
	p.drain.tick(now, len(p.requests), out)
}

func (p *Component) updateEndpoints(now time.Duration, list wire.EndpointList, out *event.Batch) {
	p.table.Update(now, list.Endpoints)
	for _, e := range list.Endpoints {
		if e.State == wire.Leaving {
			p.markLeaving(now, wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}, out)
		}
	}
	p.dispatch(now, out)
}

// handleAnswered takes what an endpoint tells of itself in any answer.
func (p *Component) handleAnswered(now time.Duration, e event.EndpointAnswered, out *event.Batch) {
	mark := wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}
	if !e.Leaving || p.table.IsMarked(mark) {
		return
	}
	out.Emit(event.Log{Level: "info", Event: "EndpointSaysLeaving", Fields: []event.Field{
		{Key: "Endpoint", Value: e.Endpoint}, {Key: "Incarnation", Value: e.Incarnation},
	}})
	p.markLeaving(now, mark, out)
}

// handleIdentified takes what an endpoint has told of itself. When it has started again since the list was made, the
// incarnation that is listed is gone for good.
func (p *Component) handleIdentified(now time.Duration, e event.EndpointIdentified, out *event.Batch) {
	if e.Found == "" || e.Found == e.Incarnation {
		return
	}
	out.Emit(event.Log{Level: "info", Event: "EndpointReplaced", Fields: []event.Field{
		{Key: "Endpoint", Value: e.Endpoint}, {Key: "Incarnation", Value: e.Incarnation}, {Key: "Found", Value: e.Found},
	}})
	p.markLeaving(now, wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}, out)
}

// markLeaving records a leave mark and raises EndpointLeaving when it is new.
func (p *Component) markLeaving(now time.Duration, mark wire.LeaveMark, out *event.Batch) {
	if p.table.MarkLeaving(now, mark) {
		out.Raise(event.EndpointLeaving{Mark: mark})
	}
}

func (p *Component) handleHeartbeat(now time.Duration, e event.BeatSeen, out *event.Batch) {
	for _, mark := range e.Beat.Leaving {
		p.markLeaving(now, mark, out)
	}
	for _, report := range e.Beat.Loads {
		p.table.ApplyLoad(now, report)
	}
	p.servedTokens.RecordPeer(e.Host, e.Beat.Served, p.chargeServedElsewhere)
	if p.startup.recordHeartbeat(e.Host) {
		p.dispatch(now, out)
	}
	delete(p.poller.lost, e.Host)
}

func (p *Component) chargeServedElsewhere(organisation string, class config.Class, tokens uint64) {
	if fair, ok := p.Queue.(*admit.Fair[uint64]); ok {
		fair.ServedElsewhere(organisation, class, tokens)
	}
}

func (p *Component) handleHostLost(host string) {
	p.servedTokens.Forget(host)
	p.poller.lost[host] = true
}

// FillBeat adds leave marks, served tokens, load reports and demand to an outgoing heartbeat.
func (p *Component) FillBeat(now time.Duration, heartbeat *wire.Beat) {
	heartbeat.Leaving = append(heartbeat.Leaving, p.table.Marks(now)...)
	heartbeat.Served = append(heartbeat.Served, p.servedTokens.Changes(now)...)
	heartbeat.Loads = append(heartbeat.Loads, p.poller.takeUnsent(now)...)
	heartbeat.Demand = append(heartbeat.Demand, p.demand.snapshot(now, p)...)
}
