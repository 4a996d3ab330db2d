// Package view follows the platform's objects by this daemon's own lists and watches, and fills gaps from the peers
// when the store does not answer here.
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
	owner = "view"
	// watchPause is the pause between an answer and the next watch in a large fleet, whose endpoints change several
	// times a second; a change is told that much later at most.
	watchPause = 200 * time.Millisecond
	// watchWait is the length of one watch.
	watchWait = 10 * time.Second
	// watchers is the number of hosts that watch one prefix; they push to the others.
	watchers = 2
	// checkers is the number of hosts that read a prefix again now and then, since a watch may be silent; each does in
	// its turn. A host whose turn is not known bounds what a change may lag by checkers times checkTurn.
	checkers   = 3
	checkTurn  = 500 * time.Millisecond
	firstRetry = 100 * time.Millisecond
	mostRetry  = time.Second
	pullEvery  = 300 * time.Millisecond
	// lapseGrace is the time after the store's return for which an endpoint whose entry has lapsed gets work: entries come
	// back within about 2 s, and one that is gone must not be sent anything 2 s after its end.
	lapseGrace = 1700 * time.Millisecond
	// raisePerEndpoint is the least time between two lists of endpoints, for each endpoint on them: to take a list costs
	// all parts 0.8 us an endpoint, so that lists need below a hundredth of a core. A shorter time than leastRaiseWait,
	// some ticks, is not waited.
	raisePerEndpoint = 100 * time.Microsecond
	leastRaiseWait   = 25 * time.Millisecond
	// settleIn is the time after the first list in which nothing but the hosts is watched or read again: a host that has just
	// started does not hear yet those that do so for it, which takes some beats. The hosts that start with it are needed at
	// once: they take copies and jobs over.
	settleIn = time.Second
	// awayAfter is the time without an answer after which the store counts as away.
	awayAfter = 1500 * time.Millisecond
)

// Decoder reads the platform's own objects. Its methods are pure.
type Decoder interface {
	// Site returns the configuration and its organisations' keys.
	Site(value []byte) (*config.Site, map[string]keys.Entry, error)
	// Endpoint returns an endpoint's entry; an error names no endpoint to use.
	Endpoint(name string, value []byte) (wire.Endpoint, error)
	// Version returns the model and the newest version named for it.
	Version(value []byte) (wire.ModelVersion, error)
}

// Part is the share of the reducer that follows the objects. Its exported fields are set before the first Step.
type Part struct {
	Host   string
	Zone   string
	Decode Decoder
	Keys   *keys.Table // filled by this part

	started  bool
	feeds    []*feed
	seq      uint64
	site     *config.Site
	answered time.Duration // time of the last answer of the store
	returned time.Duration // time at which the store answered again after it had been away
	lapsed   map[string]lapse
	// endpoints holds the entries that could be read, by name.
	endpoints map[string]wire.Endpoint
	raisedAt  time.Duration // of the last list of endpoints
	raiseDue  bool          // a change waits for the next one
	pulled    map[string]time.Duration
	heard     map[string]time.Duration // time of the last beat by host
	zones     map[string]string        // of all known hosts
	hubs      []string                 // of all zones, sorted
	ready     event.Ready
	stopping  bool
}

// lapse is an endpoint whose entry went while the store was away.
type lapse struct {
	endpoint wire.Endpoint
	since    time.Duration
}

// Step applies one event. It must not be called concurrently.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start()
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.ObjectsDone:
		p.done(now, e, out)
	case event.BeatSeen:
		p.heard[e.Host] = now
		p.compare(now, e, out)
	case event.HostLost:
		delete(p.heard, e.Host)
	case event.HostsChanged:
		p.zones = map[string]string{}
		for _, h := range e.Hosts {
			p.zones[h.Name] = h.Zone
		}
		p.hubs = e.Hubs
	case event.PeerReceived:
		p.receive(now, e, out)
	case event.StopAsked:
		p.stopping = true
		p.report(out)
	}
}

func (p *Part) start() {
	if p.started {
		return
	}
	p.started = true
	p.lapsed, p.endpoints = map[string]lapse{}, map[string]wire.Endpoint{}
	p.pulled = map[string]time.Duration{}
	p.heard = map[string]time.Duration{}
	p.feeds = []*feed{
		newFeed(PrefixConfig, true),
		newFeed(PrefixEndpoints, true),
		newFeed(PrefixVersions, true),
		newFeed(PrefixHosts, false),
	}
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	for _, f := range p.feeds {
		p.call(now, f, out)
		p.check(now, f, out)
		if f.listed && !p.follows(f) {
			f.failures = 0 // nothing is asked any more that could end them
		}
	}
	p.dropLapsed(now, out)
	p.raiseWaiting(now, out)
	p.report(out)
}

