package fleet

import (
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/spend"
	"github.com/figshift/figshift/internal/wire"
)

// demandKeep is the age after which a silent host's demand no longer counts.
const demandKeep = 5 * time.Second

// demands holds the last demand of each host.
type demands map[string]hostDemand

type hostDemand struct {
	at     time.Duration
	demand []wire.Demand
}

// need adds up the demand for a model by class.
func (d demands) need(now time.Duration, model string) spend.Need {
	var n spend.Need
	for _, h := range d {
		if now-h.at > demandKeep {
			continue
		}
		for _, w := range h.demand {
			if w.Model == model {
				addClass(&n, config.Class(w.Class), w.Queued+w.Running)
			}
		}
	}
	return n
}

func addClass(n *spend.Need, class config.Class, tokens int) {
	switch class {
	case config.Interactive:
		n.Interactive += tokens
	case config.Background:
		n.Background += tokens
	case config.Rollout:
		n.Rollout += tokens
	}
}
