// Package estate simulates the users' platform for tests: its object API, its API for usage reports and engine orders, and
// its servers. All listen on loopback, implement the platform's protocols and inject the faults that tests ask for.
package estate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store implements the platform's object API. The zero value is an empty store. It may be used concurrently.
type Store struct {
	mu                sync.Mutex
	objects           map[string]map[string]*entry // by kind, then by name
	changes           []changeRecord
	revision          uint64
	changed           chan struct{} // closed and replaced on every change of the objects or faults
	compactedRevision uint64        // changes up to this revision are no longer available to watches
	unavailable       bool          // every call is answered with status 503
	unresponsive      bool          // no call gets a response
	lostResponses     int           // number of upcoming writes that take effect but get no response
	delayedWrites     int           // number of upcoming writes that take effect after writeDelay and get no response
	writeDelay        time.Duration
	callDelay         time.Duration // before each call is handled
	callCount         int
	rawMu             sync.Mutex
	rawSpecs          []string // texts of PutRaw; a spec "raw spec N" stands for number N
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

type changeRecord struct {
	kind    string
	object  entry
	deleted bool
}

func (s *Store) init() {
	if s.objects == nil {
		s.objects = map[string]map[string]*entry{}
		s.changed = make(chan struct{})
	}
}

// Put creates or replaces an object's spec without a revision check, as the operator or a server would. A nil spec
// removes the object.
func (s *Store) Put(kind, name string, spec any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	if spec == nil {
		s.removeObject(kind, name)
		return
	}
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the caller passed a spec that can't be encoded
	}
	s.putObject(kind, name, func(e *entry) { e.Spec = data })
}

// PutRaw creates or replaces an object whose spec is answered as the given text, which encoding/json may refuse.
func (s *Store) PutRaw(kind, name, spec string) {
	s.rawMu.Lock()
	s.rawSpecs = append(s.rawSpecs, spec)
	placeholder := fmt.Sprintf("raw spec %d", len(s.rawSpecs)-1)
	s.rawMu.Unlock()
	s.Put(kind, name, placeholder)
}

// Get returns an object's spec and status, or nil for both if the object does not exist.
func (s *Store) Get(kind, name string) (spec, status json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.objects[kind][name]; e != nil {
		return e.Spec, e.Status
	}
	return nil, nil
}

// SetUnavailable sets whether every call is answered with status 503.
func (s *Store) SetUnavailable(on bool) { s.update(func() { s.unavailable = on }) }

// SetUnresponsive sets whether calls get no response. Pending watches end with an empty response at their timeout.
func (s *Store) SetUnresponsive(on bool) { s.update(func() { s.unresponsive = on }) }

// DropResponses makes the given number of upcoming writes take effect but get no response.
func (s *Store) DropResponses(writes int) { s.update(func() { s.lostResponses = writes }) }

// DelayWrites makes the given number of upcoming writes take effect after a delay and get no response.
func (s *Store) DelayWrites(writes int, after time.Duration) {
	s.update(func() { s.delayedWrites, s.writeDelay = writes, after })
}

// SetDelay sets the delay before each call is handled.
func (s *Store) SetDelay(delay time.Duration) { s.update(func() { s.callDelay = delay }) }

// Compact discards the history of changes, so that watches from an older revision get status 410.
func (s *Store) Compact() { s.update(func() { s.compactedRevision, s.changes = s.revision, nil }) }

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCount
}

func (s *Store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	f()
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) putObject(kind, name string, mutate func(e *entry)) *entry {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*entry{}
	}
	e := s.objects[kind][name]
	if e == nil {
		e = &entry{Metadata: meta{Name: name, Created: s.revision + 1}}
		s.objects[kind][name] = e
	}
	s.revision++
	mutate(e)
	e.Metadata.Revision = s.revision
	s.changes = append(s.changes, changeRecord{kind: kind, object: *e})
	s.notifyWatchers()
	return e
}

func (s *Store) removeObject(kind, name string) {
	e := s.objects[kind][name]
	if e == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	tombstone := *e
	tombstone.Metadata.Revision = s.revision
	s.changes = append(s.changes, changeRecord{kind: kind, object: tombstone, deleted: true})
	s.notifyWatchers()
}

// objectsPath is the path of the object API, which a kind follows.
const objectsPath = "/api/objects/"

// ServeHTTP handles one call of the object API.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	if s.injectFault(w, r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.handleWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.handleList(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.handleGet(w, kind, name)
	default:
		s.handleWrite(w, r, kind, name)
	}
}

