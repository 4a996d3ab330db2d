package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/wire"
)

const (
	defaultSlots = 8 // of an engine that does not tell
	// brokenFor is the time for which an engine that broke a run gets no new one.
	brokenFor = 500 * time.Millisecond
	// brokenMost bounds that time after failures in a row.
	brokenMost = 4 * time.Second
	// fullFor is the time after an engine said that it is full, or loads a version; it doubles with each refusal in a row
	// up to fullMost, which is about the time of a load.
	fullFor  = 100 * time.Millisecond
	fullMost = 800 * time.Millisecond
	// lagFor is the time after an engine had another version than listed.
	lagFor = 300 * time.Millisecond
)

// engine is an endpoint as the items' dispatch sees it.
type engine struct {
	wire.Endpoint
	running  int // items of this host
	others   int // items of the other hosts, as far as they are heard
	left     bool
	rank     uint64 // this host's order among engines that are alike; hosts differ in it
	failures int
	refusals int           // in a row
	until    time.Duration // no run before
	gap      time.Duration // time between two events of an item, 0 when not known
	gapAt    time.Duration // when it was measured
	pace     time.Duration // gap on average over its life, 0 when not known
}

// engines holds the endpoints by name and what the other hosts run on them.
type engines struct {
	host      string
	byName    map[string]*engine
	sorted    []*engine            // by name
	byService map[string][]*engine // each by name
	marks     map[wire.LeaveMark]bool
	remote    map[string][]wire.EngineRuns // by host
}

func (s *engines) list(_ time.Duration, endpoints []wire.Endpoint) {
	old := s.byName
	s.byName = make(map[string]*engine, len(endpoints))
	s.sorted, s.byService = make([]*engine, 0, len(endpoints)), map[string][]*engine{}
	for _, e := range endpoints {
		known := old[e.Name]
		if known == nil || known.Incarnation != e.Incarnation {
			known = &engine{rank: xxhash.Sum64String(s.host + "\x00" + e.Name)}
		}
		known.Endpoint = e
		known.left = known.left || e.State == wire.Leaving || s.marks[mark(&known.Endpoint)]
		if s.byName[e.Name] == nil {
			s.sorted = append(s.sorted, known)
		}
		s.byName[e.Name] = known
	}
	slices.SortFunc(s.sorted, func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range s.sorted {
		s.byService[e.Service] = append(s.byService[e.Service], e)
		e.others = 0
	}
	for _, runs := range s.remote {
		s.count(runs, 1)
	}
}

// count adds what a host runs to the engines' items of others, or takes it off.
func (s *engines) count(runs []wire.EngineRuns, by int) {
	for _, r := range runs {
		if e := s.byName[r.Endpoint]; e != nil {
			e.others += by * r.Items
		}
	}
}

func mark(e *wire.Endpoint) wire.LeaveMark {
	return wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
}

func (s *engines) leave(m wire.LeaveMark) {
	if s.marks == nil {
		s.marks = map[wire.LeaveMark]bool{}
	}
	s.marks[m] = true
	if e := s.byName[m.Endpoint]; e != nil && e.Incarnation == m.Incarnation {
		e.left = true
	}
}

func (s *engines) others(now time.Duration, host string, runs []wire.EngineRuns) {
	for _, r := range runs {
		if e := s.byName[r.Endpoint]; e != nil && r.GapMS > 0 && e.running == 0 {
			e.measured(now, time.Duration(r.GapMS)*time.Millisecond)
		}
	}
	if s.remote == nil {
		s.remote = map[string][]wire.EngineRuns{}
	}
	s.count(s.remote[host], -1)
	s.count(runs, 1)
	if runs == nil {
		delete(s.remote, host)
		return
	}
	s.remote[host] = runs
}

// own returns the items of this host by engine, sorted.
func (s *engines) own() []wire.EngineRuns {
	var all []wire.EngineRuns
	for _, e := range s.sorted {
		if e.running > 0 {
			all = append(all, wire.EngineRuns{Endpoint: e.Name, Items: e.running, GapMS: int(e.gap.Milliseconds())})
		}
	}
	return all
}

// want says what an item needs of its engine.
type want struct {
	service string
	model   string
	least   uint64 // oldest version
	exact   uint64 // the only version, 0 for any
	notAt   string // only when there is no other
	long    bool   // it is expected to be one of the longest of its job
	zone    string
}

// pick returns the engine with the most free places, nil when all are taken. It looks at each engine of the service once: a
// large fleet has thousands, and each item of a step is picked for.
func (s *engines) pick(now time.Duration, w want) *engine {
	pace, slowFrom := s.briskPace(w.service), s.slowGap(now, w.service)
	var best *engine
	for _, e := range s.byService[w.service] {
		if !e.serves(now, w) || e.running+e.others >= e.slots() {
			continue
		}
		if best == nil || w.compare(now, e, best, pace, slowFrom) < 0 {
			best = e
		}
	}
	return best
}

// compare orders two engines that fit by how well they do.
func (w want) compare(now time.Duration, a, b *engine, pace, slowFrom time.Duration) int {
	byPace := 0
	if w.long {
		byPace = cmp.Compare(a.standing(pace), b.standing(pace))
	}
	return cmp.Or(
		first(a.Name != w.notAt, b.Name != w.notAt),
		first(!a.slow(now, slowFrom), !b.slow(now, slowFrom)),
		cmp.Compare(a.failures, b.failures),
		byPace,
		cmp.Compare(a.load(), b.load()),
		first(a.Zone == w.zone, b.Zone == w.zone),
		cmp.Compare(a.rank, b.rank),
	)
}

func (e *engine) serves(now time.Duration, w want) bool {
	if e.Service != w.service || e.left || e.State != wire.Live || now < e.until {
		return false
	}
	version := e.VersionOf(w.model)
	return version >= w.least && (w.exact == 0 || version == w.exact) && (version > 0 || w.least == 0)
}

func (e *engine) slots() int {
	if e.Slots > 0 {
		return e.Slots
	}
	return defaultSlots
}

// load returns the taken part of the engine's places.
func (e *engine) load() float64 {
	return float64(e.running+e.others) / float64(e.slots())
}

// refused keeps the engine from new runs for a short while.
func (e *engine) refused(now time.Duration) {
	e.until = max(e.until, now+min(fullFor<<min(e.refusals, 8), fullMost))
	e.refusals++
}

// served notes that a run of this host has ended well: a place is free again.
func (e *engine) served(now time.Duration) {
	e.failures = 0
	if e.refusals > 0 {
		e.refusals, e.until = 0, now
	}
}

// failed keeps the engine from new runs for a while.
func (e *engine) failed(now time.Duration) {
	e.until = now + min(brokenFor<<min(e.failures, 8), brokenMost)
	e.failures++
}
