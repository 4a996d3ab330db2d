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

// Bounds of a daemon that isn't told the memory and descriptors of its host.
const (
	clientMemory  = 64 << 20 // that clients can make it hold, in bytes
	operatorConns = 64
)

// newClientMemory returns the memory that clients may make the process hold.
func (d *daemon) newClientMemory(limit int64) *budget.Budget {
	return &budget.Budget{
		Limit: limit, Policy: budget.Heaviest{}, Now: func() int64 { return d.loop.Now().Milliseconds() },
		Refused: func(purpose budget.Purpose, ended bool) {
			d.metrics().Tagged(map[string]string{"Purpose": purpose.String(), "Ended": boolName(ended)}).Counter("ClientMemoryRefused").Inc(1)
		},
	}
}

// newAnswerMemory returns the memory that engines may make the process hold of their answers.
func (d *daemon) newAnswerMemory(limit int64) *budget.Budget {
	return &budget.Budget{
		Limit: limit, Policy: budget.Largest{}, Now: func() int64 { return d.loop.Now().Milliseconds() },
		Refused: func(_ budget.Purpose, ended bool) {
			d.metrics().Tagged(map[string]string{"Ended": boolName(ended)}).Counter("AnswerMemoryRefused").Inc(1)
		},
	}
}

func boolName(b bool) string {
	if b {
		return "true"
	}
	return "false"
}

// newGate returns the gate of a listener, with a bound for its connections.
func (d *daemon) newGate(listener string, maxConns int) *gate.Gate {
	return &gate.Gate{
		Budget: d.clientMemory, MaxConns: maxConns,
		TurnedAway: func(reason string, count int) {
			d.metrics().Tagged(map[string]string{"Listener": listener, "Reason": reason}).Counter("ClientsTurnedAway").Inc(int64(count))
			d.log.Warn("ClientsTurnedAway", zap.String("Listener", listener), zap.String("Reason", reason), zap.Int("Count", count))
		},
	}
}

// connsOf returns the number of connections that make up a fraction of the process's descriptors.
func (d *platformDaemon) connsOf(share float64) int { return max(1, int(float64(d.maxFDs())*share)) }

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
