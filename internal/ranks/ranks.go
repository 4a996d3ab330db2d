// Package ranks orders names by rendezvous hashing, so that every host computes the same order without communication.
package ranks

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns names in the order of preference for key, the most preferred first. Removing a name leaves the order of
// the others unchanged. It may be called concurrently.
func Order(key string, names []string) []string {
	scores := make(map[string]uint64, len(names))
	for _, name := range names {
		scores[name] = xxhash.Sum64String(key + "\x00" + name)
	}
	ordered := slices.Clone(names)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a, b))
	})
	return ordered
}

// Top returns the n most preferred names for key, or all names when there are fewer. It may be called concurrently.
func Top(key string, names []string, n int) []string {
	ordered := Order(key, names)
	return ordered[:min(n, len(ordered))]
}

// Rank returns the rank of name in the order of preference for key, counted from 0; -1 when names lacks it. It may be
// called concurrently.
func Rank(key string, names []string, name string) int {
	return slices.Index(Order(key, names), name)
}

// ForwardTargets returns, sorted, the hosts to which a hub forwards what it received from another host: the hosts of its
// own zone and, when the sender is in that zone, the other hubs. It returns none when self is not a hub. zoneOf maps the
// hosts that are alive, including self, to their zones. It may be called concurrently.
func ForwardTargets(self string, hubs []string, zoneOf map[string]string, from string) []string {
	if !slices.Contains(hubs, self) {
		return nil
	}
	fromOwnZone := zoneOf[from] == zoneOf[self]
	var targets []string
	for name, zone := range zoneOf {
		if name != self && name != from && (zone == zoneOf[self] || fromOwnZone && slices.Contains(hubs, name)) {
			targets = append(targets, name)
		}
	}
	slices.Sort(targets)
	return targets
}
