// Package view keeps a copy of the platform's objects by lists and watches of the store, and fetches from the peers the
// changes that its own calls miss, also while the store does not answer this host.
package view

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

// The prefixes of the objects that every daemon follows.
const (
	PrefixConfig    = "Config/"
	PrefixEndpoints = "Endpoints/"
	PrefixVersions  = "Versions/"
	PrefixHosts     = wire.PrefixHosts
)

const (
	callOwner = "view"
	// watchPause is the pause between an answer and the next watch once the fleet is so large that zones have hubs:
	// its endpoints change several times a second. It delays a change by at most this much.
	watchPause = 200 * time.Millisecond
	// watchDuration is how long one watch waits for a change.
	watchDuration = 10 * time.Second
	// watcherCount is the number of hosts that watch each prefix; they push the changes to the other hosts.
	watcherCount = 2
	// relisterCount is the number of hosts that periodically list a prefix again, in turns, because a watch can miss
	// changes without an error. If one of them does not take its turns, a missed change is still found within
	// relisterCount times relistTurn.
	relisterCount   = 3
	relistTurn      = 500 * time.Millisecond
	minRetryDelay   = 100 * time.Millisecond
	maxRetryDelay   = time.Second
	minPullInterval = 300 * time.Millisecond
	// expiryGrace is how long after the store's recovery an endpoint whose entry has expired still gets work. Entries are
	// renewed within about 2 s of the recovery, and a stopped endpoint must not be sent anything 2 s after its end.
	expiryGrace = 1700 * time.Millisecond
	// raiseIntervalPerEndpoint, times the number of endpoints, is the minimum interval between two endpoint lists.
	// Processing a list costs all components together 0.8 us per endpoint, so that lists take less than a hundredth of a
	// core. An interval below minRaiseInterval, a few ticks, counts as 0.
	raiseIntervalPerEndpoint = 100 * time.Microsecond
	minRaiseInterval         = 25 * time.Millisecond
	// startupDelay is the time after a prefix's first list during which it is neither watched nor listed again, except
	// for the hosts prefix and, in a fully connected fleet, the watches. A host that has just started receives the first
	// heartbeats from the hosts that do so for it only after a few intervals; until then all hosts of a large fleet that
	// start at once would watch. It needs the hosts that start at the same time at once, because they take over copies
	// and batch jobs.
	startupDelay = time.Second
	// maxOddBytes is the maximum length of what is kept of an entry that can't be decoded.
	maxOddBytes = 4 << 10
	// unavailableAfter is the time without an answer after which the store counts as unavailable.
	unavailableAfter = 1500 * time.Millisecond
)

// Decoder decodes the platform's own objects. Its methods are pure.
type Decoder interface {
	// Site returns the configuration and its organisations' keys.
	Site(value []byte) (*config.Site, map[string]keys.Entry, error)
	// Endpoint returns the endpoint of an entry; an error means that the entry names no usable endpoint.
	Endpoint(name string, value []byte) (wire.Endpoint, error)
	// Version returns a model and its newest published weight version.
	Version(value []byte) (wire.ModelVersion, error)
}

// Component is the component of the reducer that follows the objects. Its exported fields are set before the first Step.
type Component struct {
	Host    string
	Zone    string
	Decoder Decoder
	Keys    *keys.Table // filled by this component
	// ApplyBound is the time within which a change in the store is in force on each host that reaches it. 0 leaves the reading to
	// few hosts, however old what they tell.
	ApplyBound time.Duration

	initialised bool
	caches      []*prefixCache
	callSeq     uint64 // number of the last call
	site        *config.Site
	lastAnswer  time.Duration // time of the store's last answer
	recoveredAt time.Duration // time of the store's first answer after an outage, 0 for none
	expired     map[string]expiredEndpoint
	// endpoints holds the entries that could be decoded, by name.
	endpoints     map[string]wire.Endpoint
	refused       map[string]string // why each of the other entries can't be decoded, by name
	lastRaise     time.Duration     // time of the last endpoint list
	raisePending  bool              // a change waits for the next endpoint list
	lastPull      map[string]time.Duration
	lastHeartbeat map[string]time.Duration // time of the last heartbeat, by host
	zoneOf        map[string]string        // zone of each known host
	hubs          []string                 // of all zones, sorted; empty in a fully connected fleet
	ready         event.Ready
	stopping      bool
}

