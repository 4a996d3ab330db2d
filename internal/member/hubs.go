package member

import (
	"cmp"
	"slices"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
)

// Hubs returns, sorted, the hosts by which the zones of a large fleet hear of each other: the n of each zone with the
// most processor time, in an order by rendezvous hash among equals. It may be called concurrently.
func Hubs(hosts []event.Host, n int) []string {
	byZone := map[string][]event.Host{}
	for _, h := range hosts {
		byZone[h.Zone] = append(byZone[h.Zone], h)
	}
	var all []string
	for zone, members := range byZone {
		names := make([]string, 0, len(members))
		power := make(map[string]int, len(members))
		for _, h := range members {
			names = append(names, h.Name)
			power[h.Name] = h.Power
		}
		names = ranks.Order(zone, names)
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(power[b], power[a]) })
		all = append(all, names[:min(n, len(names))]...)
	}
	slices.Sort(all)
	return all
}

// hubs returns the hubs of the known hosts, none in a fleet in which all hear each other or whose zones are not joined. They stay the same until the
// hosts or the configuration change.
func (p *Part) hubs() []string {
	if p.hubNames == nil && p.JoinZones && len(p.hosts) >= p.trust.MeshUpTo {
		p.hubNames = Hubs(p.Known(), p.trust.Watchers)
	}
	return p.hubNames
}

// hubsToHear returns the hubs that this host keeps connections to: those of its zone, and as one of them all others.
func (p *Part) hubsToHear() []string {
	hubs := p.hubs()
	isHub := slices.Contains(hubs, p.Self.Name)
	var heard []string
	for _, hub := range hubs {
		if hub != p.Self.Name && (isHub || p.hosts[hub].Zone == p.Self.Zone) {
			heard = append(heard, hub)
		}
	}
	return heard
}
