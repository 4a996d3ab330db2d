// Package batch decides about submitted batch jobs: who runs a job, which item runs where and when, and what is listed.
package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

// drainOwner names this part in the graceful stop.
const drainOwner = "Batch"

// Holders tells whose key a hash is.
type Holders interface {
	// Holder returns the organisation that a key admits now, or why it admits none.
	Holder(now time.Duration, hash string) (string, kinds.Kind)
}

// Roster tells which hosts are alive.
type Roster interface {
	// Alive returns the hosts that are heard at time now sorted by name, this one among them.
	Alive(now time.Duration) []event.Host
}

// Part is the share of the reducer that runs batch jobs. Its exported fields are set before the first Step.
type Part struct {
	Self    event.Host
	Holders Holders
	Roster  Roster
	Order   Order // which item first; nil takes NeededFirst
	Fresh   bool  // the store is new: there are no jobs to look for

	site     *config.Site
	routes   route.Routes
	jobs     map[string]*job // run by this host
	known    map[string]*seen
	engines  engines
	attempts uint64
	runs     map[uint64]wire.LeaveMark // engine of each run under way, by attempt
	calls    map[uint64]submission     // under way, by Seq
	ends     map[string][]uint64       // calls that wait for the end of a job to be stored
	now      time.Duration
	stopping bool
	drained  bool
	flushing time.Duration            // since when the copies are flushed, 0 before
	leaving  map[string]bool          // hosts that are stopping
	down     map[string]time.Duration // since when a host's connection is closed
	unplaced map[string]time.Duration // when a host last failed to take a submission
	ranAt    map[string]string        // host of the last job, by route
	told     map[string]bool          // hosts that know the jobs of this one
	large    bool                     // not all hosts hear each other
	hosts    []event.Host
	hubs     []string // hosts by which the zones of a large fleet hear of each other
	started  time.Duration
	listed   bool // the jobs that were there at the start are known
	listing  bool
	nextList time.Duration
}

// submission is a job that is being stored.
type submission struct {
	head     event.JobHead
	since    time.Duration
	keep     event.KeepJob
	answered bool // the caller has its answer; the job is still being stored
}

// Step applies one event. It must not be called concurrently.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start(now)
	p.now = now
	if p.stepItem(now, ev, out) || p.stepOwner(now, ev, out) {
		return
	}
	switch e := ev.(type) {
	case event.ConfigInForce:
		p.site = e.Site
		p.routes = route.NewRoutes(e.Site)
	case event.EndpointsListed:
		p.engines.list(now, e.List.Endpoints)
		p.dispatch(now, out)
	case event.HostsChanged:
		p.knowHosts(e.Hosts, e.Hubs, out)
	case event.EndpointLeaving:
		p.engines.leave(e.Mark)
	case event.JobCalled:
		p.called(now, e, out)
	case event.JobKept:
		p.kept(now, e, out)
	case event.JobEnded:
		p.endStored(now, e, out)
	case event.StopAsked:
		p.stop(now, out)
	case event.Tick:
		p.tick(now, out)
	}
}

// stepItem takes the events of items and reports whether ev is one.
func (p *Part) stepItem(now time.Duration, ev event.Event, out *event.Batch) bool {
	switch e := ev.(type) {
	case event.ItemEnded:
		p.itemEnded(now, e, out)
	case event.EnginePace:
		p.pace(now, e, out)
	case event.ItemScored:
		p.scored(now, e, out)
	case event.ChunkStored:
		p.chunkStored(now, e, out)
	default:
		return false
	}
	return true
}

// stepOwner takes the events that tell of owners and reports whether ev is one.
func (p *Part) stepOwner(now time.Duration, ev event.Event, out *event.Batch) bool {
	switch e := ev.(type) {
	case event.JobsListed:
		p.jobsListed(now, e, out)
	case event.JobPlaced:
		p.placed(now, e, out)
	case event.JobSought:
		p.sought(now, e.Seen, out)
	case event.JobTaken:
		p.taken(now, e, out)
	case event.PeerReceived:
		if e.Message.News != nil {
			p.news(now, e.Host, *e.Message.News, out)
		}
	case event.PeerUp:
		delete(p.down, e.Host)
		delete(p.told, e.Host)
	case event.PeerDown:
		p.down[e.Host] = now
		delete(p.told, e.Host)
	case event.CopiesFlushed:
		p.handOver(out)
	case event.BeatSeen:
		p.engines.others(now, e.Host, e.Beat.Runs)
		p.leaving[e.Host] = e.Beat.Stopping
		if e.Anchored && !p.told[e.Host] {
			p.told[e.Host] = true // it answers a beat from here, so that what is sent arrives
			p.tellAll(e.Host, out)
		}
		for _, n := range e.Beat.Jobs {
			p.news(now, e.Host, n, out)
		}
	case event.HostLost:
		p.engines.others(now, e.Host, nil)
		delete(p.told, e.Host)
	default:
		return false
	}
	return true
}

func (p *Part) start(now time.Duration) {
	if p.jobs != nil {
		return
	}
	p.jobs = map[string]*job{}
	p.known = map[string]*seen{}
	p.runs = map[uint64]wire.LeaveMark{}
	p.calls = map[uint64]submission{}
	p.ends = map[string][]uint64{}
	p.leaving = map[string]bool{}
	p.down = map[string]time.Duration{}
	p.unplaced, p.ranAt = map[string]time.Duration{}, map[string]string{}
	p.told = map[string]bool{}
	p.engines.host = p.Self.Name
	p.started = now
	p.listed = p.Fresh
	if p.Order == nil {
		p.Order = NeededFirst{}
	}
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	p.lookForJobs(now, out)
	p.takeOrphans(now, out)
	p.begin(now, out)
	p.askOwners(now, out)
	for _, j := range p.sorted() {
		p.copyTo(now, j, out)
		p.checkOwned(now, j, out)
		p.giveUp(now, j, out)
		p.list(now, j, out)
	}
	p.dispatch(now, out)
	p.endDrain(out)
}

// sorted returns the jobs by id.
func (p *Part) sorted() []*job {
	all := slices.Collect(maps.Values(p.jobs))
	slices.SortFunc(all, func(a, b *job) int { return cmp.Compare(a.head.ID, b.head.ID) })
	return all
}

// Contribute tells the other hosts how many items run on each engine.
func (p *Part) Contribute(_ time.Duration, beat *wire.Beat) {
	beat.Runs, beat.Jobs = p.Running(), p.claims()
}

// OpenItems returns the items of the open jobs that this host knows of, by service.
func (p *Part) OpenItems() map[string]int {
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

// Running returns the items of this host by engine, sorted.
func (p *Part) Running() []wire.EngineRuns { return p.engines.own() }
