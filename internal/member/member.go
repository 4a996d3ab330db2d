// Package member knows the fleet's hosts: which there are, which are alive, and who holds which duty.
package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// Prefix is the prefix of the objects that hold event.Host values as JSON.
const Prefix = wire.PrefixHosts

// Contributor adds its fields to each beat. Contribute is called within a step, in the order of the list, and once
// for each beat, so that it may add what is new since the last one.
type Contributor interface {
	Contribute(now time.Duration, beat *wire.Beat)
}

// Store tells whether the platform's store answers.
type Store interface {
	// Reachable reports whether there was contact with the store lately, by this daemon or a peer.
	Reachable(now time.Duration) bool
}

// Part is the membership's share of the reducer. Its exported fields are set before the first Step.
type Part struct {
	Self         event.Host
	Contributors []Contributor
	Store        Store
	Open         bool // hosts count from their registration on; nothing depends on a majority
	JoinZones    bool // in a large fleet the hubs of the zones are connected to each other

	trust    config.Trust
	register register
	founder  founder
	hosts    map[string]event.Host // by the Hosts objects
	known    []event.Host          // all of them sorted, nil after a change
	picked   []string              // hosts to connect to, nil after a change
	hubNames []string              // nil after a change
	peers    map[string]*peer      // by what was received
	held     map[string]uint64     // epochs of this daemon's duties
	lastHeld map[string]lastHeld   // by duty
	last     wire.Beat             // as built
	slow     wire.Beat             // what was new since the last beat to the peers that get fewer
	asks     asks
	stopping bool
	started  bool
	links    []event.Host // as last given to ConnectPeers
	round    uint64       // number of the last beat
	nextBeat time.Duration
	sent     [sentRounds]time.Duration

	ownRevision uint64                   // of this host's object as written by this process, 0 before
	versions    map[string]uint64        // of the other hosts' objects
	silent      map[string]time.Duration // time since which a known host is silent
	nextForget  time.Duration
	nextSilent  time.Duration
	forgetSeq   uint64
}

// peer is what this daemon knows of another from its frames.
type peer struct {
	host    event.Host
	up      bool // a connection from it is open
	lost    bool
	heardAt time.Duration // time of its last beat
	seq     uint64        // of its last beat
	beat    wire.Beat
}

// Step applies one event.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start(now, out)
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.ConfigInForce:
		p.trust = e.Site.Trust
		p.picked, p.hubNames = nil, nil
		p.connect(now, out)
	case event.ObjectSeen:
		p.see(now, e.Object, out)
	case event.ObjectDone:
		p.register.done(now, p.Self, e, out)
		p.founder.done(now, p.Self.Name, e, out)
	case event.PeerUp:
		p.peerUp(now, e, out)
	case event.PeerDown:
		p.peerDown(now, e, out)
	case event.PeerReceived:
		p.receive(now, e, out)
	case event.DutyGained:
		p.held[e.Duty] = e.Epoch
		p.noteHolder(e.Duty, p.Self.Name, e.Epoch)
	case event.BeatSeen:
		p.noteBeat(e)
	case event.DutyLost:
		delete(p.held, e.Duty)
	case event.StopAsked:
		p.stopping = true
	case event.AskDuty:
		p.ask(now, e, out)
	case event.AnswerDuty:
		p.answer(e, out)
	case event.StatusAsked:
		out.Emit(event.StatusPart{Seq: e.Seq, Status: p.status(now)})
	}
}

func (p *Part) start(now time.Duration, out *event.Batch) {
	if p.started {
		return
	}
	p.started = true
	p.trust = config.Defaults().Trust
	p.hosts = map[string]event.Host{}
	p.peers = map[string]*peer{}
	p.held = map[string]uint64{}
	p.asks = asks{base: xxhash.Sum64String(p.Self.Incarnation), pending: map[uint64]pendingAsk{}}
	p.versions = map[string]uint64{}
	p.silent = map[string]time.Duration{}
	p.register.admit = p.Open
	p.nextBeat = now
	out.Raise(event.HostsChanged{Hosts: p.Known(), Hubs: p.hubs()})
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	p.seekAdmission(now, out)
	p.register.tick(now, p.Self, out)
	p.forget(now, out)
	p.markLost(now, out)
	p.expireAsks(now, out)
	if now >= p.nextBeat {
		p.nextBeat = now + p.every()
		p.sendBeats(now, out)
	}
}

