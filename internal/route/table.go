package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	missingFor = time.Minute      // time for which an endpoint that the list lacks is remembered
	markFor    = time.Hour        // time for which a leave mark outlives its last listing
	markNews   = 30 * time.Second // time for which a new leave mark is spread
)

// Table holds the endpoints and the leave marks. Its zero value is empty. It must not be used concurrently.
type Table struct {
	endpoints map[string]*Endpoint
	pools     map[string][]*Endpoint // by pool, sorted by name
	zones     map[place][]*Endpoint  // the same by pool and zone
	summaries map[string]*summary    // by pool
	marks     map[wire.LeaveMark]*mark
}

type mark struct {
	madeAt time.Duration
	seenAt time.Duration // last time at which the list held the incarnation
	listed bool          // as live or starting
}

// List takes a newer list of the platform. An endpoint under another incarnation starts with a clean record.
func (t *Table) List(now time.Duration, list []wire.Endpoint) {
	t.prepare()
	for _, e := range t.endpoints {
		if e.listed {
			e.listed, e.missing = false, now
		}
	}
	for _, m := range t.marks {
		m.listed = false
	}
	for _, e := range list {
		t.add(now, e)
	}
	t.forget(now)
	t.index()
}

func (t *Table) prepare() {
	if t.endpoints == nil {
		t.endpoints = map[string]*Endpoint{}
		t.marks = map[wire.LeaveMark]*mark{}
	}
}

func (t *Table) add(now time.Duration, e wire.Endpoint) {
	id := wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
	if e.State == wire.Leaving {
		t.Leave(now, id)
	}
	if m, ok := t.marks[id]; ok {
		m.seenAt, m.listed = now, e.State != wire.Leaving
	}
	known, ok := t.endpoints[e.Name]
	if !ok || known.Incarnation != e.Incarnation {
		known = &Endpoint{}
		t.endpoints[e.Name] = known
	}
	known.Endpoint, known.listed = e, true
	_, known.left = t.marks[id]
}

func (t *Table) forget(now time.Duration) {
	for name, e := range t.endpoints {
		if !e.listed && now-e.missing > missingFor {
			delete(t.endpoints, name)
		}
	}
	for id, m := range t.marks {
		if now-m.seenAt > markFor {
			delete(t.marks, id)
		}
	}
}

func (t *Table) index() {
	t.pools, t.zones, t.summaries = map[string][]*Endpoint{}, map[place][]*Endpoint{}, map[string]*summary{}
	for _, e := range t.endpoints {
		pool := ServicePool(e.Service)
		if e.Kind == wire.Engine {
			pool = EnginePool(e.Model)
		}
		t.pools[pool] = append(t.pools[pool], e)
	}
	for pool, p := range t.pools {
		slices.SortFunc(p, byName)
		for _, e := range p {
			at := place{pool: pool, zone: e.Zone}
			t.zones[at] = append(t.zones[at], e)
		}
	}
}

func byName(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) }

// Leave records a leave mark and reports whether it is new. Nothing takes it back.
func (t *Table) Leave(now time.Duration, id wire.LeaveMark) bool {
	t.prepare()
	if _, ok := t.marks[id]; ok {
		return false
	}
	t.marks[id] = &mark{madeAt: now, seenAt: now}
	if e, ok := t.endpoints[id.Endpoint]; ok && e.Incarnation == id.Incarnation {
		t.marks[id].listed = e.listed && e.State != wire.Leaving
		e.left = true
		clear(t.summaries)
	}
	return true
}

// Marks returns the leave marks to spread: the recent ones, and those that the list contradicts.
func (t *Table) Marks(now time.Duration) []wire.LeaveMark {
	var ids []wire.LeaveMark
	for id, m := range t.marks {
		if m.listed || now-m.madeAt < markNews {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b wire.LeaveMark) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return ids
}

// Report takes a load report. What it tells of the load or the version is dropped when newer is known of that.
func (t *Table) Report(now time.Duration, r wire.LoadReport) {
	e, ok := t.endpoints[r.Endpoint]
	at := now - time.Duration(r.AgeMS)*time.Millisecond
	if !ok || e.Incarnation != r.Incarnation {
		return
	}
	if at >= e.loadAt {
		e.load, e.loadAt = r.Tokens, at
	}
	if r.Version != 0 && at >= e.versionAt {
		e.Version, e.versionAt = r.Version, at
	}
}

// Start counts an attempt at an endpoint.
func (t *Table) Start(e *Endpoint, tokens int) { e.start(tokens) }

// End takes the end of an attempt; one at a former incarnation is ignored.
func (t *Table) End(now time.Duration, id wire.LeaveMark, tokens int, result Result) {
	e, ok := t.endpoints[id.Endpoint]
	if ok && e.Incarnation == id.Incarnation {
		e.end(now, tokens, result)
	}
}

// All returns the listed endpoints, sorted by name.
func (t *Table) All() []*Endpoint {
	all := make([]*Endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		if e.listed {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, byName)
	return all
}

// State returns the state of an endpoint under the leave marks.
func (t *Table) State(e *Endpoint) wire.EndpointState {
	if e.left {
		return wire.Leaving
	}
	return e.State
}
