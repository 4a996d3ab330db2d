package member

import (
	"cmp"
	"slices"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
)

// Hubs returns, sorted, the hosts that connect the zones of a large fleet: in each zone the n with the most processor
// time, and among equals the first by rendezvous hash. It may be called concurrently.
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

// hubs returns the hubs among the known hosts; none in a fully connected fleet or without ConnectZones. The
// result changes only with the hosts or the configuration.
func (p *Component) hubs() []string {
	if p.hubNames == nil && p.ConnectZones && len(p.hosts) >= p.trust.MeshUpTo {
		p.hubNames = Hubs(p.Known(), p.trust.Watchers)
	}
	return p.hubNames
}

// connectedHubs returns the hubs that this host connects to: those of its zone or, when it is a hub, all others.
func (p *Component) connectedHubs() []string {
	hubs := p.hubs()
	isHub := slices.Contains(hubs, p.Self.Name)
	var connected []string
	for _, hub := range hubs {
		if hub != p.Self.Name && (isHub || p.hosts[hub].Zone == p.Self.Zone) {
			connected = append(connected, hub)
		}
	}
	return connected
}
