// Package ranks orders names by rendezvous hash, so that every host finds the same order without a message.
package ranks

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns names in the order of preference for key, the most preferred first. Removing a name
// leaves the order of the others as it was. It may be called concurrently.
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

// Top returns the n most preferred names for key, fewer when there are not so many. It may be called concurrently.
func Top(key string, names []string, n int) []string {
	ordered := Order(key, names)
	return ordered[:min(n, len(ordered))]
}

// Of returns the place of name in the order of preference for key, from 0; -1 when names lacks it.
// It may be called concurrently.
func Of(key string, names []string, name string) int {
	return slices.Index(Order(key, names), name)
}

// PassOn returns, sorted, the hosts to which a hub passes on what it has from another host: those of its own zone, and
// the other hubs when it came from there; none when self is no hub. zoneOf holds the hosts that are heard, with their
// zones, and self. It may be called concurrently.
func PassOn(self string, hubs []string, zoneOf map[string]string, from string) []string {
	if !slices.Contains(hubs, self) {
		return nil
	}
	own := zoneOf[from] == zoneOf[self]
	var to []string
	for name, zone := range zoneOf {
		if name != self && name != from && (zone == zoneOf[self] || own && slices.Contains(hubs, name)) {
			to = append(to, name)
		}
	}
	slices.Sort(to)
	return to
}