// injectFault counts the call, applies the active faults and reports whether they have ended the call.
func (s *Store) injectFault(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.init()
	s.callCount++
	unavailable, unresponsive, delay := s.unavailable, s.unresponsive, s.callDelay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return true
		}
	}
	switch {
	case unresponsive:
		<-r.Context().Done()
		return true
	case unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (s *Store) handleGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.objects[kind][name]
	if e == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.writeJSON(w, http.StatusOK, e)
}

// pageSize is the number of objects on a page of a list. It is small so that tests get lists of several pages.
const pageSize = 8

func (s *Store) handleList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items   []*entry `json:"items"`
		HasMore bool     `json:"has_more"`
		AsOf    uint64   `json:"as_of"`
	}{Items: []*entry{}, AsOf: s.revision}
	for _, name := range sortedNames(s.objects[kind]) {
		if name <= after {
			continue
		}
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.objects[kind][name])
	}
	s.writeJSON(w, http.StatusOK, page)
}

func sortedNames(m map[string]*entry) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

type watchEvent struct {
	Object    entry `json:"object"`
	Tombstone bool  `json:"tombstone"`
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for {
		events, status, asOf, changed := s.eventsSince(kind, after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if len(events) > 0 {
			s.writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.writeJSON(w, http.StatusOK, map[string]any{"events": []watchEvent{}, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(kind string, after uint64) (events []watchEvent, status int, asOf uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unresponsive:
		return nil, http.StatusOK, after, s.changed
	case s.unavailable:
		return nil, http.StatusServiceUnavailable, 0, nil
	case after < s.compactedRevision:
		return nil, http.StatusGone, 0, nil
	}
	for _, c := range s.changes {
		if c.kind == kind && c.object.Metadata.Revision > after {
			events = append(events, watchEvent{Object: c.object, Tombstone: c.deleted})
		}
	}
	return events, http.StatusOK, s.revision, s.changed
}

func (s *Store) handleWrite(w http.ResponseWriter, r *http.Request, kind, path string) {
	var input entry
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&input) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, subresource, _ := strings.Cut(path, "/")
	if revision := r.URL.Query().Get("revision"); revision != "" {
		input.Metadata.Revision, _ = strconv.ParseUint(revision, 10, 64)
	}
	if s.consumeDelayedWrite() {
		time.AfterFunc(s.writeDelay, func() { s.applyWrite(r.Method, kind, name, subresource, input) })
		panic(http.ErrAbortHandler)
	}
	status, stored, lost := s.applyWrite(r.Method, kind, name, subresource, input)
	if lost {
		panic(http.ErrAbortHandler)
	}
	s.writeJSON(w, status, stored)
}

func (s *Store) applyWrite(method, kind, name, subresource string, input entry) (status int, stored *entry, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.objects[kind][name]
	switch {
	case method == http.MethodPost && e != nil:
		return http.StatusConflict, e, false
	case method != http.MethodPost && e == nil:
		return http.StatusNotFound, nil, false
	case e != nil && input.Metadata.Revision != 0 && input.Metadata.Revision != e.Metadata.Revision:
		return http.StatusConflict, e, false
	case method == http.MethodDelete:
		s.removeObject(kind, name)
		return http.StatusOK, nil, s.consumeLostResponse()
	}
	e = s.putObject(kind, name, func(e *entry) {
		if subresource == "status" {
			e.Status = input.Status
			return
		}
		e.Spec, e.Metadata.Finalizers = input.Spec, input.Metadata.Finalizers
	})
	return http.StatusOK, e, s.consumeLostResponse()
}

func (s *Store) consumeDelayedWrite() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.delayedWrites == 0 {
		return false
	}
	s.delayedWrites--
	return true
}

func (s *Store) consumeLostResponse() bool {
	if s.lostResponses == 0 {
		return false
	}
	s.lostResponses--
	return true
}

// writeJSON writes an answer with the texts of PutRaw.
func (s *Store) writeJSON(w http.ResponseWriter, status int, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err) // unreachable: all parts were encoded before
	}
	s.rawMu.Lock()
	for i, raw := range s.rawSpecs {
		text = bytes.ReplaceAll(text, fmt.Appendf(nil, `"raw spec %d"`, i), []byte(raw))
	}
	s.rawMu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the caller may have disconnected
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have disconnected
}
