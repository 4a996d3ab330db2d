// Package member tracks the fleet's hosts: which are registered, which are alive, and which one holds each duty.
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

// Prefix is the name prefix of the objects that hold event.Host values as JSON.
const Prefix = wire.PrefixHosts

// BeatFiller adds its fields to each heartbeat. FillBeat is called within a step, in the order of the list and once
// for each heartbeat, so that it may add what is new since the last one.
type BeatFiller interface {
	FillBeat(now time.Duration, heartbeat *wire.Beat)
}

// Store reports whether the platform's store is reachable.
type Store interface {
	// Reachable reports whether this daemon or a peer had contact with the store recently.
	Reachable(now time.Duration) bool
}

// Component is the membership component of the reducer. Its exported fields are set before the first Step.
type Component struct {
	Self         event.Host
	BeatFillers  []BeatFiller
	Store        Store
	AdmitAll     bool // hosts are admitted when they register, since nothing depends on a majority
	ConnectZones bool // in a large fleet, connect the hubs of all zones to each other

	trust           config.Trust
	registration    registration
	founder         founder
	hosts           map[string]event.Host // the other hosts, from their Hosts objects
	knownHosts      []event.Host          // all hosts sorted by name, nil after a change
	pickedNames     []string              // hosts that this one connects to, nil after a change
	hubNames        []string              // nil after a change
	peers           map[string]*peer      // by name
	heldEpochs      map[string]uint64     // epochs of the duties that this daemon holds
	lastHolders     map[string]lastHolder // by duty
	lastHeartbeat   wire.Beat
	slowHeartbeat   wire.Beat // entries to send with the next heartbeat to the peers that this host did not pick
	calls           pendingCalls
	stopping        bool
	started         bool
	links           []event.Host // hosts in the last ConnectPeers
	lastSeq         uint64       // sequence number of the last heartbeat
	nextHeartbeatAt time.Duration
	sentAt          [keptSendTimes]time.Duration

	ownRevision     uint64                   // of this host's object as written by this process, 0 before
	versions        map[string]uint64        // of the other hosts' objects
	silentSince     map[string]time.Duration // since when a known host is silent
	nextForgetAt    time.Duration
	nextSilentCheck time.Duration
	forgetSeq       uint64
}

// peer is what this daemon knows of another host from its messages.
type peer struct {
	host            event.Host
	connected       bool // a connection from it is open
	lost            bool
	lastHeartbeatAt time.Duration
	lastSeq         uint64 // sequence number of lastHeartbeat
	lastHeartbeat   wire.Beat
}

// Step applies one event.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.start(now, out)
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.ConfigInForce:
		p.trust = e.Site.Trust
		p.pickedNames, p.hubNames = nil, nil
		p.connect(now, out)
	case event.ObjectSeen:
		p.handleHostObject(now, e.Object, out)
	case event.ObjectDone:
		p.registration.done(now, p.Self, e, out)
		p.founder.done(now, p.Self.Name, e, out)
	case event.PeerUp:
		p.peerUp(now, e, out)
	case event.PeerDown:
		p.peerDown(now, e, out)
	case event.PeerReceived:
		p.receive(now, e, out)
	case event.DutyGained:
		p.heldEpochs[e.Duty] = e.Epoch
		p.recordHolder(e.Duty, p.Self.Name, e.Epoch)
	case event.BeatSeen:
		p.recordHolders(e)
	case event.DutyLost:
		delete(p.heldEpochs, e.Duty)
	case event.StopAsked:
		p.stopping = true
	case event.AskDuty:
		p.callDuty(now, e, out)
	case event.AnswerDuty:
		p.answer(e, out)
	case event.StatusAsked:
		out.Emit(event.StatusPart{Seq: e.Seq, Status: p.status(now)})
	}
}

func (p *Component) start(now time.Duration, out *event.Batch) {
	if p.started {
		return
	}
	p.started = true
	p.trust = config.Defaults().Trust
	p.hosts = map[string]event.Host{}
	p.peers = map[string]*peer{}
	p.heldEpochs = map[string]uint64{}
	p.calls = pendingCalls{idBase: xxhash.Sum64String(p.Self.Incarnation), byID: map[uint64]pendingCall{}}
	p.versions = map[string]uint64{}
	p.silentSince = map[string]time.Duration{}
	p.registration.admit = p.AdmitAll
	p.nextHeartbeatAt = now
	out.Raise(event.HostsChanged{Hosts: p.Known(), Hubs: p.hubs()})
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	p.requestAdmission(now, out)
	p.registration.tick(now, p.Self, out)
	p.forgetSilentHost(now, out)
	p.detectLost(now, out)
	p.expireCalls(now, out)
	if now >= p.nextHeartbeatAt {
		p.nextHeartbeatAt = now + p.heartbeatInterval()
		p.sendHeartbeats(now, out)
	}
}

