package lease

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// replaced reports whether the process that holds a duty has ended, since a host runs one at a time: another one was
// alive on its host after the record was seen, or has registered itself after the record was written.
func (p *Part) replaced(d *duty) bool {
	if d.record.Holder == p.Self.Name {
		return true
	}
	if r, ok := p.registered[d.record.Holder]; ok && r.incarnation != d.record.Incarnation && d.revision != 0 && r.revision > d.revision {
		return true
	}
	now, ok := p.running[d.record.Holder]
	return ok && now.incarnation != d.record.Incarnation && now.aliveAt > d.since
}

// noteRegistration remembers which process a host's object names. In a large fleet few hosts hear the holder's.
func (p *Part) noteRegistration(object wire.Object) {
	name, ok := strings.CutPrefix(object.Name, wire.PrefixHosts)
	var host event.Host
	if !ok || object.Deleted || json.Unmarshal(object.Value, &host) != nil {
		return
	}
	p.registered[name] = registration{incarnation: host.Incarnation, revision: object.Revision}
}

// registration is the process that a host's object names, and the store's revision at which it was written.
type registration struct {
	incarnation string
	revision    uint64
}

// noteProcess remembers the process that a host runs.
func (p *Part) noteProcess(e event.PeerUp) { p.running[e.Host] = process{incarnation: e.Incarnation} }

// noteAlive remembers a time at which a host's process was alive.
func (p *Part) noteAlive(e event.BeatSeen) {
	if r, ok := p.running[e.Host]; ok && e.Anchored {
		r.aliveAt = max(r.aliveAt, e.Anchor)
		p.running[e.Host] = r
	}
}

// process is what a host was last known to run.
type process struct {
	incarnation string
	aliveAt     time.Duration
}
