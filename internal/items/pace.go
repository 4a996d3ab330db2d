package items

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// paceEvery is the interval of the reports on engines' pace.
const paceEvery = 400 * time.Millisecond

// paces sums the time between events by engine. It may be used concurrently.
type paces struct {
	mu   sync.Mutex
	sums map[wire.LeaveMark]*paceSum
}

type paceSum struct {
	total  time.Duration
	events int
}

// add counts the time between two events of a run.
func (p *paces) add(engine wire.LeaveMark, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sums == nil {
		p.sums = map[wire.LeaveMark]*paceSum{}
	}
	s := p.sums[engine]
	if s == nil {
		s = &paceSum{}
		p.sums[engine] = s
	}
	s.total += gap
	s.events++
}

// take returns the reports since the last take, sorted by engine.
func (p *paces) take() []event.EnginePace {
	p.mu.Lock()
	sums := p.sums
	p.sums = nil
	p.mu.Unlock()
	var all []event.EnginePace
	for engine, s := range sums {
		all = append(all, event.EnginePace{
			Endpoint: engine.Endpoint, Incarnation: engine.Incarnation, Gap: s.total / time.Duration(s.events), Events: s.events,
		})
	}
	slices.SortFunc(all, func(a, b event.EnginePace) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// tellPaces reports the engines' pace until ctx ends.
func (x *Executor) tellPaces(ctx context.Context) {
	tick := time.NewTicker(paceEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, pace := range x.paces.take() {
			x.Post(pace)
		}
	}
}
