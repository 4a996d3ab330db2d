package batch

import (
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// paceFor is the time for which a measured pace counts.
	paceFor = 2 * time.Second
	// slowBy is the ratio of an engine's gap to the median gap from which on the engine counts as slow.
	slowBy = 1.8
	// paceWeight is the part of a new measurement in an engine's pace on average.
	paceWeight = 0.3
	// sluggishBy is the ratio of an engine's pace to that of the brisk ones from which on the longest items go elsewhere;
	// engines of one kind differ by a few percent with their load.
	sluggishBy = 1.15
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
	g.measured(now, e.Gap)
	switch {
	case p.engines.slow(now, g):
		p.moveFrom(now, g, out)
	case g.standing(p.engines.briskPace(g.Service)) == sluggish:
		p.moveLong(now, g, out)
	}
}

// measured takes a gap.
func (e *engine) measured(now, gap time.Duration) {
	e.gap, e.gapAt = gap, now
	if e.pace == 0 {
		e.pace = gap
	}
	e.pace += time.Duration(paceWeight * float64(gap-e.pace))
}

// standing is an engine's speed among those of its service; engines of one service may be of different kinds.
type standing int

const (
	brisk standing = iota
	untold
	sluggish
)

// standing compares the engine with the pace of the brisk ones, which is 0 while it is not known.
func (e *engine) standing(pace time.Duration) standing {
	switch {
	case e.pace == 0 || pace == 0:
		return untold
	case float64(e.pace) > sluggishBy*float64(pace):
		return sluggish
	default:
		return brisk
	}
}

// briskPace returns the pace that a quarter of a service's engines keep or better, 0 when few are known.
func (s *engines) briskPace(service string) time.Duration {
	var paces []time.Duration
	for _, e := range s.byService[service] {
		if e.pace > 0 {
			paces = append(paces, e.pace)
		}
	}
	if len(paces) < fewPaces {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/4]
}

// slowGap returns the gap between two events above which an engine of a service counts as slow, 0 while few are known.
func (s *engines) slowGap(now time.Duration, service string) time.Duration {
	var gaps []time.Duration
	for _, e := range s.byService[service] {
		if e.gap > 0 && now-e.gapAt <= paceFor {
			gaps = append(gaps, e.gap)
		}
	}
	if len(gaps) < fewPaces {
		return 0
	}
	slices.Sort(gaps)
	return time.Duration(slowBy * float64(gaps[(len(gaps)-1)/2]))
}

// slow reports whether the engine was measured lately and is slower than a service's slowGap.
func (e *engine) slow(now, slowFrom time.Duration) bool {
	return e.gap > 0 && now-e.gapAt <= paceFor && slowFrom > 0 && e.gap > slowFrom
}

// slow reports whether an engine makes events far more slowly than the others of its service.
func (s *engines) slow(now time.Duration, g *engine) bool {
	return g.slow(now, s.slowGap(now, g.Service))
}

// moveFrom ends runs on a slow engine whose items can go on at another one at once, those with the most to come first.
func (p *Part) moveFrom(now time.Duration, g *engine, out *event.Batch) {
	p.move(g, out, p.runningAt(g.Name), func(asked want) bool {
		to := p.engines.pick(now, asked)
		return to != nil && to != g && !p.engines.slow(now, to)
	})
}

// moveLong ends the runs of the longest items on a sluggish engine when a brisk one is free.
func (p *Part) moveLong(now time.Duration, g *engine, out *event.Batch) {
	long := slices.DeleteFunc(p.runningAt(g.Name), func(w place) bool { return !w.item.long })
	pace := p.engines.briskPace(g.Service)
	p.move(g, out, long, func(asked want) bool {
		to := p.engines.pick(now, asked)
		return to != nil && to.standing(pace) == brisk && !p.engines.slow(now, to)
	})
}

// move ends runs on an engine while others fit what their items need.
func (p *Part) move(g *engine, out *event.Batch, all []place, fits func(asked want) bool) {
	if p.site == nil || p.stopping {
		return
	}
	moved := 0
	for _, w := range all {
		r, ok := p.site.Routes[w.job.head.Route]
		if !ok || moved >= movesAtOnce {
			return
		}
		asked := p.wantOf(w, r)
		asked.notAt = g.Name
		if !fits(asked) {
			return
		}
		moved++
		w.item.notAt = g.Name
		p.log(w.job, w.item, "ItemMoved", out, event.Field{Key: "Endpoint", Value: g.Name},
			event.Field{Key: "GapMS", Value: strconv.FormatInt(g.gap.Milliseconds(), 10)})
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
