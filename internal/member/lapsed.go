package member

import (
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// lastHeld is the newest known holding of a duty.
type lastHeld struct {
	host  string
	epoch uint64
}

func (p *Part) noteHolder(duty, host string, epoch uint64) {
	if p.lastHeld == nil {
		p.lastHeld = map[string]lastHeld{}
	}
	if epoch >= p.lastHeld[duty].epoch {
		p.lastHeld[duty] = lastHeld{host: host, epoch: epoch}
	}
}

func (p *Part) noteBeat(e event.BeatSeen) {
	for _, d := range e.Beat.Duties {
		p.noteHolder(d.Duty, e.Host, d.Epoch)
	}
}

// answersLapsed reports whether the last holder of a duty answers calls after its lease has run out. A rollout's
// holder does: in a store outage it hands over what was sealed before.
func answersLapsed(duty string) bool { return strings.HasPrefix(duty, wire.PrefixRolloutDuty) }

// lapsedHolder returns the host that last held a duty and still answers for it, "" for none that is heard.
func (p *Part) lapsedHolder(duty string, now time.Duration) string {
	host := p.lastHeld[duty].host
	if !answersLapsed(duty) || (host != p.Self.Name && !p.hears(host, now)) {
		return ""
	}
	return host
}
