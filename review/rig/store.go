package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond
	pageObjects  = 500
)

// store is the platform's object store and its interface for usage reports and server orders.
type store struct {
	r       *rig
	address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []change
	changed  chan struct{}
	busy     bool // every call is answered with 503
	latency  time.Duration
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"create_revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind      string
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

func (r *rig) startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{r: r, address: listener.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), latency: storeLatency}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/objects/", s.serveObjects)
	mux.HandleFunc("/usage", s.serveCloud)
	mux.HandleFunc("/scale", s.serveCloud)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) serveCloud(_ http.ResponseWriter, req *http.Request) {
	var body json.RawMessage
	_ = json.NewDecoder(req.Body).Decode(&body)
	s.r.record("platform gets %s from %s with fence %s: %s", req.URL.Path, req.Header.Get("Figshift-Duty-Holder"), req.Header.Get("Figshift-Fence-Token"), body)
}

// put writes an object as the operator, a trainer or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.set(kind, o)
}

// setBusy has every call answered with 503, also those that wait for changes, or no more.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	close(s.changed)
	s.changed = make(chan struct{})
	s.r.record("the store is busy: %v", busy)
}

// slow makes answers take some times as long, for a while.
func (s *store) slow(factor int, lasting time.Duration) {
	s.r.record("the store's answers take %d times as long for %v", factor, lasting)
	s.setLatency(time.Duration(factor) * storeLatency)
	time.AfterFunc(lasting, func() { s.setLatency(storeLatency) })
}

func (s *store) setLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

func (s *store) set(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.publish(change{kind: kind, Object: o})
	return o
}

func (s *store) publish(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveObjects(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	s.mu.Lock()
	busy := s.busy
	s.mu.Unlock()
	if busy {
		answer(w, http.StatusServiceUnavailable, nil)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/api/objects/"), "/")
	query := req.URL.Query()
	switch {
	case req.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, req, kind)
	case req.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("after"))
	case req.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, nil)
			return
		}
		answer(w, http.StatusOK, o)
	default:
		s.write(w, req, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := struct {
		Items   []object `json:"items"`
		HasMore bool     `json:"has_more"`
		AsOf    uint64   `json:"as_of"`
	}{Items: []object{}, HasMore: len(names) > pageObjects, AsOf: s.revision}
	for _, name := range names[:min(len(names), pageObjects)] {
		page.Items = append(page.Items, s.objects[kind][name])
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, page)
}

func (s *store) watch(w http.ResponseWriter, req *http.Request, kind string) {
	after, _ := strconv.ParseUint(req.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(req.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events, asOf, changed, busy := []change{}, s.revision, s.changed, s.busy
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > after {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		if busy {
			answer(w, http.StatusServiceUnavailable, nil)
			return
		}
		if len(events) > 0 || !waiting {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, req *http.Request, kind, path string) {
	var in object
	if req.Method != http.MethodDelete && json.NewDecoder(req.Body).Decode(&in) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	name, part, _ := strings.Cut(path, "/")
	if revision := req.URL.Query().Get("revision"); revision != "" {
		in.Metadata.Revision, _ = strconv.ParseUint(revision, 10, 64)
	}
	if req.Method == http.MethodPost && name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if kind == "Owners" {
		s.r.record("the store gets %s %s/%s: %s", req.Method, kind, name, in.Spec)
	}
	switch {
	case req.Method == http.MethodPost && exists, exists && in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		answer(w, http.StatusConflict, o)
		return
	case req.Method != http.MethodPost && !exists:
		answer(w, http.StatusNotFound, nil)
		return
	case req.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		o.Metadata.Revision = s.revision
		s.publish(change{kind: kind, Object: o, Tombstone: true})
		answer(w, http.StatusOK, o)
		return
	case part == "status":
		o.Status = in.Status
	default:
		o.Metadata.Name, o.Spec, o.Metadata.Finalizers = name, in.Spec, in.Metadata.Finalizers
	}
	answer(w, http.StatusOK, s.set(kind, o))
}
