// Package batch schedules submitted batch jobs. It decides which host owns a job, on which engine and when each item
// runs, and when results are listed, which means that they are stored in a chunk of the job's results.
package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/reach"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// drainOwner is the name of this package in the graceful stop.
const drainOwner = "Batch"

// KeyOwners finds the organisation of a key by its hash.
type KeyOwners interface {
	// OrganisationOf returns the organisation that a key admits now, or the kind of the refusal when it admits none.
	OrganisationOf(now time.Duration, hash string) (string, kinds.Kind)
}

// Membership provides the hosts that are alive.
type Membership interface {
	// Alive returns the hosts that are alive at time now, sorted by name and including this one.
	Alive(now time.Duration) []event.Host
}

// Component is the component of the reducer that runs batch jobs. Its exported fields are set before the first Step.
type Component struct {
	Self       event.Host
	KeyOwners  KeyOwners
	Membership Membership
	Limits     limit.Gate  // nil for limit.Unlimited
	Links      reach.Links // nil for reach.Unbroken
	Order      Order       // the order in which items are dispatched; nil means NeededFirst
	NewStore   bool        // the store is new, so that no jobs are listed at the start

	site              *config.Site
	routes            route.Routes
	jobs              map[string]*job // owned by this host, by id
	known             map[string]*knownJob
	engines           engines
	lastAttempt       uint64
	runEngines        map[uint64]wire.LeaveMark // engine of each run under way, by attempt
	submissions       map[uint64]submission     // being stored, by Seq
	endCalls          map[string][]uint64       // Seq of the calls that wait for the end of a job to be stored, by job
	now               time.Duration
	stopping          bool
	stoppingSince     time.Duration
	drained           bool // the open jobs were given away
	handover          handover
	flushingSince     time.Duration            // when the flush of the text copies began, 0 before
	stoppingHosts     map[string]bool          // by their last heartbeats
	disconnectedAt    map[string]time.Duration // when the connection to a host was closed, by host
	placementFailedAt map[string]time.Duration // when a host last failed to take a submission, by host
	routeHost         map[string]string        // owner of the last new job, by route
	informed          map[string]bool          // hosts that were sent this host's jobs
	largeFleet        bool                     // there are hubs: not all hosts are connected to each other
	hosts             []event.Host
	hubs              []string // hosts that forward news between the zones of a large fleet
	startedAt         time.Duration
	startupListed     bool // the jobs in the store at the start are known
	listingJobs       bool
	nextJobList       time.Duration
}

// submission is a submitted job that is being stored.
type submission struct {
	head     event.JobHead
	since    time.Duration
	request  event.KeepJob
	answered bool // its caller was answered before the job was stored
}

// Step applies one event. It must not be called concurrently.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.initialize(now)
	p.now = now
	if p.stepItem(now, ev, out) || p.stepOwner(now, ev, out) {
		return
	}
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.site = e.Site
		p.routes = route.NewRoutes(e.Site)
	case event.EndpointsListed:
		p.engines.setEndpoints(now, e.List.Endpoints)
		p.dispatch(now, out)
	case event.HostsChanged:
		p.handleHostsChanged(e.Hosts, e.Hubs, out)
	case event.EndpointLeaving:
		p.engines.markLeaving(e.Mark)
	case event.JobCalled:
		p.handleCall(now, e, out)
	case event.JobKept:
		p.handleJobKept(now, e, out)
	case event.JobEnded:
		p.handleJobEnded(now, e, out)
	case event.StopAsked:
		p.startDrain(now, out)
	case event.Tick:
		p.tick(now, out)
	}
}

// stepItem applies an event about items and chunks, and reports whether ev is one.
func (p *Component) stepItem(now time.Duration, ev event.Event, out *event.Batch) bool {
	switch e := ev.(type) {
	case event.ItemEnded:
		p.handleItemEnded(now, e, out)
	case event.EnginePace:
		p.handlePace(now, e, out)
	case event.ItemScored:
		p.handleItemScored(now, e, out)
	case event.ChunkStored:
		p.handleChunkStored(now, e, out)
	default:
		return false
	}
	return true
}

