// Package relay lets a host that the store turns away make its calls through another host.
package relay

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"sync"

	"github.com/figshift/figshift/internal/event"
)

// Book knows the addresses of the other hosts' listeners for calls between hosts. Its exported field is set before use;
// it may be used concurrently.
type Book struct {
	Port int // of the listeners

	mu    sync.Mutex
	hosts []entry // by name
}

type entry struct{ name, address string }

// Do takes the known hosts.
func (b *Book) Do(effect event.Effect) bool {
	e, ok := effect.(event.KnowHosts)
	if !ok {
		return false
	}
	hosts := make([]entry, 0, len(e.Hosts))
	for _, h := range e.Hosts {
		if ip, _, err := net.SplitHostPort(h.Address); err == nil {
			hosts = append(hosts, entry{name: h.Name, address: net.JoinHostPort(ip, strconv.Itoa(b.Port))})
		}
	}
	slices.SortFunc(hosts, func(x, y entry) int { return cmp.Compare(x.name, y.name) })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
	return true
}

// Address returns the address of a host, "" for one that is not known.
func (b *Book) Address(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.hosts {
		if h.name == name {
			return h.address
		}
	}
	return ""
}

// addresses returns the addresses of all known hosts.
func (b *Book) addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]string, len(b.hosts))
	for i, h := range b.hosts {
		all[i] = h.address
	}
	return all
}
