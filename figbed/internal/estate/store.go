// Package estate stands in for the users' platform: its object API, its interface for usage and orders, and its servers.
// It speaks what they speak, on loopback, with the faults that the tests cause.
package estate

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's object API. Its zero value is empty; it may be used concurrently.
type Store struct {
	mu       sync.Mutex
	objects  map[string]map[string]*entry // by kind and name
	changes  []change
	revision uint64
	changed  chan struct{}
	floor    uint64 // changes up to here are forgotten
	refuse   bool   // every call is answered 503
	silent   bool   // no call is answered
	lose     int    // next writes whose answer is lost after their effect
	late     int    // next writes that take effect late, without an answer
	lateness time.Duration
	delay    time.Duration // of each call
	calls    int
}

type entry struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"create_revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind   string
	object entry
	gone   bool
}

func (s *Store) prepare() {
	if s.objects == nil {
		s.objects = map[string]map[string]*entry{}
		s.changed = make(chan struct{})
	}
}

// Put writes an object as the operator or a server would; a nil spec removes it.
func (s *Store) Put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	if spec == nil {
		s.remove(kind, name)
		return
	}
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test's own value
	}
	s.write(kind, name, func(e *entry) { e.Spec = text })
}

// Get returns an object's spec and status, nil when there is none.
func (s *Store) Get(kind, name string) (spec, status json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.objects[kind][name]; e != nil {
		return e.Spec, e.Status
	}
	return nil, nil
}

// Refuse sets whether every call is answered 503.
func (s *Store) Refuse(on bool) { s.set(func() { s.refuse = on }) }

// Silence sets whether calls get no answer. Watches that wait stay silent too.
func (s *Store) Silence(on bool) { s.set(func() { s.silent = on }) }

// Lose makes the next writes take effect without an answer.
func (s *Store) Lose(writes int) { s.set(func() { s.lose = writes }) }

// Late makes the next writes take effect after a time, without an answer.
func (s *Store) Late(writes int, after time.Duration) {
	s.set(func() { s.late, s.lateness = writes, after })
}

// Slow sets the time that each call waits.
func (s *Store) Slow(delay time.Duration) { s.set(func() { s.delay = delay }) }

// Compact forgets the history of changes.
func (s *Store) Compact() { s.set(func() { s.floor, s.changes = s.revision, nil }) }

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	f()
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(kind, name string, f func(e *entry)) *entry {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*entry{}
	}
	e := s.objects[kind][name]
	if e == nil {
		e = &entry{Metadata: meta{Name: name, Created: s.revision + 1}}
		s.objects[kind][name] = e
	}
	s.revision++
	f(e)
	e.Metadata.Revision = s.revision
	s.changes = append(s.changes, change{kind: kind, object: *e})
	s.wake()
	return e
}

func (s *Store) remove(kind, name string) {
	e := s.objects[kind][name]
	if e == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *e
	gone.Metadata.Revision = s.revision
	s.changes = append(s.changes, change{kind: kind, object: gone, gone: true})
	s.wake()
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	if s.hold(w, r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

// hold applies the faults and reports whether the call has ended.
func (s *Store) hold(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.prepare()
	s.calls++
	refuse, silent, delay := s.refuse, s.silent, s.delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return true
		}
	}
	switch {
	case silent:
		<-r.Context().Done()
		return true
	case refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.objects[kind][name]
	if e == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, e)
}

// pageItems is the number of objects on a page of a list; small, so that lists of several pages come up.
const pageItems = 8

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := struct {
		Items   []*entry `json:"items"`
		HasMore bool     `json:"has_more"`
		AsOf    uint64   `json:"as_of"`
	}{Items: []*entry{}, AsOf: s.revision}
	for _, name := range sorted(s.objects[kind]) {
		if name <= after {
			continue
		}
		if len(all.Items) == pageItems {
			all.HasMore = true
			break
		}
		all.Items = append(all.Items, s.objects[kind][name])
	}
	answer(w, http.StatusOK, all)
}

func sorted(m map[string]*entry) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

type told struct {
	Object    entry `json:"object"`
	Tombstone bool  `json:"tombstone"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		events, status, asOf, changed := s.since(kind, after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": []told{}, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(kind string, after uint64) (events []told, status int, asOf uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.silent:
		return nil, http.StatusOK, after, s.changed
	case s.refuse:
		return nil, http.StatusServiceUnavailable, 0, nil
	case after < s.floor:
		return nil, http.StatusGone, 0, nil
	}
	for _, c := range s.changes {
		if c.kind == kind && c.object.Metadata.Revision > after {
			events = append(events, told{Object: c.object, Tombstone: c.gone})
		}
	}
	return events, http.StatusOK, s.revision, s.changed
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, path string) {
	var in entry
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, sub, _ := strings.Cut(path, "/")
	if revision := r.URL.Query().Get("revision"); revision != "" {
		in.Metadata.Revision, _ = strconv.ParseUint(revision, 10, 64)
	}
	if s.isLate() {
		time.AfterFunc(s.lateness, func() { s.apply(r.Method, kind, name, sub, in) })
		panic(http.ErrAbortHandler)
	}
	status, out, lost := s.apply(r.Method, kind, name, sub, in)
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, out)
}

func (s *Store) apply(method, kind, name, sub string, in entry) (status int, out *entry, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.objects[kind][name]
	switch {
	case method == http.MethodPost && e != nil:
		return http.StatusConflict, e, false
	case method != http.MethodPost && e == nil:
		return http.StatusNotFound, nil, false
	case e != nil && in.Metadata.Revision != 0 && in.Metadata.Revision != e.Metadata.Revision:
		return http.StatusConflict, e, false
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, nil, s.loses()
	}
	e = s.write(kind, name, func(e *entry) {
		if sub == "status" {
			e.Status = in.Status
			return
		}
		e.Spec, e.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
	})
	return http.StatusOK, e, s.loses()
}

func (s *Store) isLate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late == 0 {
		return false
	}
	s.late--
	return true
}

func (s *Store) loses() bool {
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have gone
}
