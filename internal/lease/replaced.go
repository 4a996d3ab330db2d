package lease

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// holderReplaced reports whether the process that holds a duty has ended. A host runs one process at a time, so another
// process that was alive on the host after the record was seen, or that registered after the record was written, has
// replaced the holder.
func (p *Component) holderReplaced(d *duty) bool {
	if d.record.Holder == p.Self.Name {
		return true
	}
	if r, ok := p.registrations[d.record.Holder]; ok && r.incarnation != d.record.Incarnation && d.revision != 0 && r.revision > d.revision {
		return true
	}
	running, ok := p.processes[d.record.Holder]
	return ok && running.incarnation != d.record.Incarnation && running.aliveAt > d.firstSeenAt
}

// recordRegistration records which process a host's object names. In a large fleet few hosts receive heartbeats from
// the holder.
func (p *Component) recordRegistration(object wire.Object) {
	name, ok := strings.CutPrefix(object.Name, wire.PrefixHosts)
	var host event.Host
	if !ok || object.Deleted || json.Unmarshal(object.Value, &host) != nil {
		return
	}
	p.registrations[name] = registration{incarnation: host.Incarnation, revision: object.Revision}
}

// registration is the process that a host's object names and the store revision at which the object was written.
type registration struct {
	incarnation string
	revision    uint64
}

// recordProcess records which process a host runs.
func (p *Component) recordProcess(e event.PeerUp) {
	p.processes[e.Host] = process{incarnation: e.Incarnation}
}

// recordAlive records a time at which a host's process was alive.
func (p *Component) recordAlive(e event.BeatSeen) {
	if running, ok := p.processes[e.Host]; ok && e.Anchored {
		running.aliveAt = max(running.aliveAt, e.Anchor)
		p.processes[e.Host] = running
	}
}

// process is the process that a host was last known to run.
type process struct {
	incarnation string
	aliveAt     time.Duration
}
