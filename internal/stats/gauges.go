package stats

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figshift/figshift/internal/wire"
)

const (
	gaugeEvery   = 5 * time.Second
	gaugeTimeout = 2 * time.Second
)

// Gauges sets what alarms go by: Ready (0 or 1), ConfigRevision, KeysRevision and EvidenceAgeMS. Its fields are set
// before Run.
type Gauges struct {
	Scope  tally.Scope
	Status func(ctx context.Context) (wire.Status, error)
	Ready  func() (ready bool, reason string)
}

// Run sets the gauges every few seconds until ctx ends. A status that does not come in time leaves them as they are.
func (g *Gauges) Run(ctx context.Context) error {
	tick := time.NewTicker(gaugeEvery)
	defer tick.Stop()
	for {
		g.Set(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Set sets the gauges once.
func (g *Gauges) Set(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gaugeTimeout)
	defer cancel()
	ready, _ := g.Ready()
	g.Scope.Gauge("Ready").Update(number(ready))
	status, err := g.Status(ctx)
	if err != nil {
		return
	}
	g.Scope.Gauge("ConfigRevision").Update(float64(status.ConfigRevision))
	g.Scope.Gauge("KeysRevision").Update(float64(status.KeysRevision))
	g.Scope.Gauge("EvidenceAgeMS").Update(float64(status.EvidenceAgeMS))
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
