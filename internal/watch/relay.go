package watch

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/wire"
)

func (p *Part) receive(now time.Duration, e event.PeerReceived, out *event.Batch) {
	switch {
	case e.Message.Push != nil:
		p.receivePush(now, e.Host, *e.Message.Push, out)
	case e.Message.Pull != nil:
		p.receivePull(e.Host, *e.Message.Pull, out)
	case e.Message.Endpoints != nil:
		p.receiveEndpoints(now, e.Host, *e.Message.Endpoints, out)
	}
}

// receivePush takes a peer's objects. They count as whole up to the push's revision only when the objects up
// to its start are known, so that a lost push leaves a gap that the next beat shows.
func (p *Part) receivePush(now time.Duration, from string, push wire.Push, out *event.Batch) {
	f := p.feed(push.Prefix)
	if f == nil {
		return
	}
	changed := f.apply(push.Objects)
	if f.complete && push.After <= f.upTo {
		f.upTo = max(f.upTo, push.Revision)
	}
	p.take(f, changed, out)
	if !f.complete && push.After == 0 {
		f.answered[from] = push.Revision
	}
	if f.complete && len(changed) > 0 && p.forwards() {
		p.push(now, push, from, out)
	}
}

func (p *Part) receiveEndpoints(now time.Duration, from string, set wire.EndpointSet, out *event.Batch) {
	if p.takeEndpoints(wire.EndpointList(set), out) && p.forwards() {
		p.pushEndpoints(now, set, from, out)
	}
}

// forwards reports whether what a peer brought goes on to the others: in a fleet where not all are connected.
func (p *Part) forwards() bool { return len(p.Roster.Known()) > p.trust.MeshUpTo }

// completeByPeers ends a start without the store. Every accepted change was acknowledged by a majority of the
// admitted hosts, so that copies from enough of them, this one not counted, hold all of those.
func (p *Part) completeByPeers() {
	admitted := map[string]bool{}
	for _, h := range p.Roster.Known() {
		admitted[h.Name] = h.Admitted
	}
	for _, f := range p.feeds {
		if !f.complete && !f.hasEnough(admitted, p.Self.Name) {
			return
		}
	}
	for _, f := range p.feeds {
		for _, revision := range f.answered {
			f.upTo = max(f.upTo, revision)
		}
		f.complete = true
	}
}

func (p *Part) receivePull(from string, pull wire.Pull, out *event.Batch) {
	if len(pull.After) != len(pull.Prefixes) {
		return
	}
	for i, prefix := range pull.Prefixes {
		f := p.feed(prefix)
		if f == nil || !f.complete {
			continue
		}
		push := wire.Push{Prefix: prefix, After: pull.After[i], Revision: f.upTo, Objects: f.after(pull.After[i])}
		out.Emit(event.SendPeer{Host: from, Message: wire.Message{Push: &push}})
	}
	if p.endpoints.list.Revision > 0 {
		set := wire.EndpointSet(p.endpoints.list)
		out.Emit(event.SendPeer{Host: from, Message: wire.Message{Endpoints: &set}})
	}
}

// compare pulls from a peer whose beat shows a higher revision than is known here.
func (p *Part) compare(now time.Duration, e event.BeatSeen, out *event.Batch) {
	configuration, _ := p.Revisions()
	higher := map[string]bool{
		PrefixConfig:        e.Beat.ConfigRevision > configuration,
		keys.Prefix:         e.Beat.KeysRevision > p.feed(keys.Prefix).upTo,
		member.Prefix:       e.Beat.HostsRevision > p.feed(member.Prefix).upTo,
		wire.PrefixRollouts: e.Beat.RolloutsRevision > p.feed(wire.PrefixRollouts).upTo,
	}
	var pull wire.Pull
	for _, f := range p.feeds {
		if f.complete && higher[f.prefix] {
			pull.Prefixes = append(pull.Prefixes, f.prefix)
			pull.After = append(pull.After, f.upTo)
		}
	}
	if len(pull.Prefixes) > 0 && e.Beat.Complete {
		p.sendPull(now, e.Host, pull, out)
	}
}

// pullMissing asks every heard peer for the prefixes that are not known whole.
func (p *Part) pullMissing(now time.Duration, out *event.Batch) {
	var pull wire.Pull
	for _, f := range p.feeds {
		if !f.complete {
			pull.Prefixes = append(pull.Prefixes, f.prefix)
			pull.After = append(pull.After, 0)
		}
	}
	for _, h := range p.Roster.Alive(now) {
		if h.Name != p.Self.Name {
			p.sendPull(now, h.Name, pull, out)
		}
	}
}

func (p *Part) sendPull(now time.Duration, host string, pull wire.Pull, out *event.Batch) {
	if last, ok := p.pulled[host]; ok && now-last < pullEvery {
		return
	}
	p.pulled[host] = now
	out.Emit(event.SendPeer{Host: host, Message: wire.Message{Pull: &pull}})
}
