package batch

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// paceFor is the time for which a measured pace counts.
	paceFor = 2 * time.Second
	// slowBy is the ratio of an engine's gap to the median gap from which on the engine counts as slow.
	slowBy = 1.8
	// fewPaces is the least number of engines whose pace must be known to call one slow.
	fewPaces = 2
	// paceEvents is the least number of events for a measurement.
	paceEvents = 3
	// movesAtOnce bounds the items that leave one slow engine in one step.
	movesAtOnce = 4
)

// pace takes a measurement and moves items away from an engine that has turned slow.
func (p *Part) pace(now time.Duration, e event.EnginePace, out *event.Batch) {
	g := p.engines.byName[e.Endpoint]
	if g == nil || g.Incarnation != e.Incarnation || e.Events < paceEvents {
		return
	}
	g.gap, g.gapAt = e.Gap, now
	if p.engines.slow(now, g) {
		p.moveFrom(now, g, out)
	}
}

// slow reports whether an engine makes events far more slowly than the others of its service.
func (s *engines) slow(now time.Duration, g *engine) bool {
	if g.gap == 0 || now-g.gapAt > paceFor {
		return false
	}
	var gaps []time.Duration
	for _, e := range s.byName {
		if e.Service == g.Service && e.gap > 0 && now-e.gapAt <= paceFor {
			gaps = append(gaps, e.gap)
		}
	}
	if len(gaps) < fewPaces {
		return false
	}
	slices.Sort(gaps)
	median := gaps[(len(gaps)-1)/2]
	return float64(g.gap) > slowBy*float64(median)
}

// moveFrom ends runs on a slow engine whose items can go on at another one at once, those with the most to come first.
func (p *Part) moveFrom(now time.Duration, g *engine, out *event.Batch) {
	if p.site == nil || p.stopping {
		return
	}
	moved := 0
	for _, w := range p.runningAt(g.Name) {
		r, ok := p.site.Routes[w.job.head.Route]
		if !ok || moved >= movesAtOnce {
			return
		}
		asked := p.wantOf(w, r)
		asked.notAt = g.Name
		to := p.engines.pick(now, asked)
		if to == nil || to == g || p.engines.slow(now, to) {
			return
		}
		moved++
		w.item.notAt = g.Name
		p.log(w.job, w.item, "ItemMoved", out, event.Field{Key: "Endpoint", Value: g.Name},
			event.Field{Key: "GapMS", Value: g.gap.String()})
		out.Emit(event.Count{Name: "ItemsMoved", N: 1})
		p.stopItem(w.job, w.item, out)
	}
}

// runningAt returns the items that run on an engine, the longest first.
func (p *Part) runningAt(name string) []place {
	var all []place
	for _, j := range p.sorted() {
		for _, it := range j.items {
			if it.state == running && it.engine == name && !j.ended {
				all = append(all, place{job: j, item: it})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b place) int { return b.item.Hint - a.item.Hint })
	return all
}
