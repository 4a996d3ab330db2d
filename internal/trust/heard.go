package trust

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const heardUnit = wire.HeardUnitMS * time.Millisecond

// In a fleet where not all hosts are connected no host hears a majority by itself. While the last contact with the
// store grows old, beats therefore tell of all hosts what is known of them.

// takeHeard takes what an anchored beat tells of the other hosts.
func (p *Part) takeHeard(e event.BeatSeen) {
	if len(e.Beat.Heard) != len(p.hosts) || e.Beat.HostsRevision != p.State.HostsRevision() {
		return
	}
	for i, host := range p.hosts {
		if e.Beat.Heard[i] == wire.HeardNever {
			continue
		}
		anchor := e.Anchor - time.Duration(e.Beat.Heard[i])*heardUnit
		if old, ok := p.relayed[host]; ok && p.covers(old) && old.anchor >= anchor {
			continue
		}
		p.relayed[host] = evidence{
			anchor:   anchor,
			complete: e.Beat.Complete,
			site:     e.Beat.ConfigRevision,
			keys:     e.Beat.KeysRevision,
			hosts:    e.Beat.HostsRevision,
		}
	}
}

// heardAt returns the latest time at which a host, not this one, is known to have had no higher revision than this one.
func (p *Part) heardAt(host string) (at time.Duration, ok bool) {
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

// heard returns what is known of the admitted hosts, nil while there is contact with the store or all are connected.
func (p *Part) heard(now time.Duration) []byte {
	contact, ok := p.Contact()
	if !p.State.Complete() || len(p.hosts) <= p.trust.MeshUpTo || ok && now-contact < p.trust.Bound/3 {
		return nil
	}
	heard := make([]byte, len(p.hosts))
	for i, host := range p.hosts {
		heard[i] = p.heardAge(host, now)
	}
	return heard
}

// heardAge returns the age for Beat.Heard, rounded up.
func (p *Part) heardAge(host string, now time.Duration) byte {
	if host == p.Self {
		return 0
	}
	at, ok := p.heardAt(host)
	units := (now - at + heardUnit - 1) / heardUnit
	if !ok || units >= wire.HeardNever {
		return wire.HeardNever
	}
	return byte(units)
}