// expiredEndpoint is an endpoint whose entry was removed while the store was unavailable or had just recovered.
type expiredEndpoint struct {
	endpoint  wire.Endpoint
	removedAt time.Duration
}

// Step applies one event. It must not be called concurrently.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.init()
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.ObjectsDone:
		p.objectsDone(now, e, out)
	case event.BeatSeen:
		p.lastHeartbeat[e.Host] = now
		p.pullMissing(now, e, out)
		p.takeAges(now, e)
	case event.HostLost:
		delete(p.lastHeartbeat, e.Host)
	case event.HostsChanged:
		p.zoneOf = map[string]string{}
		for _, h := range e.Hosts {
			p.zoneOf[h.Name] = h.Zone
		}
		p.hubs = e.Hubs
	case event.PeerReceived:
		p.handlePeerMessage(now, e, out)
	case event.StopAsked:
		p.stopping = true
		p.reportReadiness(out)
	}
}

func (p *Component) init() {
	if p.initialised {
		return
	}
	p.initialised = true
	p.expired, p.endpoints = map[string]expiredEndpoint{}, map[string]wire.Endpoint{}
	p.refused = map[string]string{}
	p.lastPull = map[string]time.Duration{}
	p.lastHeartbeat = map[string]time.Duration{}
	p.caches = []*prefixCache{
		newPrefixCache(PrefixConfig, true),
		newPrefixCache(PrefixEndpoints, true),
		newPrefixCache(PrefixVersions, true),
		newPrefixCache(PrefixHosts, false),
	}
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	for _, c := range p.caches {
		p.callStore(now, c, out)
		p.relist(now, c, out)
		p.readStale(now, c, out)
		if c.listed && !p.readsStore(c) {
			c.failures = 0 // no further call is made whose answer would reset it
		}
	}
	p.dropExpired(now, out)
	p.raiseDelayed(now, out)
	p.reportReadiness(out)
}

// callStore lists a prefix that has not been listed yet and watches one that has.
func (p *Component) callStore(now time.Duration, c *prefixCache, out *event.Batch) {
	if c.inFlight || now < c.nextCall || c.listed && (!p.isWatcher(c) || now < c.watchFrom && !p.isFullyConnected()) {
		return
	}
	c.inFlight = true
	p.callSeq++
	c.callSeq = p.callSeq
	id := event.ObjectCall{Owner: callOwner, Seq: p.callSeq}
	if !c.listed {
		out.Emit(event.ListObjects{Call: id, Prefix: c.prefix})
		return
	}
	out.Emit(event.WatchObjects{Call: id, Prefix: c.prefix, After: c.syncedRevision, Wait: watchDuration})
}

// isWatcher reports whether this host is one of those that watch a prefix.
func (p *Component) isWatcher(c *prefixCache) bool {
	return p.rank(c) < watcherCount
}

// readsStore reports whether this host reads a prefix from the store itself, by watches or by periodic lists.
func (p *Component) readsStore(c *prefixCache) bool {
	rank := p.rank(c)
	return rank < watcherCount || c.relists && rank < relisterCount
}

// noRank is the rank of a host that leaves a prefix to others.
const noRank = math.MaxInt

