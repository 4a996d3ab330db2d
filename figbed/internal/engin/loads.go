package engin

import (
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

type sample struct {
	at   time.Time
	load wire.EndpointLoad
}

// loads gives load reports that are lag old.
type loads struct {
	lag time.Duration

	mu      sync.Mutex
	samples []sample
}

// at adds the load of now and returns the newest sample that is at least the lag old.
func (l *loads) at(now time.Time, load wire.EndpointLoad) wire.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample{at: now, load: load})
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
	old := l.samples[0]
	old.load.AgeMS = int(now.Sub(old.at).Milliseconds())
	return old.load
}
