package member

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// keptSendTimes is the number of heartbeats whose sending times are kept, to date the heartbeats that echo them.
	keptSendTimes = 64
	// slowRoundInterval is the number of heartbeats of which one also goes to the peers that this host did not pick.
	slowRoundInterval = 4
	// maxFullRateLinks is the number of connections up to which heartbeats are sent at the configured interval. With
	// more connections the rate is halved, since the cost of heartbeats grows with their number.
	maxFullRateLinks = 4
	halfRateFactor   = 2
)

// heartbeatInterval returns the interval between heartbeats.
func (p *Component) heartbeatInterval() time.Duration {
	if len(p.links) > maxFullRateLinks {
		return p.trust.Beat * halfRateFactor
	}
	return p.trust.Beat
}

// isSlowRound reports whether this heartbeat goes to every peer. Peers that this host did not pick receive heartbeats at
// the same interval whether the rate is full or halved.
func (p *Component) isSlowRound() bool {
	if len(p.links) > maxFullRateLinks {
		return p.lastSeq%(slowRoundInterval/halfRateFactor) == 0
	}
	return p.lastSeq%slowRoundInterval == 0
}

func (p *Component) sendHeartbeats(now time.Duration, out *event.Batch) {
	p.lastSeq++
	p.sentAt[p.lastSeq%keptSendTimes] = now
	heartbeat := p.buildHeartbeat(now)
	p.slowHeartbeat.Served = append(p.slowHeartbeat.Served, heartbeat.Served...)
	p.slowHeartbeat.Loads = append(p.slowHeartbeat.Loads, heartbeat.Loads...)
	slowRound := p.isSlowRound()
	picked := p.pickedHosts()
	for _, h := range p.links {
		isPicked := slices.Contains(picked, h.Name)
		if !isPicked && !slowRound {
			continue
		}
		peerHeartbeat := heartbeat
		peerHeartbeat.Picked = isPicked
		if !isPicked {
			peerHeartbeat.Served = p.slowHeartbeat.Served
			peerHeartbeat.Loads = p.slowHeartbeat.Loads
		}
		if q := p.peers[h.Name]; q != nil {
			peerHeartbeat.Echo = q.lastSeq
			peerHeartbeat.EchoIncarnation = q.host.Incarnation
		}
		out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Beat: &peerHeartbeat}})
	}
	if slowRound {
		p.slowHeartbeat = wire.Beat{}
	}
}

func (p *Component) buildHeartbeat(now time.Duration) wire.Beat {
	heartbeat := wire.Beat{Seq: p.lastSeq, Stopping: p.stopping}
	for _, f := range p.BeatFillers {
		f.FillBeat(now, &heartbeat)
	}
	p.lastHeartbeat = heartbeat
	return heartbeat
}

func (p *Component) receiveHeartbeat(now time.Duration, q *peer, heartbeat wire.Beat, out *event.Batch) {
	if heartbeat.Seq <= q.lastSeq {
		return
	}
	pickChanged := q.lastHeartbeat.Picked != heartbeat.Picked
	if q.lost {
		out.Emit(event.Log{Level: "info", Event: "HostBack", Fields: []event.Field{
			{Key: "Host", Value: q.host.Name}, {Key: "SilentMS", Value: strconv.FormatInt((now - q.lastHeartbeatAt).Milliseconds(), 10)},
		}})
	}
	q.lastSeq = heartbeat.Seq
	q.lastHeartbeatAt = now
	q.lastHeartbeat = heartbeat
	q.lost = false
	if pickChanged {
		p.connect(now, out)
	}
	seen := event.BeatSeen{Host: q.host.Name, Beat: heartbeat}
	seen.Anchor, seen.Anchored = p.anchorOf(heartbeat)
	out.Raise(seen)
}