func (p *Part) markLost(now time.Duration, out *event.Batch) {
	for _, name := range p.peerNames() {
		q := p.peers[name]
		if q.lost || now-q.heardAt < p.trust.HostLost {
			continue
		}
		q.lost = true
		p.failAsks(name, out)
		out.Raise(event.HostLost{Host: name})
		out.Emit(event.Log{Level: "warn", Event: "HostLost", Fields: []event.Field{{Key: "Host", Value: name}}})
	}
}

// see takes a Hosts object that the watch brought.
func (p *Part) see(now time.Duration, object wire.Object, out *event.Batch) {
	name, ok := strings.CutPrefix(object.Name, Prefix)
	if !ok {
		return
	}
	host, ok := decodeHost(object)
	p.known, p.picked, p.hubNames = nil, nil, nil
	switch {
	case name == p.Self.Name:
		p.seeSelf(object)
	case ok:
		p.hosts[name] = host
		p.versions[name] = object.Version
	default:
		delete(p.hosts, name)
	}
	p.connect(now, out)
	out.Raise(event.HostsChanged{Hosts: p.Known(), Hubs: p.hubs()})
}

// Known returns all known hosts sorted by name, this one among them.
// The caller must not change them.
func (p *Part) Known() []event.Host {
	if p.known != nil {
		return p.known
	}
	p.known = make([]event.Host, 0, len(p.hosts)+1)
	p.known = append(p.known, p.Self)
	for _, h := range p.hosts {
		p.known = append(p.known, h)
	}
	slices.SortFunc(p.known, byName)
	return p.known
}

func byName(a, b event.Host) int { return strings.Compare(a.Name, b.Name) }

// Alive returns the hosts that are known or were heard and are not lost at time now, sorted by name, this one among them.
func (p *Part) Alive(now time.Duration) []event.Host {
	alive := []event.Host{p.Self}
	for name, q := range p.peers {
		if p.hears(name, now) {
			alive = append(alive, q.host)
		}
	}
	slices.SortFunc(alive, byName)
	return alive
}

func (p *Part) hears(name string, now time.Duration) bool {
	q := p.peers[name]
	return q != nil && q.seq > 0 && now-q.heardAt < p.trust.HostLost
}

func (p *Part) peerNames() []string {
	names := make([]string, 0, len(p.peers))
	for name := range p.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (p *Part) status(now time.Duration) wire.Status {
	status := wire.Status{Host: p.Self.Name, Zone: p.Self.Zone, Incarnation: p.Self.Incarnation}
	for _, h := range p.Known() {
		if h.Name == p.Self.Name {
			status.Hosts = append(status.Hosts, p.ownStatus())
			continue
		}
		status.Hosts = append(status.Hosts, p.hostStatus(h, now))
	}
	return status
}

func (p *Part) ownStatus() wire.HostStatus {
	return wire.HostStatus{
		Host:           p.Self.Name,
		Zone:           p.Self.Zone,
		Alive:          true,
		Admitted:       p.Self.Admitted,
		ConfigRevision: p.last.ConfigRevision,
		KeysRevision:   p.last.KeysRevision,
	}
}

func (p *Part) hostStatus(h event.Host, now time.Duration) wire.HostStatus {
	status := wire.HostStatus{Host: h.Name, Zone: h.Zone, Admitted: h.Admitted, BeatAgeMS: -1}
	q := p.peers[h.Name]
	if q == nil || q.seq == 0 {
		return status
	}
	status.Alive = p.hears(h.Name, now)
	status.BeatAgeMS = (now - q.heardAt).Milliseconds()
	status.ConfigRevision = q.beat.ConfigRevision
	status.KeysRevision = q.beat.KeysRevision
	return status
}
