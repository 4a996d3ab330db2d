package watch

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/wire"
)

func (p *Component) receive(now time.Duration, e event.PeerReceived, out *event.Batch) {
	switch {
	case e.Message.Push != nil:
		p.receivePush(now, e.Host, *e.Message.Push, out)
	case e.Message.Pull != nil:
		p.receivePull(e.Host, *e.Message.Pull, out)
	case e.Message.Endpoints != nil:
		p.receiveEndpoints(now, e.Host, *e.Message.Endpoints, out)
	}
}

// receivePush applies a peer's objects. knownRevision advances to the push's revision only when everything up to the
// start of the push is known, so that a lost push leaves a gap, which the next heartbeat shows.
func (p *Component) receivePush(now time.Duration, from string, push wire.Push, out *event.Batch) {
	f := p.feed(push.Prefix)
	if f == nil {
		return
	}
	changed := f.apply(push.Objects)
	if f.complete && push.After <= f.knownRevision {
		f.knownRevision = max(f.knownRevision, push.Revision)
	}
	p.activate(f, changed, out)
	if !f.complete && push.After == 0 {
		f.copyRevisions[from] = push.Revision
	}
	if f.complete && len(changed) > 0 && p.forwardsChanges() {
		p.sendPush(now, push, from, out)
	}
}

func (p *Component) receiveEndpoints(now time.Duration, from string, set wire.EndpointSet, out *event.Batch) {
	if p.updateEndpoints(wire.EndpointList(set), out) && p.forwardsChanges() {
		p.sendEndpoints(now, set, from, out)
	}
}

// forwardsChanges reports whether this host forwards changes from one peer to the others: in a fleet that is not fully
// connected.
func (p *Component) forwardsChanges() bool { return len(p.Membership.Known()) > p.trust.MeshUpTo }

// completeFromPeers completes the start without the store. Every accepted change was acknowledged by a majority of the
// admitted hosts, so that copies from enough other hosts hold all accepted changes.
func (p *Component) completeFromPeers() {
	admitted := map[string]bool{}
	for _, h := range p.Membership.Known() {
		admitted[h.Name] = h.Admitted
	}
	for _, f := range p.feeds {
		if !f.complete && !f.hasEnoughCopies(admitted, p.Self.Name) {
			return
		}
	}
	for _, f := range p.feeds {
		for _, revision := range f.copyRevisions {
			f.knownRevision = max(f.knownRevision, revision)
		}
		f.complete = true
	}
}

func (p *Component) receivePull(from string, pull wire.Pull, out *event.Batch) {
	if len(pull.After) != len(pull.Prefixes) {
		return
	}
	for i, prefix := range pull.Prefixes {
		f := p.feed(prefix)
		if f == nil || !f.complete {
			continue
		}
		push := wire.Push{Prefix: prefix, After: pull.After[i], Revision: f.knownRevision, Objects: f.changedAfter(pull.After[i])}
		out.Emit(event.SendPeer{Host: from, Message: wire.Message{Push: &push}})
	}
	if p.endpoints.list.Revision > 0 {
		set := wire.EndpointSet(p.endpoints.list)
		out.Emit(event.SendPeer{Host: from, Message: wire.Message{Endpoints: &set}})
	}
}

// pullNewer pulls objects from a peer whose heartbeat shows a higher revision than is known here.
func (p *Component) pullNewer(now time.Duration, e event.BeatSeen, out *event.Batch) {
	configRevision, _ := p.Revisions()
	newer := map[string]bool{
		PrefixConfig:        e.Beat.ConfigRevision > configRevision,
		keys.Prefix:         e.Beat.KeysRevision > p.feed(keys.Prefix).knownRevision,
		member.Prefix:       e.Beat.HostsRevision > p.feed(member.Prefix).knownRevision,
		wire.PrefixRollouts: e.Beat.RolloutsRevision > p.feed(wire.PrefixRollouts).knownRevision,
	}
	var pull wire.Pull
	for _, f := range p.feeds {
		if f.complete && newer[f.prefix] {
			pull.Prefixes = append(pull.Prefixes, f.prefix)
			pull.After = append(pull.After, f.knownRevision)
		}
	}
	if len(pull.Prefixes) > 0 && e.Beat.Complete {
		p.sendPull(now, e.Host, pull, out)
	}
}

// pullMissing asks every peer that is alive for the prefixes that are not complete.
func (p *Component) pullMissing(now time.Duration, out *event.Batch) {
	var pull wire.Pull
	for _, f := range p.feeds {
		if !f.complete {
			pull.Prefixes = append(pull.Prefixes, f.prefix)
			pull.After = append(pull.After, 0)
		}
	}
	for _, h := range p.Membership.Alive(now) {
		if h.Name != p.Self.Name {
			p.sendPull(now, h.Name, pull, out)
		}
	}
}

func (p *Component) sendPull(now time.Duration, host string, pull wire.Pull, out *event.Batch) {
	if lastAt, ok := p.lastPullAt[host]; ok && now-lastAt < pullInterval {
		return
	}
	p.lastPullAt[host] = now
	out.Emit(event.SendPeer{Host: host, Message: wire.Message{Pull: &pull}})
}
