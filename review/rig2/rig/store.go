package rig

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	objects  map[string]map[string]*object // by kind and name
	log      []change
	revision uint64
	changed  chan struct{}

	// Refuses reports whether the store answers a call with 503, in which case nothing is done; nil for never.
	Refuses func(r *http.Request) bool
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"create_revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind      string
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

const (
	pageObjects = 500
	pageBytes   = 1 << 20
	valueBytes  = 1 << 20
	maxWatch    = 30 * time.Second
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]map[string]*object{}, changed: make(chan struct{}), revision: 100}
}

// Put writes an object as the operator, a trainer or a server does.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a mistake in the rig
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(text) {
		return
	}
	s.write(kind, name, func(o *object) { o.Spec = text })
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *o
	gone.Metadata.Revision = s.revision
	s.record(change{kind: kind, Object: gone, Tombstone: true})
}

func (s *Store) write(kind, name string, set func(o *object)) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.revision++
	o := &object{Metadata: meta{Name: name, Created: s.revision, Finalizers: []string{}}}
	if old := s.objects[kind][name]; old != nil {
		*o = *old
	}
	set(o)
	o.Metadata.Revision = s.revision
	s.objects[kind][name] = o
	s.record(change{kind: kind, Object: *o})
	return o
}

func (s *Store) record(c change) {
	s.log = append(s.log, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Refuses != nil && s.Refuses(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	WriteJSON(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	page := struct {
		Items   []*object `json:"items"`
		HasMore bool      `json:"has_more"`
		AsOf    uint64    `json:"as_of"`
	}{Items: []*object{}, AsOf: s.revision}
	size := 0
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name <= after {
			continue
		}
		o := s.objects[kind][name]
		if size += len(o.Spec); len(page.Items) == pageObjects || size > pageBytes && len(page.Items) > 0 {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, o)
	}
	s.mu.Unlock()
	WriteJSON(w, http.StatusOK, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(min(time.Duration(ms)*time.Millisecond, maxWatch))
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.log {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "as_of": asOf}
		if len(events) > 0 {
			WriteJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-end:
			WriteJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, path string) {
	var in object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, part, _ := strings.Cut(path, "/")
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	if text := r.URL.Query().Get("revision"); text != "" {
		in.Metadata.Revision, _ = strconv.ParseUint(text, 10, 64)
	}
	if len(in.Spec) > valueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	status, answer := s.apply(r.Method, kind, name, part, in)
	s.mu.Unlock()
	WriteJSON(w, status, answer)
}

func (s *Store) apply(method, kind, name, part string, in object) (status int, answer any) {
	o := s.objects[kind][name]
	switch {
	case method == http.MethodPost && o != nil:
		return http.StatusConflict, o
	case method != http.MethodPost && o == nil:
		return http.StatusNotFound, nil
	case o != nil && in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		return http.StatusConflict, o
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, nil
	case o != nil && part == "" && string(o.Spec) == string(in.Spec):
		return http.StatusOK, o
	}
	return http.StatusOK, s.write(kind, name, func(o *object) {
		if part == "status" {
			o.Status = in.Status
			return
		}
		o.Spec = in.Spec
		if in.Metadata.Finalizers != nil {
			o.Metadata.Finalizers = in.Metadata.Finalizers
		}
	})
}

// WriteJSON writes an answer with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}
