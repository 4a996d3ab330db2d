package flow

import "time"

const (
	peersWait = 2 * time.Second // longest wait for the peers' leave marks after the start
	peersMost = 3               // peers that are waited for in a large fleet
)

// peers tells when a daemon that has just started knows the leave marks of the others. Before that the platform's
// list alone could send work to an endpoint that is leaving.
type peers struct {
	asked  bool // the hosts are known
	needed int
	heard  map[string]bool
	until  time.Duration
}

func (w *peers) begin(now time.Duration) {
	if w.until == 0 {
		w.until = now + peersWait
	}
}

// known takes the number of the other hosts.
func (w *peers) known(others int) {
	w.asked = true
	w.needed = min((others+1)/2, peersMost)
}

// hear takes a beat and reports whether it was the last one waited for.
func (w *peers) hear(host string) bool {
	if len(w.heard) >= peersMost || w.heard[host] {
		return false
	}
	if w.heard == nil {
		w.heard = map[string]bool{}
	}
	w.heard[host] = true
	return w.asked && len(w.heard) == w.needed
}

// told reports whether the others' leave marks are known, or no longer waited for.
func (w *peers) told(now time.Duration) bool {
	return (w.asked && len(w.heard) >= w.needed) || now >= w.until
}
