package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectStore is a stand-in for the platform's store: objects by kind and name, conditional writes, lists and watches. It
// loses nothing that it has acknowledged and answers linearizably.
type objectStore struct {
	mu       sync.Mutex
	objects  map[string]map[string]*storedObject
	changes  []storedChange
	revision uint64
	changed  chan struct{}
	busy     bool // every call is answered with 503, which says that nothing was done
	reports  []usageReport
}

type storedObject struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"create_revision"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storedChange struct {
	kind    string
	object  storedObject
	deleted bool
}

type usageReport struct {
	Window uint64         `json:"window"`
	Counts map[string]int `json:"counts"`
}

func newStore() *objectStore {
	return &objectStore{objects: map[string]map[string]*storedObject{}, changed: make(chan struct{})}
}

func (s *objectStore) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	s.wake()
}

func (s *objectStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator or a server does.
func (s *objectStore) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, func(o *storedObject) { o.Spec = data })
}

func (s *objectStore) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sorted(kind)
}

func (s *objectStore) sorted(kind string) []string {
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *objectStore) write(kind, name string, change func(o *storedObject)) *storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*storedObject{}
	}
	s.revision++
	o := &storedObject{}
	if old := s.objects[kind][name]; old != nil {
		*o = *old
	} else {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	change(o)
	s.objects[kind][name] = o
	s.changes = append(s.changes, storedChange{kind: kind, object: *o})
	s.wake()
	return o
}

func (s *objectStore) remove(kind, name string) {
	o := *s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.changes = append(s.changes, storedChange{kind: kind, object: o, deleted: true})
	s.wake()
}

// ServeHTTP answers a call to the store or a usage report.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/usage" {
		s.serveUsage(w, r)
		return
	}
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	parts := strings.SplitN(rest, "/", 3)
	for i := range parts {
		parts[i], _ = url.PathUnescape(parts[i])
	}
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.serveList(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.serveGet(w, parts[0], parts[1])
	default:
		s.serveWrite(w, r, parts)
	}
}

func (s *objectStore) serveUsage(w http.ResponseWriter, r *http.Request) {
	var report usageReport
	if json.NewDecoder(r.Body).Decode(&report) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, report)
}

func (s *objectStore) serveGet(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *objectStore) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	const pageSize = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items   []*storedObject `json:"items"`
		HasMore bool            `json:"has_more"`
		AsOf    uint64          `json:"as_of"`
	}{Items: []*storedObject{}, AsOf: s.revision}
	for _, name := range s.sorted(kind) {
		if name <= r.URL.Query().Get("after") {
			continue
		}
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.objects[kind][name])
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *objectStore) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	type event struct {
		Object    storedObject `json:"object"`
		Tombstone bool         `json:"tombstone"`
	}
	for over := false; ; {
		events := []event{}
		s.mu.Lock()
		for _, c := range s.changes {
			if c.kind == kind && c.object.Metadata.Revision > after {
				events = append(events, event{c.object, c.deleted})
			}
		}
		asOf, changed, busy := s.revision, s.changed, s.busy
		s.mu.Unlock()
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *objectStore) serveWrite(w http.ResponseWriter, r *http.Request, parts []string) {
	var in storedObject
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil || len(parts) < 2 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if revision := r.URL.Query().Get("revision"); revision != "" {
		in.Metadata.Revision, _ = strconv.ParseUint(revision, 10, 64)
	}
	kind, name := parts[0], parts[1]
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && o != nil,
		o != nil && in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		writeJSON(w, http.StatusConflict, o)
	case r.Method != http.MethodPost && o == nil:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, name, func(o *storedObject) {
			if len(parts) == 3 && parts[2] == "status" {
				o.Status = in.Status
				return
			}
			o.Spec, o.Metadata.Finalizers = in.Spec, in.Metadata.Finalizers
		}))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}
