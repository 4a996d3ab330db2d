// Package relay lets a host that the store refuses or does not answer make its calls through another host.
package relay

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"sync"

	"github.com/figshift/figshift/internal/event"
)

// HostAddresses holds the addresses of the other hosts' listeners for calls between hosts. Its exported field is set
// before use; its methods may be called concurrently.
type HostAddresses struct {
	Port int // port of those listeners, the same on every host

	mu    sync.Mutex
	hosts []hostAddress // sorted by name
}

type hostAddress struct{ name, address string }

// Do replaces the known hosts on KnowHosts; it returns false for other effects.
func (b *HostAddresses) Do(effect event.Effect) bool {
	e, ok := effect.(event.KnowHosts)
	if !ok {
		return false
	}
	hosts := make([]hostAddress, 0, len(e.Hosts))
	for _, h := range e.Hosts {
		if ip, _, err := net.SplitHostPort(h.Address); err == nil {
			hosts = append(hosts, hostAddress{name: h.Name, address: net.JoinHostPort(ip, strconv.Itoa(b.Port))})
		}
	}
	slices.SortFunc(hosts, func(x, y hostAddress) int { return cmp.Compare(x.name, y.name) })
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
	return true
}

// Address returns the address of a host, "" for an unknown one.
func (b *HostAddresses) Address(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.hosts {
		if h.name == name {
			return h.address
		}
	}
	return ""
}

// addresses returns the addresses of all known hosts, sorted by host name.
func (b *HostAddresses) addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]string, len(b.hosts))
	for i, h := range b.hosts {
		all[i] = h.address
	}
	return all
}
