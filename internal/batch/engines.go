package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

const (
	defaultSlots = 8 // of an engine that does not report its number of slots
	// failurePause is the time for which an engine gets no new run after a failed one. It doubles with each failure in a
	// row.
	failurePause = 500 * time.Millisecond
	// maxFailurePause is the maximum of that time.
	maxFailurePause = 4 * time.Second
	// refusalPause is the time for which an engine gets no new run after it refused one because it is full or loads a
	// version. It doubles with each refusal in a row up to maxRefusalPause, which is about the time that a load takes.
	refusalPause    = 100 * time.Millisecond
	maxRefusalPause = 800 * time.Millisecond
	// wrongVersionPause is the time for which an engine gets no new run after it refused one because it serves a version
	// other than the one in the endpoint list.
	wrongVersionPause = 300 * time.Millisecond
)

// engine is an endpoint with the load, failures and speed by which items are dispatched to it.
type engine struct {
	wire.Endpoint
	ownRunning    int           // items that this host runs on it
	remoteRunning int           // items that other hosts run on it, by their last heartbeats
	leaving       bool          // it takes no new work; this is final for its incarnation
	tieRank       uint64        // breaks ties between equal engines; differs between hosts, so that they spread their items
	failures      int           // in a row, by which the pause after a failure grows
	refusals      int           // in a row, by which the pause after a refusal grows
	pausedUntil   time.Duration // it gets no new run before
	gap           time.Duration // last measured time between two events of an item, 0 when unknown
	gapAt         time.Duration // when gap was measured
	meanGap       time.Duration // exponential moving average of gap, 0 when unknown
}

// engines holds the endpoints and the number of items that each host runs on them.
type engines struct {
	self       string
	limits     limit.Gate
	byName     map[string]*engine
	sorted     []*engine            // by name
	byService  map[string][]*engine // each by name
	leaveMarks map[wire.LeaveMark]bool
	remoteRuns map[string][]wire.EngineRuns // by host
}