// call lists a prefix that is not known and watches one that is.
func (p *Part) call(now time.Duration, f *feed, out *event.Batch) {
	if f.busy || now < f.next || f.listed && !p.watches(f) {
		return
	}
	f.busy = true
	p.seq++
	f.seq = p.seq
	id := event.ObjectCall{Owner: owner, Seq: p.seq}
	if !f.listed {
		out.Emit(event.ListObjects{Call: id, Prefix: f.prefix})
		return
	}
	out.Emit(event.WatchObjects{Call: id, Prefix: f.prefix, After: f.position, Wait: watchWait})
}

// watches reports whether this host is one of those that watch a prefix.
func (p *Part) watches(f *feed) bool {
	return p.rank(f) < watchers
}

// follows reports whether this host reads a prefix by itself, by watches or now and then.
func (p *Part) follows(f *feed) bool {
	rank := p.rank(f)
	return rank < watchers || f.checked && rank < checkers
}

// never is the rank of a host that leaves a prefix to others.
const never = math.MaxInt

// rank returns this host's place among those that may watch a prefix, in an order of its own for each prefix: in a
// small fleet all that are heard, in a larger one the zones' hubs that are heard, which all hear each other. A host
// that hears no hub of its zone counts itself as one.
func (p *Part) rank(f *feed) int {
	if !p.large() {
		return ranks.Of(f.prefix, append(slices.Sorted(maps.Keys(p.heard)), p.Host), p.Host)
	}
	candidates := []string{p.Host}
	for _, hub := range p.hubs {
		if _, ok := p.heard[hub]; !ok || hub == p.Host {
			continue
		}
		if !p.isHub() && p.zones[hub] == p.Zone {
			return never
		}
		candidates = append(candidates, hub)
	}
	return ranks.Of(f.prefix, candidates, p.Host)
}

// isHub reports whether this host is one of those by which the zones of a large fleet hear of each other.
func (p *Part) isHub() bool { return slices.Contains(p.hubs, p.Host) }

// large reports whether the fleet is one in which not all hosts hear each other.
func (p *Part) large() bool { return len(p.hubs) > 0 }

// checks reports whether it is this host's turn to read a prefix again.
func (p *Part) checks(f *feed, turn int) bool {
	rank := p.rank(f)
	return rank < checkers && (len(p.heard) < checkers-1 || turn%checkers == rank)
}

// check reads a prefix again when it is this host's turn and pushes what no watch has told.
func (p *Part) check(now time.Duration, f *feed, out *event.Batch) {
	if !f.checked || !f.listed || f.checking != 0 || now < f.nextCheck {
		return
	}
	turn := int(now / checkTurn)
	if !p.checks(f, turn) {
		f.nextCheck = time.Duration(turn+1) * checkTurn
		return
	}
	f.nextCheck = time.Duration(turn+checkers) * checkTurn
	p.seq++
	f.checking = p.seq
	out.Emit(event.ListObjects{Call: event.ObjectCall{Owner: owner, Seq: p.seq}, Prefix: f.prefix})
}

func (p *Part) feed(prefix string) *feed {
	for _, f := range p.feeds {
		if f.prefix == prefix {
			return f
		}
	}
	return nil
}

// report tells the listeners whether this daemon takes callers: it has a configuration and endpoints.
func (p *Part) report(out *event.Batch) {
	ready := event.Ready{Reason: p.reason()}
	ready.Ready = ready.Reason == ""
	if ready == p.ready {
		return
	}
	p.ready = ready
	out.Emit(ready)
	out.Emit(event.Log{Level: "info", Event: "Readiness", Fields: []event.Field{{Key: "Reason", Value: ready.Reason}}})
}

func (p *Part) reason() string {
	switch {
	case p.stopping:
		return "Stopping"
	case p.site == nil:
		return "NoConfiguration"
	case len(p.feed(PrefixEndpoints).objects) == 0:
		return "NoEndpoints"
	default:
		return ""
	}
}

// Trusted reports whether a configuration is known. A host that is cut off goes on with what it knows: the platform
// bounds the time in which a change takes effect only for hosts that reach it.
func (p *Part) Trusted(now time.Duration) (until time.Duration, ok bool) {
	const always = 24 * time.Hour
	return now + always, p.site != nil
}

// Contribute adds what is known to a beat.
func (p *Part) Contribute(_ time.Duration, beat *wire.Beat) {
	beat.Ready = p.ready.Ready
	beat.Positions = make([]uint64, len(p.feeds))
	for i, f := range p.feeds {
		beat.Positions[i] = f.newest
	}
	if p.site != nil {
		beat.ConfigRevision = p.site.Revision
	}
}
