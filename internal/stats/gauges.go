package stats

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/figshift/figshift/internal/wire"
)

const (
	gaugeInterval = 5 * time.Second
	statusTimeout = 2 * time.Second
)

// Gauges sets the gauges for alerting: Ready (0 or 1), ConfigRevision, KeysRevision and EvidenceAgeMS (milliseconds). Its
// fields are set before Run.
type Gauges struct {
	Scope  tally.Scope
	Status func(ctx context.Context) (wire.Status, error)
	Ready  func() (ready bool, reason string)
}

// Run sets the gauges every 5 seconds until ctx ends.
func (g *Gauges) Run(ctx context.Context) error {
	tick := time.NewTicker(gaugeInterval)
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

// Set sets the gauges once. When Status fails or takes longer than 2 seconds, all gauges but Ready keep their values.
func (g *Gauges) Set(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	ready, _ := g.Ready()
	g.Scope.Gauge("Ready").Update(boolToFloat(ready))
	status, err := g.Status(ctx)
	if err != nil {
		return
	}
	g.Scope.Gauge("ConfigRevision").Update(float64(status.ConfigRevision))
	g.Scope.Gauge("KeysRevision").Update(float64(status.KeysRevision))
	g.Scope.Gauge("EvidenceAgeMS").Update(float64(status.EvidenceAgeMS))
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