// rank returns this host's place among those that may watch a prefix, in an order of its own for each prefix. In a
// fully connected fleet the candidates are all hosts from which this host receives heartbeats; in a large one they are
// the hubs from which it does, because all hubs are connected to each other. A host that is connected to no hub of its
// own zone counts itself as one.
func (p *Component) rank(c *prefixCache) int {
	if !p.hasHubs() {
		return ranks.Rank(c.prefix, append(slices.Sorted(maps.Keys(p.lastHeartbeat)), p.Host), p.Host)
	}
	candidates := []string{p.Host}
	for _, hub := range p.hubs {
		if _, ok := p.lastHeartbeat[hub]; !ok || hub == p.Host {
			continue
		}
		if !p.isHub() && p.zoneOf[hub] == p.Zone {
			return noRank
		}
		candidates = append(candidates, hub)
	}
	return ranks.Rank(c.prefix, candidates, p.Host)
}

// isHub reports whether this host is one of those that connect the zones of a large fleet.
func (p *Component) isHub() bool { return slices.Contains(p.hubs, p.Host) }

// hasHubs reports whether the fleet is so large that only its hubs are all connected to each other.
func (p *Component) hasHubs() bool { return len(p.hubs) > 0 }

// isFullyConnected reports whether the known hosts are few enough for all to be connected to each other; false until they have been
// listed.
func (p *Component) isFullyConnected() bool {
	return p.zoneOf != nil && p.prefixCache(PrefixHosts).listed && !p.hasHubs()
}

// isRelistTurn reports whether it is this host's turn to list a prefix again.
func (p *Component) isRelistTurn(c *prefixCache, turn int) bool {
	rank := p.rank(c)
	return rank < relisterCount && (len(p.lastHeartbeat) < relisterCount-1 || turn%relisterCount == rank)
}

// relist lists a prefix again in this host's turn, to find and push changes that no watch has reported.
func (p *Component) relist(now time.Duration, c *prefixCache, out *event.Batch) {
	if !c.relists || !c.listed || c.relistSeq != 0 || now < c.nextRelist {
		return
	}
	turn := int(now / relistTurn)
	if !p.isRelistTurn(c, turn) {
		c.nextRelist = time.Duration(turn+1) * relistTurn
		return
	}
	c.nextRelist = time.Duration(turn+relisterCount) * relistTurn
	p.callSeq++
	c.relistSeq = p.callSeq
	out.Emit(event.ListObjects{Call: event.ObjectCall{Owner: callOwner, Seq: p.callSeq}, Prefix: c.prefix})
}

func (p *Component) prefixCache(prefix string) *prefixCache {
	for _, c := range p.caches {
		if c.prefix == prefix {
			return c
		}
	}
	return nil
}

// reportReadiness tells the listeners whether this daemon accepts requests: it needs a configuration and endpoints.
func (p *Component) reportReadiness(out *event.Batch) {
	ready := event.Ready{Reason: p.notReadyReason()}
	ready.Ready = ready.Reason == ""
	if ready == p.ready {
		return
	}
	p.ready = ready
	out.Emit(ready)
	out.Emit(event.Log{Level: "info", Event: "Readiness", Fields: []event.Field{{Key: "Reason", Value: ready.Reason}}})
}

func (p *Component) notReadyReason() string {
	switch {
	case p.stopping:
		return "Stopping"
	case p.site == nil:
		return "NoConfiguration"
	case len(p.endpoints) == 0:
		return "NoEndpoints"
	default:
		return ""
	}
}

// Trusted reports whether a configuration is known. A host that is cut off from the store goes on with the last one:
// the platform guarantees how soon a change takes effect only for hosts that reach it.
func (p *Component) Trusted(now time.Duration) (until time.Duration, ok bool) {
	const always = 24 * time.Hour
	return now + always, p.site != nil
}

// FillBeat adds the component's state to a heartbeat.
func (p *Component) FillBeat(now time.Duration, heartbeat *wire.Beat) {
	heartbeat.Ages = p.ages(now)
	heartbeat.Ready = p.ready.Ready
	heartbeat.Positions = make([]uint64, len(p.caches))
	for i, c := range p.caches {
		heartbeat.Positions[i] = c.newestRevision
	}
	if p.site != nil {
		heartbeat.ConfigRevision = p.site.Revision
	}
}
