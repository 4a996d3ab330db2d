package main

import (
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/gate"
)

// Fractions of the descriptors of the process that the connections of each listener may take. The rest is for endpoints, the
// store, other hosts and files.
const (
	callerConns    = 1.0 / 2
	hostConns      = 1.0 / 8
	readinessConns = 1.0 / 16
	metricsConns   = 1.0 / 32
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

// newGate returns the gate of a listener, whose connections may take a fraction of the process's descriptors.
func (d *platformDaemon) newGate(listener string, share float64) *gate.Gate {
	return &gate.Gate{
		Budget: d.clientMemory, MaxConns: max(1, int(float64(d.maxFDs())*share)),
		TurnedAway: func(reason string, count int) {
			d.metrics().Tagged(map[string]string{"Listener": listener, "Reason": reason}).Counter("ClientsTurnedAway").Inc(int64(count))
			d.log.Warn("ClientsTurnedAway", zap.String("Listener", listener), zap.String("Reason", reason), zap.Int("Count", count))
		},
	}
}

// maxFDs returns the number of descriptors that the process may open.
func (d *platformDaemon) maxFDs() int {
	if d.settings.MaxFDs > 0 {
		return d.settings.MaxFDs
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultMaxFDs
	}
	return int(min(limit.Cur, 1<<20))
}

// defaultMaxFDs is the limit of descriptors when the system doesn't tell it.
const defaultMaxFDs = 1024
