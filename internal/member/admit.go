package member

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

// FounderObjectName is the name of the object that the first admitted host of a store creates.
const FounderObjectName = "Founder"

const (
	founderOwner      = "member-founder"
	founderRetryDelay = time.Second
	// forgetAfter is how long a host must be silent before its object is deleted.
	forgetAfter = 10 * time.Minute
	// forgetInterval is the interval between such deletions.
	forgetInterval = time.Minute
	forgetOwner    = "member-forget"
	// silentCheckInterval is the interval at which this host checks which others are silent.
	silentCheckInterval = time.Second
)

// handleOwnObject handles a change of this host's own object. A deleted object is written again.
func (p *Component) handleOwnObject(object wire.Object) {
	host, ok := decodeHost(object)
	p.Self.Admitted = host.Admitted
	p.ownRevision = 0
	if ok && host.Incarnation == p.Self.Incarnation {
		p.ownRevision = object.Revision
		return
	}
	p.registration.written = false
	if !ok {
		p.registration.admit = p.AdmitAll
	}
}

// requestAdmission requests admission once a majority of the admitted hosts knows this host's registration. A new store
// has no admitted hosts: there the host that creates the founder object is admitted.
func (p *Component) requestAdmission(now time.Duration, out *event.Batch) {
	if p.ownRevision == 0 || p.Self.Admitted || p.registration.admit {
		return
	}
	admitted, acknowledged := 0, 0
	for name, h := range p.hosts {
		if !h.Admitted {
			continue
		}
		admitted++
		if p.isAlive(name, now) && p.peers[name].lastHeartbeat.Complete && p.peers[name].lastHeartbeat.HostsRevision >= p.ownRevision {
			acknowledged++
		}
	}
	if admitted == 0 {
		p.founder.tick(now, p.Self.Name, out)
	}
	if acknowledged > admitted/2 || p.founder.created {
		p.registration.admit = true
		p.registration.written = false
	}
}

// founder creates the object that names the first admitted host. The store lets only one host create it.
type founder struct {
	created     bool
	callPending bool
	callIsWrite bool // the last call was the write
	callSeq     uint64
	nextCallAt  time.Duration
}

func (f *founder) tick(now time.Duration, self string, out *event.Batch) {
	if f.created || f.callPending || now < f.nextCallAt {
		return
	}
	f.callPending = true
	f.callIsWrite = true
	f.callSeq++
	out.Emit(event.PutObject{
		Call:   event.ObjectCall{Owner: founderOwner, Seq: f.callSeq},
		Name:   FounderObjectName,
		Writer: self,
		Value:  []byte(strconv.Quote(self)),
	})
}

func (f *founder) done(now time.Duration, self string, e event.ObjectDone, out *event.Batch) {
	if e.Call.Owner != founderOwner || e.Call.Seq != f.callSeq {
		return
	}
	f.callPending = false
	f.nextCallAt = now + founderRetryDelay
	if e.Kind == "" {
		f.created = e.Object.Writer == self
		return
	}
	if !f.callIsWrite {
		return
	}
	// The object may be this host's own, from a write whose answer was lost or from an earlier start.
	f.callPending = true
	f.callIsWrite = false
	f.callSeq++
	out.Emit(event.GetObject{Call: event.ObjectCall{Owner: founderOwner, Seq: f.callSeq}, Name: FounderObjectName})
}

// forgetSilentHost deletes the object of a host that has been silent for forgetAfter, so that hosts that were replaced
// don't count towards majorities for ever. It does so only while a majority of the admitted hosts is alive, and for one
// host at a time.
func (p *Component) forgetSilentHost(now time.Duration, out *event.Batch) {
	if now < p.nextSilentCheck {
		return
	}
	p.nextSilentCheck = now + silentCheckInterval
	silent := p.longSilentHost(now)
	if now < p.nextForgetAt || silent == "" || !p.majorityAlive(now) || p.Store == nil || !p.Store.Reachable(now) {
		return
	}
	p.nextForgetAt = now + forgetInterval
	var alive []string
	for _, h := range p.Alive(now) {
		alive = append(alive, h.Name)
	}
	if ranks.Rank(Prefix+silent, alive, p.Self.Name) != 0 {
		return
	}
	p.forgetSeq++
	call := event.ObjectCall{Owner: forgetOwner, Seq: p.forgetSeq}
	out.Emit(event.DeleteObject{Call: call, Name: Prefix + silent, Version: p.versions[silent]})
	out.Emit(event.Log{Level: "warn", Event: "HostForgotten", Fields: []event.Field{{Key: "Host", Value: silent}}})
}

// longSilentHost updates since when each known host is silent and returns the first by name whose silence has lasted
// forgetAfter; "" for none.
func (p *Component) longSilentHost(now time.Duration) string {
	var longSilent string
	for _, h := range p.Known() {
		if h.Name == p.Self.Name || p.isAlive(h.Name, now) {
			delete(p.silentSince, h.Name)
			continue
		}
		since, ok := p.silentSince[h.Name]
		if !ok {
			p.silentSince[h.Name] = now
			continue
		}
		if longSilent == "" && now-since >= forgetAfter {
			longSilent = h.Name
		}
	}
	return longSilent
}

func (p *Component) majorityAlive(now time.Duration) bool {
	admitted, alive := 0, 0
	for _, h := range p.Known() {
		if !h.Admitted {
			continue
		}
		admitted++
		if h.Name == p.Self.Name || p.isAlive(h.Name, now) {
			alive++
		}
	}
	return alive > admitted/2
}