// setEndpoints replaces the endpoint list. An endpoint of the same incarnation keeps its state.
func (s *engines) setEndpoints(_ time.Duration, endpoints []wire.Endpoint) {
	old := s.byName
	s.byName = make(map[string]*engine, len(endpoints))
	s.sorted, s.byService = make([]*engine, 0, len(endpoints)), map[string][]*engine{}
	for _, e := range endpoints {
		entry := old[e.Name]
		if entry == nil || entry.Incarnation != e.Incarnation {
			entry = &engine{tieRank: xxhash.Sum64String(s.self + "\x00" + e.Name)}
		}
		entry.Endpoint = e
		entry.leaving = entry.leaving || e.State == wire.Leaving || s.leaveMarks[leaveMark(&entry.Endpoint)]
		if s.byName[e.Name] == nil {
			s.sorted = append(s.sorted, entry)
		}
		s.byName[e.Name] = entry
	}
	slices.SortFunc(s.sorted, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range s.sorted {
		s.byService[e.Service] = append(s.byService[e.Service], e)
		e.remoteRunning = 0
	}
	for _, runs := range s.remoteRuns {
		s.adjustRemote(runs, 1)
	}
}

// adjustRemote adds the items that another host runs to the engines' counts when sign is 1, and subtracts them when it
// is -1.
func (s *engines) adjustRemote(runs []wire.EngineRuns, sign int) {
	for _, r := range runs {
		if e := s.byName[r.Endpoint]; e != nil {
			e.remoteRunning += sign * r.Items
		}
	}
}

func leaveMark(e *wire.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

func (s *engines) markLeaving(m wire.LeaveMark) {
	if s.leaveMarks == nil {
		s.leaveMarks = map[wire.LeaveMark]bool{}
	}
	s.leaveMarks[m] = true
	if e := s.byName[m.Endpoint]; e != nil && e.Incarnation == m.Incarnation {
		e.leaving = true
	}
}

// setRemoteRuns replaces the runs of another host, nil for none, and takes over its measurements of engines on which this
// host runs nothing.
func (s *engines) setRemoteRuns(now time.Duration, host string, runs []wire.EngineRuns) {
	for _, r := range runs {
		if e := s.byName[r.Endpoint]; e != nil && r.GapMS > 0 && e.ownRunning == 0 {
			e.recordGap(now, time.Duration(r.GapMS)*time.Millisecond)
		}
	}
	if s.remoteRuns == nil {
		s.remoteRuns = map[string][]wire.EngineRuns{}
	}
	s.adjustRemote(s.remoteRuns[host], -1)
	s.adjustRemote(runs, 1)
	if runs == nil {
		delete(s.remoteRuns, host)
		return
	}
	s.remoteRuns[host] = runs
}

// ownRuns returns the number of items that this host runs on each engine, sorted by engine.
func (s *engines) ownRuns() []wire.EngineRuns {
	var all []wire.EngineRuns
	for _, e := range s.sorted {
		if e.ownRunning > 0 {
			all = append(all, wire.EngineRuns{Endpoint: e.Name, Items: e.ownRunning, GapMS: int(e.gap.Milliseconds())})
		}
	}
	return all
}

// need states which engines can take an item.
type need struct {
	service      string
	model        string
	minVersion   uint64 // oldest version allowed
	exactVersion uint64 // only version allowed, 0 for any
	goesOn       bool   // held events go on, which only engines with the software version can do
	software     string
}

// requirements states which engine an item needs and which it prefers.
type requirements struct {
	need
	avoid string // name of an engine to use only when no other fits
	long  bool   // the item is expected to be among the longest of its job
	zone  string // preferred among engines of equal load
}

// pick returns the best engine with a free slot, nil when there is none. It looks at each engine of the service only once,
// since a large fleet has thousands of them and pick runs for each item of a training step.
func (s *engines) pick(now time.Duration, req requirements) *engine {
	fastGap, degradedFrom := s.fastMeanGap(req.service), s.degradedGap(now, req.service)
	var best *engine
	for _, e := range s.byService[req.service] {
		if !e.canServe(now, req.need) || e.ownRunning+e.remoteRunning >= e.slots() || !s.allows(now, e) {
			continue
		}
		if best == nil || req.compare(now, e, best, fastGap, degradedFrom) < 0 {
			best = e
		}
	}
	return best
}

// serves reports whether an engine meets a need, free or not.
func (s *engines) serves(n need) bool {
	return slices.ContainsFunc(s.byService[n.service], func(e *engine) bool { return e.suits(n) })
}

// allows reports whether the engine's limit, if it names one, allows another run from this host now.
func (s *engines) allows(now time.Duration, e *engine) bool {
	return s.limits == nil || s.limits.Allowance(now, leaveMark(&e.Endpoint), limit.Items).Allows()
}

// compare orders two engines that meet the requirements; it is negative when a is the better one.
func (req requirements) compare(now time.Duration, a, b *engine, fastGap, degradedFrom time.Duration) int {
	bySpeed := 0
	if req.long {
		bySpeed = cmp.Compare(a.speedClass(fastGap), b.speedClass(fastGap))
	}
	return cmp.Or(
		trueFirst(a.Name != req.avoid, b.Name != req.avoid),
		trueFirst(!a.degraded(now, degradedFrom), !b.degraded(now, degradedFrom)),
		cmp.Compare(a.failures, b.failures),
		bySpeed,
		cmp.Compare(a.load(), b.load()),
		trueFirst(a.Zone == req.zone, b.Zone == req.zone),
		cmp.Compare(a.tieRank, b.tieRank),
	)
}

func (e *engine) canServe(now time.Duration, req need) bool {
	return now >= e.pausedUntil && e.suits(req)
}

// suits reports whether the engine meets a need, apart from a pause.
func (e *engine) suits(req need) bool {
	if e.Service != req.service || e.leaving || e.State != wire.Live || req.goesOn && e.Software != req.software {
		return false
	}
	version := e.VersionOf(req.model)
	return version >= req.minVersion && (req.exactVersion == 0 || version == req.exactVersion) && (version > 0 || req.minVersion == 0)
}

func (e *engine) slots() int {
	if e.Slots > 0 {
		return e.Slots
	}
	return defaultSlots
}

// load returns the fraction of the engine's slots that are taken.
func (e *engine) load() float64 {
	return float64(e.ownRunning+e.remoteRunning) / float64(e.slots())
}

// recordRefusal pauses the engine after it refused a run.
func (e *engine) recordRefusal(now time.Duration) {
	e.pausedUntil = max(e.pausedUntil, now+min(refusalPause<<min(e.refusals, 8), maxRefusalPause))
	e.refusals++
}

// recordSuccess ends a pause after refusals and resets the failures when a run has succeeded: a slot is free again.
func (e *engine) recordSuccess(now time.Duration) {
	e.failures = 0
	if e.refusals > 0 {
		e.refusals, e.pausedUntil = 0, now
	}
}

// recordFailure pauses the engine after a failed run.
func (e *engine) recordFailure(now time.Duration) {
	e.pausedUntil = now + min(failurePause<<min(e.failures, 8), maxFailurePause)
	e.failures++
}
