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
	// sentRounds is the number of beats whose sending times are kept to anchor the answers.
	sentRounds = 64
	// slowRounds is the number of beats after which peers that were not picked from here get one.
	slowRounds = 4
	// fullRateLinks is the number of connections up to which beats go out at the set interval. Beyond it they go out
	// at half the rate, since the cost of beats grows with the connections.
	fullRateLinks = 4
	halfRate      = 2
)

// every returns the interval of the beats.
func (p *Part) every() time.Duration {
	if len(p.links) > fullRateLinks {
		return p.trust.Beat * halfRate
	}
	return p.trust.Beat
}

// slowRound reports whether this beat goes to every peer. The peers that get fewer beats get them at the same
// interval at either rate.
func (p *Part) slowRound() bool {
	if len(p.links) > fullRateLinks {
		return p.round%(slowRounds/halfRate) == 0
	}
	return p.round%slowRounds == 0
}

func (p *Part) sendBeats(now time.Duration, out *event.Batch) {
	p.round++
	p.sent[p.round%sentRounds] = now
	beat := p.build(now)
	p.slow.Served = append(p.slow.Served, beat.Served...)
	p.slow.Loads = append(p.slow.Loads, beat.Loads...)
	slowRound := p.slowRound()
	picked := p.picks()
	for _, h := range p.links {
		isPicked := slices.Contains(picked, h.Name)
		if !isPicked && !slowRound {
			continue
		}
		copied := beat
		copied.Picked = isPicked
		if !isPicked {
			copied.Served = p.slow.Served
			copied.Loads = p.slow.Loads
		}
		if q := p.peers[h.Name]; q != nil {
			copied.Echo = q.seq
			copied.EchoIncarnation = q.host.Incarnation
		}
		out.Emit(event.SendPeer{Host: h.Name, Message: wire.Message{Beat: &copied}})
	}
	if slowRound {
		p.slow = wire.Beat{}
	}
}

func (p *Part) build(now time.Duration) wire.Beat {
	beat := wire.Beat{Seq: p.round, Stopping: p.stopping}
	for _, c := range p.Contributors {
		c.Contribute(now, &beat)
	}
	p.last = beat
	return beat
}

func (p *Part) receiveBeat(now time.Duration, q *peer, beat wire.Beat, out *event.Batch) {
	if beat.Seq <= q.seq {
		return
	}
	changed := q.beat.Picked != beat.Picked
	if q.lost {
		out.Emit(event.Log{Level: "info", Event: "HostBack", Fields: []event.Field{
			{Key: "Host", Value: q.host.Name}, {Key: "SilentMS", Value: strconv.FormatInt((now - q.heardAt).Milliseconds(), 10)},
		}})
	}
	q.seq = beat.Seq
	q.heardAt = now
	q.beat = beat
	q.lost = false
	if changed {
		p.connect(now, out)
	}
	seen := event.BeatSeen{Host: q.host.Name, Beat: beat}
	seen.Anchor, seen.Anchored = p.anchor(beat)
	out.Raise(seen)
}

// anchor returns the time at which the beat was sent from here that this one answers. A beat can wait in a
// buffer while this process is stopped, so that the time of its receipt proves nothing about its age.
func (p *Part) anchor(beat wire.Beat) (time.Duration, bool) {
	if beat.EchoIncarnation != p.Self.Incarnation || beat.Echo == 0 || beat.Echo > p.round {
		return 0, false
	}
	if p.round-beat.Echo >= sentRounds {
		return 0, false
	}
	return p.sent[beat.Echo%sentRounds], true
}

func (p *Part) receive(now time.Duration, e event.PeerReceived, out *event.Batch) {
	q := p.peers[e.Host]
	if q == nil || q.host.Incarnation != e.Incarnation {
		return
	}
	switch {
	case e.Message.Beat != nil:
		p.receiveBeat(now, q, *e.Message.Beat, out)
	case e.Message.Ask != nil:
		p.receiveAsk(e.Host, *e.Message.Ask, out)
	case e.Message.Reply != nil:
		p.receiveReply(e.Host, *e.Message.Reply, out)
	}
}

func (p *Part) peerUp(now time.Duration, e event.PeerUp, out *event.Batch) {
	if e.Host == p.Self.Name {
		return
	}
	q := p.peers[e.Host]
	if q == nil || q.host.Incarnation != e.Incarnation {
		q = &peer{heardAt: now}
		p.peers[e.Host] = q
	}
	q.host = event.Host{Name: e.Host, Zone: e.Zone, Address: e.Address, Incarnation: e.Incarnation}
	q.up = true
	p.connect(now, out)
}

func (p *Part) peerDown(now time.Duration, e event.PeerDown, out *event.Batch) {
	q := p.peers[e.Host]
	if q == nil || q.host.Incarnation != e.Incarnation {
		return
	}
	q.up = false
	p.connect(now, out)
}

// connect gives the hosts to connect to when they changed: those picked here and those that picked this one.
func (p *Part) connect(_ time.Duration, out *event.Batch) {
	links := map[string]event.Host{}
	for _, name := range p.picks() {
		links[name] = p.hosts[name]
	}
	for name, q := range p.peers {
		if q.up && (q.beat.Picked || q.seq == 0) {
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

// picks returns the hosts that this one connects to by itself: all of a small fleet; in a larger one
// the neighbours by rendezvous hash and the zone's watchers, or its hubs. A host that is not admitted has to hear a majority first.
// They stay the same until the hosts or the configuration change.
func (p *Part) picks() []string {
	if p.picked == nil {
		p.picked = p.pick()
	}
	return p.picked
}

func (p *Part) pick() []string {
	all := slices.Sorted(maps.Keys(p.hosts))
	if len(all) < p.trust.MeshUpTo || !p.Self.Admitted {
		return all
	}
	picked := ranks.Top(p.Self.Name, all, p.trust.Neighbors)
	if p.JoinZones {
		picked = append(picked, p.hubsToHear()...)
	} else {
		picked = append(picked, p.zoneWatchers()...)
	}
	slices.Sort(picked)
	return slices.Compact(picked)
}

// zoneWatchers returns the hosts that watch the store for this one's zone.
func (p *Part) zoneWatchers() []string {
	var zone []string
	for _, name := range slices.Sorted(maps.Keys(p.hosts)) {
		if p.hosts[name].Zone == p.Self.Zone {
			zone = append(zone, name)
		}
	}
	return ranks.Top(p.Self.Zone, zone, p.trust.Watchers)
}
