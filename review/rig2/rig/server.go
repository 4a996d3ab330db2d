package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	queueLength = 24
	loadTime    = 900 * time.Millisecond
)

// Run is the work of a server on one request, from its start to its end.
type Run struct {
	ID, Server string
	From       int    // the last event that the caller had
	Number     uint64 // of all runs
	Start, End time.Time
	Finished   bool // the whole answer was sent
}

// Server is a model server, if it has a model, or a server of a plain service.
type Server struct {
	Name, Service, Zone, Model string
	Slots                      int
	Work                       time.Duration        // of a plain request
	Gap                        time.Duration        // between two events
	EventsOf                   func(id string) int  // length of a stream
	LosesAnswer                func(id string) bool // the request is run and never answered; nil for none
	Began                      func(r *Run)
	Ended                      func(r *Run, finished bool)

	store   *Store
	address string
	born    int64
	slots   chan struct{}

	mu      sync.Mutex
	leaving bool
	waiting int
	running int
	version uint64
	busy    bool
	accepts uint64 // orders accepted
	fence   uint64
}

// Start listens at an address of the loopback network and registers the server.
func (s *Server) Start(ip string, store *Store) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.store, s.address, s.born, s.version = store, listener.Addr().String(), time.Now().UnixMilli(), 1
	s.slots = make(chan struct{}, s.Slots)
	s.register()
	go func() { _ = (&http.Server{Handler: s, IdleTimeout: 30 * time.Second}).Serve(listener) }()
	return nil
}

func (s *Server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots, "state": state, "cold_left_ms": 0,
		"stage": "hybrid", "models": s.models(), "sequence": 4, "born": s.born,
	}
	s.store.Put("servers", s.Name, entry)
}

// Drain has the server report that it is draining, and returns once the store has accepted that. It goes on serving.
func (s *Server) Drain() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.register()
}

func (s *Server) models() []map[string]any {
	if s.Model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": s.Model, "version": s.version, "adapters": []string{}}}
}

// ServeHTTP answers a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Figshift-Attempt-Id")
	if id != "" {
		w.Header().Set("Figshift-Attempt-Id", id)
	}
	w.Header().Set("Figshift-Instance-Id", s.Name)
	s.mu.Lock()
	if s.leaving {
		w.Header().Set("Connection", "close")
	}
	s.mu.Unlock()
	if expected := r.Header.Get("Figshift-Expect-Instance"); expected != "" && expected != s.Name {
		s.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.URL.Path == "/healthz":
		w.WriteHeader(http.StatusOK)
	case r.URL.Path == "/api/report":
		s.report(w)
	case r.URL.Path == "/api/order":
		s.order(w, body)
	case id == "":
		s.refuse(w, http.StatusBadRequest)
	default:
		s.serve(w, r, id)
	}
}

func (s *Server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Figshift-Not-Run", "1")
	w.WriteHeader(status)
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	WriteJSON(w, http.StatusOK, map[string]any{
		"stage": "hybrid", "models": s.models(), "busy": s.busy, "sequence": s.accepts, "waiting": s.waiting, "running": s.running,
		"kv_used": 0, "kv_total": 120808, "handles": 0, "born": s.born,
	})
}

func (s *Server) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation, Model, Mode, Holder string
		Version                        uint64
		Fence                          uint64  `json:"fence_token"`
		Expected                       *uint64 `json:"expected"`
	}
	if json.Unmarshal(body, &o) != nil || o.Operation != "version" || o.Holder == "" || o.Fence == 0 || o.Model != s.Model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case s.busy || o.Expected != nil && *o.Expected != s.accepts:
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fence = o.Fence
	if o.Version == s.version {
		w.WriteHeader(http.StatusOK)
		return
	}
	s.accepts++
	s.busy = true
	time.AfterFunc(loadTime, func() {
		s.mu.Lock()
		s.busy, s.version = false, o.Version
		s.mu.Unlock()
		s.register()
	})
	w.WriteHeader(http.StatusAccepted)
}

// serve waits for a slot and runs a request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, id string) {
	s.mu.Lock()
	if s.busy || s.waiting >= queueLength {
		s.mu.Unlock()
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	s.waiting++
	s.mu.Unlock()
	left := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Figshift-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	got := false
	select {
	case s.slots <- struct{}{}:
		got = true
	case <-time.After(left):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.waiting--
	if got {
		s.running++
	}
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.Slots)
	s.mu.Unlock()
	if !got {
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	run := &Run{ID: id, Server: s.Name, Start: time.Now()}
	run.From, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.Began(run)
	finished := false
	defer func() {
		<-s.slots
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		s.Ended(run, finished)
	}()
	w.Header().Set("Figshift-Response-Stamp", Stamp(id, s.Name))
	w.Header().Set("Figshift-Server-Load", load)
	if s.Model != "" {
		finished = s.stream(w, r, id, run.From, run.Number)
		return
	}
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		return
	}
	if s.LosesAnswer != nil && s.LosesAnswer(id) {
		<-r.Context().Done() // until the caller gives the connection up
		return
	}
	_, err := fmt.Fprintf(w, "answer to %s", id)
	finished = err == nil
}

// Stamp is a server's signature of its answer to a request.
func Stamp(id, server string) string { return "stamp." + id + "." + server }

// EventData is the data of event n of a stream, as a run made it under a version of the weights.
func EventData(id string, n int, run, version uint64) string {
	return fmt.Sprintf("%s:%d:%d:%d:%s", id, n, run, version, strings.Repeat("x", 300))
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, from int, run uint64) bool {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Figshift-Weight-Versions", strconv.FormatUint(version, 10))
	flush := http.NewResponseController(w)
	for n := from + 1; n <= s.EventsOf(id); n++ {
		select {
		case <-time.After(s.Gap):
		case <-r.Context().Done():
			return false
		}
		s.mu.Lock()
		now := s.version
		s.mu.Unlock()
		if now != version {
			version = now
			_, _ = fmt.Fprintf(w, "figshift-weight-versions: %d\n", version)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(id, n, run, version)); err != nil || flush.Flush() != nil {
			return false
		}
	}
	return true
}