// anchorOf returns the time at which this host sent the heartbeat that the received one echoes. A heartbeat can wait in
// a buffer while this process is suspended, so the time of its receipt proves nothing about its age.
func (p *Component) anchorOf(heartbeat wire.Beat) (time.Duration, bool) {
	if heartbeat.EchoIncarnation != p.Self.Incarnation || heartbeat.Echo == 0 || heartbeat.Echo > p.lastSeq {
		return 0, false
	}
	if p.lastSeq-heartbeat.Echo >= keptSendTimes {
		return 0, false
	}
	return p.sentAt[heartbeat.Echo%keptSendTimes], true
}

func (p *Component) receive(now time.Duration, e event.PeerReceived, out *event.Batch) {
	q := p.peers[e.Host]
	if q == nil || q.host.Incarnation != e.Incarnation {
		return
	}
	switch {
	case e.Message.Beat != nil:
		p.receiveHeartbeat(now, q, *e.Message.Beat, out)
	case e.Message.Ask != nil:
		p.receiveAsk(e.Host, *e.Message.Ask, out)
	case e.Message.Reply != nil:
		p.receiveReply(e.Host, *e.Message.Reply, out)
	}
}

func (p *Component) peerUp(now time.Duration, e event.PeerUp, out *event.Batch) {
	if e.Host == p.Self.Name {
		return
	}
	q := p.peers[e.Host]
	if q == nil || q.host.Incarnation != e.Incarnation {
		q = &peer{lastHeartbeatAt: now}
		p.peers[e.Host] = q
	}
	q.host = event.Host{Name: e.Host, Zone: e.Zone, Address: e.Address, Incarnation: e.Incarnation}
	q.connected = true
	p.connect(now, out)
}

func (p *Component) peerDown(now time.Duration, e event.PeerDown, out *event.Batch) {
	q := p.peers[e.Host]
	if q == nil || q.host.Incarnation != e.Incarnation {
		return
	}
	q.connected = false
	p.connect(now, out)
}

// connect emits ConnectPeers when the hosts to connect to have changed: the hosts that this one picked and the hosts
// that picked it.
func (p *Component) connect(_ time.Duration, out *event.Batch) {
	links := map[string]event.Host{}
	for _, name := range p.pickedHosts() {
		links[name] = p.hosts[name]
	}
	for name, q := range p.peers {
		if q.connected && (q.lastHeartbeat.Picked || q.lastSeq == 0) {
			links[name] = q.host
		}
	}
	sorted := make([]event.Host, 0, len(links))
	for _, h := range links {
		sorted = append(sorted, h)
	}
	slices.SortFunc(sorted, byName)
	if slices.Equal(sorted, p.links) {
		return
	}
	p.links = sorted
	out.Emit(event.ConnectPeers{Hosts: sorted})
}

// pickedHosts returns the hosts that this host connects to on its own account: all hosts of a fully connected fleet; in
// a large one its neighbours by rendezvous hash and either the watchers of its zone or its hubs. A host that is not
// admitted picks all, since it has to receive heartbeats from a majority first. The result changes only with the hosts
// or the configuration.
func (p *Component) pickedHosts() []string {
	if p.pickedNames == nil {
		p.pickedNames = p.computePicks()
	}
	return p.pickedNames
}

func (p *Component) computePicks() []string {
	all := slices.Sorted(maps.Keys(p.hosts))
	if len(all) < p.trust.MeshUpTo || !p.Self.Admitted {
		return all
	}
	picked := ranks.Top(p.Self.Name, all, p.trust.Neighbors)
	if p.ConnectZones {
		picked = append(picked, p.connectedHubs()...)
	} else {
		picked = append(picked, p.zoneWatchers()...)
	}
	slices.Sort(picked)
	return slices.Compact(picked)
}

// zoneWatchers returns the hosts that watch the store on behalf of this host's zone.
func (p *Component) zoneWatchers() []string {
	var zone []string
	for _, name := range slices.Sorted(maps.Keys(p.hosts)) {
		if p.hosts[name].Zone == p.Self.Zone {
			zone = append(zone, name)
		}
	}
	return ranks.Top(p.Self.Zone, zone, p.trust.Watchers)
}