// stepOwner applies an event about job owners and other hosts, and reports whether ev is one.
func (p *Component) stepOwner(now time.Duration, ev event.Event, out *event.Batch) bool {
	switch e := ev.(type) {
	case event.JobsListed:
		p.handleJobsListed(now, e, out)
	case event.JobPlaced:
		p.handleJobPlaced(now, e, out)
	case event.JobSought:
		p.noteOwner(now, e.Seen, out)
		p.noteFound(e.Seen.Job)
	case event.JobTaken:
		p.handleJobTaken(now, e, out)
	case event.PeerReceived:
		if e.Message.News != nil {
			p.handleNews(now, e.Host, *e.Message.News, out)
		}
	case event.PeerUp:
		delete(p.disconnectedAt, e.Host)
		delete(p.informed, e.Host)
	case event.PeerDown:
		p.disconnectedAt[e.Host] = now
		delete(p.informed, e.Host)
	case event.CopiesFlushed:
		if p.stopping {
			p.finishDrain(now, out)
		} else {
			p.finishHandover(now, out)
		}
	case event.LinksChanged:
		p.handleLinksChanged(now, out)
	case event.BeatSeen:
		p.engines.setRemoteRuns(now, e.Host, e.Beat.Runs)
		p.stoppingHosts[e.Host] = e.Beat.Stopping
		if e.Anchored && !p.informed[e.Host] {
			p.informed[e.Host] = true // it has answered a heartbeat of this host, so messages to it arrive
			p.sendAllNews(e.Host, out)
		}
		for _, n := range e.Beat.Jobs {
			p.handleNews(now, e.Host, n, out)
			p.repeatEnd(now, e.Host, n.Job, out)
		}
	case event.HostLost:
		p.engines.setRemoteRuns(now, e.Host, nil)
		delete(p.informed, e.Host)
	default:
		return false
	}
	return true
}

// initialize sets up the state at the first Step.
func (p *Component) initialize(now time.Duration) {
	if p.jobs != nil {
		return
	}
	p.jobs = map[string]*job{}
	p.known = map[string]*knownJob{}
	p.runEngines = map[uint64]wire.LeaveMark{}
	p.submissions = map[uint64]submission{}
	p.endCalls = map[string][]uint64{}
	p.stoppingHosts = map[string]bool{}
	p.disconnectedAt = map[string]time.Duration{}
	p.placementFailedAt, p.routeHost = map[string]time.Duration{}, map[string]string{}
	p.informed = map[string]bool{}
	p.engines.self, p.engines.limits = p.Self.Name, p.Limits
	p.startedAt = now
	p.startupListed = p.NewStore
	if p.Limits == nil {
		p.Limits = limit.Unlimited{}
	}
	if p.Links == nil {
		p.Links = reach.Unbroken{}
	}
	if p.Order == nil {
		p.Order = NeededFirst{}
	}
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	p.listJobsAtStart(now, out)
	p.takeOrphans(now, out)
	p.startUnstored(now, out)
	p.queryOwners(now, out)
	for _, j := range p.sortedJobs() {
		p.updateCopyHost(now, j, out)
		p.checkOwnership(now, j, out)
		p.applyTimers(now, j, out)
		p.listResults(now, j, out)
	}
	p.dispatch(now, out)
	p.continueDrain(now, out)
	p.continueHandover(now, out)
}

// sortedJobs returns the jobs that this host owns, sorted by id.
func (p *Component) sortedJobs() []*job {
	all := slices.Collect(maps.Values(p.jobs))
	slices.SortFunc(all, func(a, b *job) int { return cmp.Compare(a.head.ID, b.head.ID) })
	return all
}

// FillBeat adds to a heartbeat the number of items that this host runs on each engine and the jobs that it owns.
func (p *Component) FillBeat(_ time.Duration, beat *wire.Beat) {
	beat.Runs, beat.Jobs = p.RunsByEngine(), p.ownedJobs()
}

// OpenItems returns the number of items of all unfinished jobs that this host knows of, by service.
func (p *Component) OpenItems() map[string]int {
	items := map[string]int{}
	if p.site == nil {
		return items
	}
	for _, k := range p.known {
		if r, ok := p.site.Routes[k.Route]; ok && !k.Ended {
			items[route.ServiceOf(r, 0)] += k.Items
		}
	}
	return items
}

// RunsByEngine returns the number of items that this host runs on each engine, sorted by engine.
func (p *Component) RunsByEngine() []wire.EngineRuns { return p.engines.ownRuns() }
