package view

import (
	"maps"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// pullMissing asks a peer for changes that it knows and this daemon does not, because its own watch may miss changes.
func (p *Component) pullMissing(now time.Duration, e event.BeatSeen, out *event.Batch) {
	if len(e.Beat.Positions) != len(p.caches) {
		return
	}
	var pull wire.Pull
	for i, c := range p.caches {
		if e.Beat.Positions[i] <= c.newestRevision {
			continue
		}
		pull.Prefixes = append(pull.Prefixes, c.prefix)
		pull.After = append(pull.After, c.newestRevision)
	}
	if len(pull.Prefixes) == 0 || now-p.lastPull[e.Host] < minPullInterval && p.lastPull[e.Host] != 0 {
		return
	}
	p.lastPull[e.Host] = now
	out.Emit(event.SendPeer{Host: e.Host, Message: wire.Message{Pull: &pull}})
}

// pushChanges sends changes read from the store to the other hosts. In a large fleet only the hubs do: a host that
// reads the store because it is connected to no hub keeps its changes to itself, so that overloaded hubs do not get
// even more messages.
func (p *Component) pushChanges(now time.Duration, c *prefixCache, changed []wire.Object, out *event.Batch) {
	if p.hasHubs() && !p.isHub() {
		return
	}
	p.pushTo(now, slices.Sorted(maps.Keys(p.lastHeartbeat)), c, changed, p.storeRecentlyRecovered(now), out)
}

// forward sends changes that came from another hub to the hosts of this zone, which are not connected to that hub.
func (p *Component) forward(now time.Duration, from string, c *prefixCache, changed []wire.Object, recovered bool, out *event.Batch) {
	if !p.isHub() {
		return
	}
	var own []string
	for _, host := range slices.Sorted(maps.Keys(p.lastHeartbeat)) {
		if p.zoneOf[host] == p.Zone && host != from {
			own = append(own, host)
		}
	}
	p.pushTo(now, own, c, changed, recovered, out)
}

func (p *Component) pushTo(now time.Duration, hosts []string, c *prefixCache, changed []wire.Object, recovered bool, out *event.Batch) {
	if len(changed) == 0 {
		return
	}
	push := wire.Push{Prefix: c.prefix, Revision: c.newestRevision, Returned: recovered, ReturnedMS: p.recoveryAgeMS(now)}
	for _, o := range changed {
		if o.Deleted {
			o.Value = nil
		}
		push.Objects = append(push.Objects, o)
	}
	for _, host := range hosts {
		out.Emit(event.SendPeer{Host: host, Message: wire.Message{Push: &push}})
	}
}

// recoveryAgeMS returns the time since the store's recovery, 0 when that is not recent.
func (p *Component) recoveryAgeMS(now time.Duration) int64 {
	if !p.storeRecentlyRecovered(now) {
		return 0
	}
	return (now - p.recoveredAt).Milliseconds()
}

func (p *Component) handlePeerMessage(now time.Duration, e event.PeerReceived, out *event.Batch) {
	switch {
	case e.Message.Pull != nil:
		p.answerPull(now, e.Host, *e.Message.Pull, out)
	case e.Message.Push != nil:
		p.applyPush(now, e.Host, *e.Message.Push, out)
	}
}

// answerPull sends the objects that changed after a revision, removals included.
func (p *Component) answerPull(now time.Duration, to string, pull wire.Pull, out *event.Batch) {
	if len(pull.After) != len(pull.Prefixes) {
		return
	}
	for i, prefix := range pull.Prefixes {
		c := p.prefixCache(prefix)
		if c == nil {
			continue
		}
		push := wire.Push{Prefix: prefix, After: pull.After[i], Revision: c.newestRevision, Returned: p.storeRecentlyRecovered(now), ReturnedMS: p.recoveryAgeMS(now)}
		for _, o := range c.sorted() {
			if o.Revision > push.After {
				push.Objects = append(push.Objects, o)
			}
		}
		for _, name := range slices.Sorted(maps.Keys(c.removed)) {
			if revision := c.removed[name]; revision > push.After {
				push.Objects = append(push.Objects, wire.Object{Name: name, Revision: revision, Deleted: true})
			}
		}
		out.Emit(event.SendPeer{Host: to, Message: wire.Message{Push: &push}})
	}
}

// applyPush applies changes that a peer sent. This host's own watch continues from its own revision.
func (p *Component) applyPush(now time.Duration, from string, push wire.Push, out *event.Batch) {
	c := p.prefixCache(push.Prefix)
	if c == nil {
		return
	}
	if push.Returned && !p.storeRecentlyRecovered(now) {
		p.recoveredAt = max(now-time.Duration(push.ReturnedMS)*time.Millisecond, 1) // 0 is for none
	}
	changed := c.updateAll(push.Objects)
	p.forward(now, from, c, changed, push.Returned, out)
	p.apply(now, c, changed, push.Returned, out)
}
