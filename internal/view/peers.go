package view

import (
	"maps"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// compare looks for changes that a peer knows and this daemon does not: its own watch may be silent.
func (p *Part) compare(now time.Duration, e event.BeatSeen, out *event.Batch) {
	if len(e.Beat.Positions) != len(p.feeds) {
		return
	}
	var pull wire.Pull
	for i, f := range p.feeds {
		if e.Beat.Positions[i] <= f.newest {
			continue
		}
		pull.Prefixes = append(pull.Prefixes, f.prefix)
		pull.After = append(pull.After, f.newest)
	}
	if len(pull.Prefixes) == 0 || now-p.pulled[e.Host] < pullEvery && p.pulled[e.Host] != 0 {
		return
	}
	p.pulled[e.Host] = now
	out.Emit(event.SendPeer{Host: e.Host, Message: wire.Message{Pull: &pull}})
}

// push sends changes that the store has told to the other hosts. In a large fleet the hubs do: a host that follows the
// store because it hears none of them keeps what it learns, so that hubs that are late are not sent more.
func (p *Part) push(now time.Duration, f *feed, changed []wire.Object, out *event.Batch) {
	if p.large() && !p.isHub() {
		return
	}
	p.pushTo(slices.Sorted(maps.Keys(p.heard)), f, changed, p.justReturned(now), out)
}

// passOn sends what another hub told to the hosts of the own zone, which do not hear that hub.
func (p *Part) passOn(from string, f *feed, changed []wire.Object, returned bool, out *event.Batch) {
	if !p.isHub() {
		return
	}
	var zone []string
	for _, host := range slices.Sorted(maps.Keys(p.heard)) {
		if p.zones[host] == p.Zone && host != from {
			zone = append(zone, host)
		}
	}
	p.pushTo(zone, f, changed, returned, out)
}

func (p *Part) pushTo(hosts []string, f *feed, changed []wire.Object, returned bool, out *event.Batch) {
	if len(changed) == 0 {
		return
	}
	push := wire.Push{Prefix: f.prefix, Revision: f.newest, Returned: returned}
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

func (p *Part) receive(now time.Duration, e event.PeerReceived, out *event.Batch) {
	switch {
	case e.Message.Pull != nil:
		p.answerPull(now, e.Host, *e.Message.Pull, out)
	case e.Message.Push != nil:
		p.takePush(now, e.Host, *e.Message.Push, out)
	}
}

// answerPull sends the objects that changed after a revision, removals among them.
func (p *Part) answerPull(now time.Duration, to string, pull wire.Pull, out *event.Batch) {
	if len(pull.After) != len(pull.Prefixes) {
		return
	}
	for i, prefix := range pull.Prefixes {
		f := p.feed(prefix)
		if f == nil {
			continue
		}
		push := wire.Push{Prefix: prefix, After: pull.After[i], Revision: f.newest, Returned: p.justReturned(now)}
		for _, o := range f.sorted() {
			if o.Revision > push.After {
				push.Objects = append(push.Objects, o)
			}
		}
		for _, name := range slices.Sorted(maps.Keys(f.removed)) {
			if revision := f.removed[name]; revision > push.After {
				push.Objects = append(push.Objects, wire.Object{Name: name, Revision: revision, Deleted: true})
			}
		}
		out.Emit(event.SendPeer{Host: to, Message: wire.Message{Push: &push}})
	}
}

// takePush takes what a peer knows. The own watch goes on from its own position.
func (p *Part) takePush(now time.Duration, from string, push wire.Push, out *event.Batch) {
	f := p.feed(push.Prefix)
	if f == nil {
		return
	}
	if push.Returned && !p.justReturned(now) {
		p.returned = now
	}
	changed := f.takeAll(push.Objects)
	p.passOn(from, f, changed, push.Returned, out)
	p.apply(now, f, changed, push.Returned, out)
}
