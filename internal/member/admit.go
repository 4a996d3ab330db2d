package member

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

// FounderObject is the name of the object that the first admitted host of a store has created.
const FounderObject = "Founder"

const (
	founderOwner = "member-founder"
	founderRetry = time.Second
	// forgetAfter is the silence after which a host's object is deleted.
	forgetAfter = 10 * time.Minute
	// forgetEvery is the interval of these deletions.
	forgetEvery = time.Minute
	forgetOwner = "member-forget"
	// silentEvery is the interval at which silent hosts are noted.
	silentEvery = time.Second
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
		p.register.admit = p.Open
	}
}

// seekAdmission asks to be admitted once a majority of the admitted hosts knows of this one. In a new store there are
// none: there the host is admitted that creates the founder's object.
func (p *Part) seekAdmission(now time.Duration, out *event.Batch) {
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
	if admitted == 0 {
		p.founder.tick(now, p.Self.Name, out)
	}
	if knowing > admitted/2 || p.founder.won {
		p.register.admit = true
		p.register.written = false
	}
}

// founder creates the object that names the first admitted host. Only one host ever can.
type founder struct {
	won    bool
	busy   bool
	writes bool // the call under way is the write
	seq    uint64
	next   time.Duration
}

func (f *founder) tick(now time.Duration, self string, out *event.Batch) {
	if f.won || f.busy || now < f.next {
		return
	}
	f.busy = true
	f.writes = true
	f.seq++
	out.Emit(event.PutObject{
		Call:   event.ObjectCall{Owner: founderOwner, Seq: f.seq},
		Name:   FounderObject,
		Writer: self,
		Value:  []byte(strconv.Quote(self)),
	})
}

func (f *founder) done(now time.Duration, self string, e event.ObjectDone, out *event.Batch) {
	if e.Call.Owner != founderOwner || e.Call.Seq != f.seq {
		return
	}
	f.busy = false
	f.next = now + founderRetry
	if e.Kind == "" {
		f.won = e.Object.Writer == self
		return
	}
	if !f.writes {
		return
	}
	// The object may be this host's own by a write whose answer was lost, or from an earlier start.
	f.busy = true
	f.writes = false
	f.seq++
	out.Emit(event.GetObject{Call: event.ObjectCall{Owner: founderOwner, Seq: f.seq}, Name: FounderObject})
}

// forget deletes the object of a host that has been silent for long, so that hosts that were replaced don't count for
// majorities for ever. Only a host that hears a majority does so, and only one host at a time is deleted.
func (p *Part) forget(now time.Duration, out *event.Batch) {
	if now < p.nextSilent {
		return
	}
	p.nextSilent = now + silentEvery
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
