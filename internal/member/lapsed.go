package member

import (
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// lastHolder is the last known holder of a duty.
type lastHolder struct {
	host  string
	epoch uint64
}

func (p *Component) recordHolder(duty, host string, epoch uint64) {
	if p.lastHolders == nil {
		p.lastHolders = map[string]lastHolder{}
	}
	if epoch >= p.lastHolders[duty].epoch {
		p.lastHolders[duty] = lastHolder{host: host, epoch: epoch}
	}
}

func (p *Component) recordHolders(e event.BeatSeen) {
	for _, d := range e.Beat.Duties {
		p.recordHolder(d.Duty, e.Host, d.Epoch)
	}
}

// answersAfterLapse reports whether the last holder of a duty answers calls after its lease has run out. The holder of a
// rollout duty does: in a store outage it hands over the lots that were sealed before.
func answersAfterLapse(duty string) bool { return strings.HasPrefix(duty, wire.PrefixRolloutDuty) }

// lapsedHolder returns the host that last held a duty and still answers calls for it; "" when there is none
// or it is not alive.
func (p *Component) lapsedHolder(duty string, now time.Duration) string {
	host := p.lastHolders[duty].host
	if !answersAfterLapse(duty) || (host != p.Self.Name && !p.isAlive(host, now)) {
		return ""
	}
	return host
}
