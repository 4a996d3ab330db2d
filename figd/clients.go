package main

import (
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/gate"
)

// clientMemory is the memory that clients can make a daemon hold that isn't told its host's memory, in bytes.
const clientMemory = 64 << 20

// newClientMemory returns the memory that clients may make the process hold.
func (d *daemon) newClientMemory(limit int64) *budget.Budget {
	return &budget.Budget{
		Limit: limit, Policy: budget.Heaviest{}, Now: func() int64 { return d.loop.Now().Milliseconds() },
		Refused: func(purpose budget.Purpose, ended bool) {
			d.metrics().Tagged(map[string]string{"Purpose": purpose.String(), "Ended": boolName(ended)}).Counter("ClientMemoryRefused").Inc(1)
		},
	}
}

func boolName(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// newGate returns the gate of a listener.
func (d *platformDaemon) newGate(listener string) *gate.Gate {
	return &gate.Gate{
		Budget: d.clientMemory,
		TurnedAway: func(reason string, count int) {
			d.metrics().Tagged(map[string]string{"Listener": listener, "Reason": reason}).Counter("ClientsTurnedAway").Inc(int64(count))
			d.log.Warn("ClientsTurnedAway", zap.String("Listener", listener), zap.String("Reason", reason), zap.Int("Count", count))
		},
	}
}
