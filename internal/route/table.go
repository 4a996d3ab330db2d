package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	unlistedRetention = time.Minute      // time for which an endpoint that is no longer listed is kept
	markRetention     = time.Hour        // time for which a leave mark is kept after the incarnation was last listed
	markSpreadTime    = 30 * time.Second // time for which a new leave mark is sent in heartbeats
)

// Table holds the endpoints and the leave marks. Its zero value is empty. It must not be used concurrently.
type Table struct {
	endpoints map[string]*Endpoint
	pools     map[string][]*Endpoint   // by pool, sorted by name
	zones     map[poolZone][]*Endpoint // by pool and availability zone, sorted by name
	summaries map[string]*summary      // by pool
	marks     map[wire.LeaveMark]*mark
}

type mark struct {
	createdAt    time.Duration
	lastListedAt time.Duration // last time at which the platform's list held the incarnation, or the creation of the mark
	listed       bool          // the latest list has the incarnation as live or starting
}

// Update applies a newer list of the platform. A new incarnation of an endpoint starts without load or failures.
func (t *Table) Update(now time.Duration, list []wire.Endpoint) {
	t.lazyInit()
	for _, e := range t.endpoints {
		if e.listed {
			e.listed, e.unlistedSince = false, now
		}
	}
	for _, m := range t.marks {
		m.listed = false
	}
	for _, e := range list {
		t.addListed(now, e)
	}
	t.expire(now)
	t.rebuildIndex()
}

func (t *Table) lazyInit() {
	if t.endpoints == nil {
		t.endpoints = map[string]*Endpoint{}
		t.marks = map[wire.LeaveMark]*mark{}
	}
}

func (t *Table) addListed(now time.Duration, e wire.Endpoint) {
	markID := wire.LeaveMark{Endpoint: e.Name, Incarnation: e.Incarnation}
	if e.State == wire.Leaving {
		t.MarkLeaving(now, markID)
	}
	if m, ok := t.marks[markID]; ok {
		m.lastListedAt, m.listed = now, e.State != wire.Leaving
	}
	known, ok := t.endpoints[e.Name]
	if !ok || known.Incarnation != e.Incarnation {
		known = &Endpoint{}
		t.endpoints[e.Name] = known
	}
	known.Endpoint, known.listed = e, true
	_, known.hasLeaveMark = t.marks[markID]
}

func (t *Table) expire(now time.Duration) {
	for name, e := range t.endpoints {
		if !e.listed && now-e.unlistedSince > unlistedRetention {
			delete(t.endpoints, name)
		}
	}
	for id, m := range t.marks {
		if now-m.lastListedAt > markRetention {
			delete(t.marks, id)
		}
	}
}

func (t *Table) rebuildIndex() {
	t.pools, t.zones, t.summaries = map[string][]*Endpoint{}, map[poolZone][]*Endpoint{}, map[string]*summary{}
	for _, e := range t.endpoints {
		pool := PoolOfEndpoint(&e.Endpoint)
		t.pools[pool] = append(t.pools[pool], e)
	}
	for pool, p := range t.pools {
		slices.SortFunc(p, byName)
		for _, e := range p {
			at := poolZone{pool: pool, zone: e.Zone}
			t.zones[at] = append(t.zones[at], e)
		}
	}
}

func byName(a, b *Endpoint) int { return cmp.Compare(a.Name, b.Name) }

// MarkLeaving records a leave mark and reports whether it is new. A leave mark can't be withdrawn.
func (t *Table) MarkLeaving(now time.Duration, id wire.LeaveMark) bool {
	t.lazyInit()
	if _, ok := t.marks[id]; ok {
		return false
	}
	t.marks[id] = &mark{createdAt: now, lastListedAt: now}
	if e, ok := t.endpoints[id.Endpoint]; ok && e.Incarnation == id.Incarnation {
		t.marks[id].listed = e.listed && e.State != wire.Leaving
		e.hasLeaveMark = true
		clear(t.summaries)
	}
	return true
}

// IsMarked reports whether an incarnation of an endpoint has a leave mark.
func (t *Table) IsMarked(id wire.LeaveMark) bool { return t.marks[id] != nil }

// Marks returns the leave marks to send in heartbeats, sorted: the recent ones, and those that the list contradicts.
func (t *Table) Marks(now time.Duration) []wire.LeaveMark {
	var ids []wire.LeaveMark
	for id, m := range t.marks {
		if m.listed || now-m.createdAt < markSpreadTime {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b wire.LeaveMark) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return ids
}

// ApplyLoad applies a load report. Its load and its version are each ignored when a newer one is known.
func (t *Table) ApplyLoad(now time.Duration, r wire.LoadReport) {
	e, ok := t.endpoints[r.Endpoint]
	at := now - time.Duration(r.AgeMS)*time.Millisecond
	if !ok || e.Incarnation != r.Incarnation {
		return
	}
	if at >= e.reportedAt {
		e.reportedTokens, e.reportedAt = r.Tokens, at
	}
	if r.Version != 0 && at >= e.versionAt {
		e.Version, e.versionAt = r.Version, at
	}
}

// Running returns the number of active attempts of this daemon at an incarnation of an endpoint, 0 when it is not known.
func (t *Table) Running(id wire.LeaveMark) int {
	e, ok := t.endpoints[id.Endpoint]
	if !ok || e.Incarnation != id.Incarnation {
		return 0
	}
	return e.Running
}

// Stays reports whether an incarnation of an endpoint is known and is not about to leave.
func (t *Table) Stays(id wire.LeaveMark) bool {
	e, ok := t.endpoints[id.Endpoint]
	return ok && e.Incarnation == id.Incarnation && !e.hasLeaveMark && e.State != wire.Leaving
}

// AttemptStarted counts the start of an attempt with the given estimated tokens at an endpoint.
func (t *Table) AttemptStarted(e *Endpoint, tokens int) { e.start(tokens) }

// AttemptEnded counts the end of an attempt that AttemptStarted counted. An attempt at an earlier incarnation is ignored.
func (t *Table) AttemptEnded(now time.Duration, id wire.LeaveMark, tokens int, result Result) {
	e, ok := t.endpoints[id.Endpoint]
	if ok && e.Incarnation == id.Incarnation {
		e.end(now, tokens, result)
	}
}

// ForgetFailures drops the failures of all endpoints, which were those of this host's links.
func (t *Table) ForgetFailures() {
	for _, e := range t.endpoints {
		e.failures = 0
	}
	clear(t.summaries)
}

// PoolOf returns the pool of an incarnation of an endpoint, and false when it is not known.
func (t *Table) PoolOf(id wire.LeaveMark) (string, bool) {
	e, ok := t.endpoints[id.Endpoint]
	if !ok || e.Incarnation != id.Incarnation {
		return "", false
	}
	return PoolOfEndpoint(&e.Endpoint), true
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

// State returns the listed state of an endpoint, or Leaving when it has a leave mark.
func (t *Table) State(e *Endpoint) wire.EndpointState {
	if e.hasLeaveMark {
		return wire.Leaving
	}
	return e.State
}
