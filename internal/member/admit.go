package member

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// forgetAfter is the silence after which a host's object is deleted.
	forgetAfter = 10 * time.Minute
	// forgetEvery is the interval of these deletions.
	forgetEvery = time.Minute
	forgetOwner = "member-forget"
)

// seeSelf takes this host's own object. A deleted one is written again.
func (p *Part) seeSelf(object wire.Object) {
	host, ok := decodeHost(object)
	p.Self.Admitted = host.Admitted
	p.ownRevision = 0
	if ok && host.Incarnation == p.Self.Incarnation {
		p.ownRevision = object.Revision
		return
	}
	p.register.written = false
	if !ok {
		p.register.admit = false
	}
}

// seekAdmission asks to be admitted once a majority of the admitted hosts knows of this one. The first host of
// a new store finds none.
func (p *Part) seekAdmission(now time.Duration) {
	if p.ownRevision == 0 || p.Self.Admitted || p.register.admit {
		return
	}
	admitted, knowing := 0, 0
	for name, h := range p.hosts {
		if !h.Admitted {
			continue
		}
		admitted++
		if p.hears(name, now) && p.peers[name].beat.Complete && p.peers[name].beat.HostsRevision >= p.ownRevision {
			knowing++
		}
	}
	if admitted > 0 && knowing <= admitted/2 {
		return
	}
	p.register.admit = true
	p.register.written = false
}

// forget deletes the object of a host that has been silent for long, so that hosts that were replaced don't count for
// majorities for ever. Only a host that hears a majority does so, and only one host at a time is deleted.
func (p *Part) forget(now time.Duration, out *event.Batch) {
	silent := p.markSilent(now)
	if now < p.nextForget || silent == "" || !p.hearsMajority(now) || p.Store == nil || !p.Store.Reachable(now) {
		return
	}
	p.nextForget = now + forgetEvery
	var alive []string
	for _, h := range p.Alive(now) {
		alive = append(alive, h.Name)
	}
	if ranks.Of(Prefix+silent, alive, p.Self.Name) != 0 {
		return
	}
	p.forgetSeq++
	call := event.ObjectCall{Owner: forgetOwner, Seq: p.forgetSeq}
	out.Emit(event.DeleteObject{Call: call, Name: Prefix + silent, Version: p.versions[silent]})
	out.Emit(event.Log{Level: "warn", Event: "HostForgotten", Fields: []event.Field{{Key: "Host", Value: silent}}})
}

// markSilent notes since when each known host is silent and returns the first by name that has been for long.
func (p *Part) markSilent(now time.Duration) string {
	var silent string
	for _, h := range p.Known() {
		if h.Name == p.Self.Name || p.hears(h.Name, now) {
			delete(p.silent, h.Name)
			continue
		}
		since, ok := p.silent[h.Name]
		if !ok {
			p.silent[h.Name] = now
			continue
		}
		if silent == "" && now-since >= forgetAfter {
			silent = h.Name
		}
	}
	return silent
}

func (p *Part) hearsMajority(now time.Duration) bool {
	admitted, heard := 0, 0
	for _, h := range p.Known() {
		if !h.Admitted {
			continue
		}
		admitted++
		if h.Name == p.Self.Name || p.hears(h.Name, now) {
			heard++
		}
	}
	return heard > admitted/2
}
