package usage

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// streamTTL is the time since a daemon incarnation's last delta after which its sequence number is dropped.
	streamTTL = 24 * time.Hour
	// replacedStreamTTL is used instead of streamTTL once the host's record names another incarnation.
	replacedStreamTTL = 10 * time.Minute
	sweepInterval     = time.Minute
)

// updateHosts applies the hosts' records: the incarnations that may be running, and those that were replaced.
func (h *Holder) updateHosts(now time.Duration, hosts []event.Host) {
	if h.replacedAt == nil {
		h.replacedAt = map[Stream]time.Duration{}
	}
	streamOf := make(map[string]Stream, len(hosts))
	h.liveStreams = make(map[Stream]bool, len(hosts))
	for _, host := range hosts {
		s := StreamOf(host.Name, host.Incarnation)
		if old, ok := h.streamOfHost[host.Name]; ok && old != s {
			h.replacedAt[old] = now
		}
		streamOf[host.Name] = s
		h.liveStreams[s] = true
	}
	h.streamOfHost = streamOf
}

// sweepStreams drops the sequence numbers of daemon incarnations that have ended and whose deltas can no longer arrive.
func (h *Holder) sweepStreams(now time.Duration) {
	t := h.term
	if now < t.nextSweep {
		return
	}
	t.nextSweep = now + sweepInterval
	for s, lastDelta := range t.lastDelta {
		if h.liveStreams[s] || !h.streamExpired(now, s, now-lastDelta) {
			continue
		}
		delete(h.replacedAt, s)
		delete(t.lastDelta, s)
		delete(t.ledger.Streams, s)
		t.dirty = true
	}
}

func (h *Holder) streamExpired(now time.Duration, s Stream, silence time.Duration) bool {
	since, replaced := h.replacedAt[s]
	if replaced && now-since >= replacedStreamTTL && silence >= replacedStreamTTL {
		return true
	}
	return silence >= streamTTL
}
