package batch

import (
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// gapValidFor is the time for which a measured gap counts.
	gapValidFor = 2 * time.Second
	// degradedRatio is the ratio of an engine's gap to the median gap of its service above which it counts as degraded.
	degradedRatio = 1.8
	// gapSmoothing is the weight of a new gap in an engine's mean gap, an exponential moving average.
	gapSmoothing = 0.3
	// slowClassRatio is the ratio of an engine's mean gap to that of the fast engines above which the longest items go
	// elsewhere. Engines of one kind differ by a few percent with their load.
	slowClassRatio = 1.15
	// minMeasuredEngines is the number of engines of a service that must be measured before they are compared.
	minMeasuredEngines = 2
	// minGapEvents is the smallest number of events over which a gap counts as measured.
	minGapEvents = 3
	// maxMoves is the maximum number of items that are moved away from an engine after one measurement.
	maxMoves = 4
)

// handlePace takes a measurement of an engine and moves items away from it when it is degraded or of the slow class.
func (p *Component) handlePace(now time.Duration, e event.EnginePace, out *event.Batch) {
	eng := p.engines.byName[e.Endpoint]
	if eng == nil || eng.Incarnation != e.Incarnation || e.Events < minGapEvents {
		return
	}
	eng.recordGap(now, e.Gap)
	switch {
	case p.engines.degraded(now, eng):
		p.moveFromDegraded(now, eng, out)
	case eng.speedClass(p.engines.fastMeanGap(eng.Service)) == slowClass:
		p.moveLongItems(now, eng, out)
	}
}

// recordGap takes a measured gap between two events.
func (e *engine) recordGap(now, gap time.Duration) {
	e.gap, e.gapAt = gap, now
	if e.meanGap == 0 {
		e.meanGap = gap
	}
	e.meanGap += time.Duration(gapSmoothing * float64(gap-e.meanGap))
}

// speedClass ranks an engine's long-term speed among the engines of its service, which may be of different kinds of
// hardware.
type speedClass int

const (
	fastClass speedClass = iota
	unknownClass
	slowClass
)

// speedClass compares the engine with the mean gap of the fast ones, which is 0 while it is unknown.
func (e *engine) speedClass(fastGap time.Duration) speedClass {
	switch {
	case e.meanGap == 0 || fastGap == 0:
		return unknownClass
	case float64(e.meanGap) > slowClassRatio*float64(fastGap):
		return slowClass
	default:
		return fastClass
	}
}

// fastMeanGap returns the mean gap that the fastest quarter of a service's engines do not exceed, 0 while fewer than
// minMeasuredEngines are measured.
func (s *engines) fastMeanGap(service string) time.Duration {
	var gaps []time.Duration
	for _, e := range s.byService[service] {
		if e.meanGap > 0 {
			gaps = append(gaps, e.meanGap)
		}
	}
	if len(gaps) < minMeasuredEngines {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/4]
}

// degradedGap returns the gap above which an engine of a service counts as degraded, 0 while fewer than
// minMeasuredEngines were measured lately.
func (s *engines) degradedGap(now time.Duration, service string) time.Duration {
	var gaps []time.Duration
	for _, e := range s.byService[service] {
		if e.gap > 0 && now-e.gapAt <= gapValidFor {
			gaps = append(gaps, e.gap)
		}
	}
	if len(gaps) < minMeasuredEngines {
		return 0
	}
	slices.Sort(gaps)
	return time.Duration(degradedRatio * float64(gaps[(len(gaps)-1)/2]))
}

// degraded reports whether the engine's last gap is recent and exceeds degradedFrom, the degradedGap of its service.
func (e *engine) degraded(now, degradedFrom time.Duration) bool {
	return e.gap > 0 && now-e.gapAt <= gapValidFor && degradedFrom > 0 && e.gap > degradedFrom
}

// degraded reports whether an engine now makes events far more slowly than most engines of its service.
func (s *engines) degraded(now time.Duration, eng *engine) bool {
	return eng.degraded(now, s.degradedGap(now, eng.Service))
}

// moveFromDegraded moves items from a degraded engine while another one can continue them at once, the longest first.
func (p *Component) moveFromDegraded(now time.Duration, eng *engine, out *event.Batch) {
	p.moveItems(eng, out, p.itemsRunningOn(eng.Name), func(req requirements) bool {
		to := p.engines.pick(now, req)
		return to != nil && to != eng && !p.engines.degraded(now, to)
	})
}

// moveLongItems moves the long items from an engine of the slow class while a fast one has a free slot.
func (p *Component) moveLongItems(now time.Duration, eng *engine, out *event.Batch) {
	long := slices.DeleteFunc(p.itemsRunningOn(eng.Name), func(ji jobItem) bool { return !ji.item.long })
	fastGap := p.engines.fastMeanGap(eng.Service)
	p.moveItems(eng, out, long, func(req requirements) bool {
		to := p.engines.pick(now, req)
		return to != nil && to.speedClass(fastGap) == fastClass && !p.engines.degraded(now, to)
	})
}

// moveItems stops up to maxMoves of the candidates' runs on an engine, in order, until fits finds no other engine for
// one. The stopped items are dispatched again from the events that are held.
func (p *Component) moveItems(eng *engine, out *event.Batch, candidates []jobItem, fits func(req requirements) bool) {
	if p.site == nil || p.stopping {
		return
	}
	moved := 0
	for _, ji := range candidates {
		r, ok := p.site.Routes[ji.job.head.Route]
		if !ok || moved >= maxMoves {
			return
		}
		req := p.requirementsOf(ji, r)
		req.avoid, req.goesOn, req.software = eng.Name, true, eng.Software
		if !fits(req) {
			return
		}
		moved++
		ji.item.avoidEngine = eng.Name
		p.logItem(ji.job, ji.item, "ItemMoved", out, event.Field{Key: "Endpoint", Value: eng.Name},
			event.Field{Key: "GapMS", Value: strconv.FormatInt(eng.gap.Milliseconds(), 10)})
		out.Emit(event.Count{Name: "ItemsMoved", N: 1})
		p.stopItem(ji.job, ji.item, out)
	}
}

// itemsRunningOn returns this host's items that run on an engine, the longest first.
func (p *Component) itemsRunningOn(name string) []jobItem {
	var all []jobItem
	for _, j := range p.sortedJobs() {
		for _, it := range j.items {
			if it.state == running && it.engineName == name && !j.ended {
				all = append(all, jobItem{job: j, item: it})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b jobItem) int { return b.item.Hint - a.item.Hint })
	return all
}