func (p *Component) detectLost(now time.Duration, out *event.Batch) {
	for _, name := range p.peerNames() {
		q := p.peers[name]
		if q.lost || now-q.lastHeartbeatAt < p.trust.HostLost {
			continue
		}
		q.lost = true
		p.failCalls(name, out)
		out.Raise(event.HostLost{Host: name})
		out.Emit(event.Log{Level: "warn", Event: "HostLost", Fields: []event.Field{{Key: "Host", Value: name}}})
	}
}

// handleHostObject handles a new or changed Hosts object.
func (p *Component) handleHostObject(now time.Duration, object wire.Object, out *event.Batch) {
	name, ok := strings.CutPrefix(object.Name, Prefix)
	if !ok {
		return
	}
	host, ok := decodeHost(object)
	p.knownHosts, p.pickedNames, p.hubNames = nil, nil, nil
	switch {
	case name == p.Self.Name:
		p.handleOwnObject(object)
	case ok:
		p.hosts[name] = host
		p.versions[name] = object.Version
	default:
		delete(p.hosts, name)
	}
	p.connect(now, out)
	out.Raise(event.HostsChanged{Hosts: p.Known(), Hubs: p.hubs()})
}

// Known returns all known hosts sorted by name, including this one. The caller must not change them.
func (p *Component) Known() []event.Host {
	if p.knownHosts != nil {
		return p.knownHosts
	}
	p.knownHosts = make([]event.Host, 0, len(p.hosts)+1)
	p.knownHosts = append(p.knownHosts, p.Self)
	for _, h := range p.hosts {
		p.knownHosts = append(p.knownHosts, h)
	}
	slices.SortFunc(p.knownHosts, byName)
	return p.knownHosts
}

func byName(a, b event.Host) int { return strings.Compare(a.Name, b.Name) }

// Alive returns the hosts whose last heartbeat is less than Trust.HostLost old at time now, and this one, sorted by
// name.
func (p *Component) Alive(now time.Duration) []event.Host {
	alive := []event.Host{p.Self}
	for name, q := range p.peers {
		if p.isAlive(name, now) {
			alive = append(alive, q.host)
		}
	}
	slices.SortFunc(alive, byName)
	return alive
}

func (p *Component) isAlive(name string, now time.Duration) bool {
	q := p.peers[name]
	return q != nil && q.lastSeq > 0 && now-q.lastHeartbeatAt < p.trust.HostLost
}

func (p *Component) peerNames() []string {
	names := make([]string, 0, len(p.peers))
	for name := range p.peers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (p *Component) status(now time.Duration) wire.Status {
	status := wire.Status{Host: p.Self.Name, Zone: p.Self.Zone, Incarnation: p.Self.Incarnation, Build: p.Self.Build}
	for _, h := range p.Known() {
		if h.Name == p.Self.Name {
			status.Hosts = append(status.Hosts, p.ownStatus())
			continue
		}
		status.Hosts = append(status.Hosts, p.hostStatus(h, now))
	}
	return status
}

func (p *Component) ownStatus() wire.HostStatus {
	return wire.HostStatus{
		Host:           p.Self.Name,
		Zone:           p.Self.Zone,
		Build:          p.Self.Build,
		Alive:          true,
		Admitted:       p.Self.Admitted,
		ConfigRevision: p.lastHeartbeat.ConfigRevision,
		KeysRevision:   p.lastHeartbeat.KeysRevision,
	}
}

func (p *Component) hostStatus(h event.Host, now time.Duration) wire.HostStatus {
	status := wire.HostStatus{Host: h.Name, Zone: h.Zone, Admitted: h.Admitted, BeatAgeMS: -1}
	q := p.peers[h.Name]
	if q == nil || q.lastSeq == 0 {
		return status
	}
	if q.host.Incarnation == h.Incarnation {
		status.Build = h.Build
	}
	status.Alive = p.isAlive(h.Name, now)
	status.BeatAgeMS = (now - q.lastHeartbeatAt).Milliseconds()
	status.ConfigRevision = q.lastHeartbeat.ConfigRevision
	status.KeysRevision = q.lastHeartbeat.KeysRevision
	return status
}
