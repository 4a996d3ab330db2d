package trust

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const relayedAgeUnit = wire.HeardUnitMS * time.Millisecond

// In a fleet that is not fully connected no host receives heartbeats from a majority directly. While the last contact
// with the store grows old, heartbeats therefore relay what the sender knows of all admitted hosts.

// recordRelayed records what an anchored heartbeat relays about the other hosts.
func (p *Component) recordRelayed(e event.BeatSeen) {
	if len(e.Beat.Heard) != len(p.admittedHosts) || e.Beat.HostsRevision != p.State.HostsRevision() {
		return
	}
	for i, host := range p.admittedHosts {
		if e.Beat.Heard[i] == wire.HeardUnknown {
			continue
		}
		anchor := e.Anchor - time.Duration(e.Beat.Heard[i])*relayedAgeUnit
		if old, ok := p.relayed[host]; ok && p.covers(old) && old.anchor >= anchor {
			continue
		}
		p.relayed[host] = evidence{
			anchor:         anchor,
			complete:       e.Beat.Complete,
			configRevision: e.Beat.ConfigRevision,
			keysRevision:   e.Beat.KeysRevision,
			hostsRevision:  e.Beat.HostsRevision,
		}
	}
}

// agreedAt returns the latest time at which another host is known to have had no higher revision than this one; false
// for none, and for this host itself.
func (p *Component) agreedAt(host string) (at time.Duration, ok bool) {
	if host == p.Self {
		return 0, false
	}
	for _, known := range []map[string]evidence{p.peers, p.relayed} {
		e, found := known[host]
		if !found || !p.covers(e) {
			continue
		}
		if !ok || e.anchor > at {
			at, ok = e.anchor, true
		}
	}
	return at, ok
}

// relayedAges returns the value of Beat.Heard: how long ago each admitted host is known to have had no higher revision
// than this one. It is nil while contact with the store is recent and in a fully connected fleet.
func (p *Component) relayedAges(now time.Duration) []byte {
	contact, ok := p.StoreContact()
	if !p.State.Complete() || len(p.admittedHosts) <= p.trust.MeshUpTo || ok && now-contact < p.trust.Bound/3 {
		return nil
	}
	ages := make([]byte, len(p.admittedHosts))
	for i, host := range p.admittedHosts {
		ages[i] = p.relayedAge(host, now)
	}
	return ages
}

// relayedAge returns the age of a host's agreement in units of relayedAgeUnit, rounded up.
func (p *Component) relayedAge(host string, now time.Duration) byte {
	if host == p.Self {
		return 0
	}
	at, ok := p.agreedAt(host)
	units := (now - at + relayedAgeUnit - 1) / relayedAgeUnit
	if !ok || units >= wire.HeardUnknown {
		return wire.HeardUnknown
	}
	return byte(units)
}
