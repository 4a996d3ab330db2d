package usage

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// forgetAfter is the silence of a daemon incarnation after which its sequence number is forgotten.
	forgetAfter = 24 * time.Hour
	// replacedAfter is that silence once the host's own record names another incarnation.
	replacedAfter = 10 * time.Minute
	forgetEvery   = time.Minute
)

// know takes the hosts' own records: the incarnations that may run, and those that another has replaced.
func (h *Holder) know(now time.Duration, hosts []event.Host) {
	if h.replaced == nil {
		h.replaced = map[Stream]time.Duration{}
	}
	known := make(map[string]Stream, len(hosts))
	h.live = make(map[Stream]bool, len(hosts))
	for _, k := range hosts {
		s := StreamOf(k.Name, k.Incarnation)
		if old, ok := h.known[k.Name]; ok && old != s {
			h.replaced[old] = now
		}
		known[k.Name] = s
		h.live[s] = true
	}
	h.known = known
}

// forget drops the sequence numbers of daemon incarnations that have ended and whose deltas can't come again.
func (h *Holder) forget(now time.Duration) {
	t := h.term
	if now < t.nextSweep {
		return
	}
	t.nextSweep = now + forgetEvery
	for s, at := range t.heard {
		if h.live[s] || !h.forgettable(now, s, now-at) {
			continue
		}
		delete(h.replaced, s)
		delete(t.heard, s)
		delete(t.ledger.Streams, s)
		t.dirty = true
	}
}

func (h *Holder) forgettable(now time.Duration, s Stream, silence time.Duration) bool {
	since, replaced := h.replaced[s]
	if replaced && now-since >= replacedAfter && silence >= replacedAfter {
		return true
	}
	return silence >= forgetAfter
}
