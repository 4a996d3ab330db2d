package engin

import (
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

type loadSample struct {
	at   time.Time
	load wire.EndpointLoad
}

// delayedLoads delays load reports by lag. Its methods may be called concurrently.
type delayedLoads struct {
	lag time.Duration

	mu      sync.Mutex
	samples []loadSample
}

// report stores the current load and returns the newest sample that is at least lag old, or else the oldest one.
func (l *delayedLoads) report(now time.Time, load wire.EndpointLoad) wire.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{at: now, load: load})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
	old := l.samples[0]
	old.load.AgeMS = int(now.Sub(old.at).Milliseconds())
	return old.load
}
