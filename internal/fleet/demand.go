package fleet

import (
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/spend"
	"github.com/figshift/figshift/internal/wire"
)

// demandTTL is the age after which a host's last reported demand is ignored.
const demandTTL = 5 * time.Second

// demandByHost holds the last demand that each host reported.
type demandByHost map[string]hostDemand

type hostDemand struct {
	at     time.Duration
	demand []wire.Demand
}

// total returns the sum of the hosts' demand for a model, by class.
func (d demandByHost) total(now time.Duration, model string) spend.Need {
	var n spend.Need
	for _, h := range d {
		if now-h.at > demandTTL {
			continue
		}
		for _, w := range h.demand {
			if w.Model == model {
				addTokens(&n, config.Class(w.Class), w.Queued+w.Running)
			}
		}
	}
	return n
}

func addTokens(n *spend.Need, class config.Class, tokens int) {
	switch class {
	case config.Interactive:
		n.Interactive += tokens
	case config.Background:
		n.Background += tokens
	case config.Rollout:
		n.Rollout += tokens
	}
}
