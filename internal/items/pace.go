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

// paceReportInterval is the interval at which the engines' pace is reported to the reducer.
const paceReportInterval = 400 * time.Millisecond

// paceStats sums up the time between events for each engine. It may be used concurrently; its zero value is empty.
type paceStats struct {
	mu   sync.Mutex
	sums map[wire.LeaveMark]*gapSum
}

type gapSum struct {
	total  time.Duration
	events int
}

// record adds the time between two consecutive events of a run.
func (p *paceStats) record(engine wire.LeaveMark, gap time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sums == nil {
		p.sums = map[wire.LeaveMark]*gapSum{}
	}
	s := p.sums[engine]
	if s == nil {
		s = &gapSum{}
		p.sums[engine] = s
	}
	s.total += gap
	s.events++
}

// drain returns the mean gap for each engine since the last drain, sorted by endpoint, and resets the sums.
func (p *paceStats) drain() []event.EnginePace {
	p.mu.Lock()
	sums := p.sums
	p.sums = nil
	p.mu.Unlock()
	var reports []event.EnginePace
	for engine, s := range sums {
		reports = append(reports, event.EnginePace{
			Endpoint: engine.Endpoint, Incarnation: engine.Incarnation, Gap: s.total / time.Duration(s.events), Events: s.events,
		})
	}
	slices.SortFunc(reports, func(a, b event.EnginePace) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return reports
}

// reportPaces posts the engines' pace every paceReportInterval until ctx ends.
func (x *Executor) reportPaces(ctx context.Context) {
	ticker := time.NewTicker(paceReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, pace := range x.paceStats.drain() {
			x.Post(pace)
		}
	}
}
