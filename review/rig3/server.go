package main

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

// server is a stand-in for a server of the platform, a model server if it has a model. It runs what it is sent and says what the
// pages tell it to say.
type server struct {
	bed     *bed
	id      string
	service string
	zone    string
	model   string
	slots   int
	address string
	born    int64
	// events returns the number of events of an item's stream, and gap the time before each.
	events func(id string) int
	gap    time.Duration
	// dataOf returns the data of an event, nil for eventData.
	dataOf func(id string, n int) string

	mu       sync.Mutex
	back     chan struct{} // closed when the server, which is silent, is back; nil while it isn't silent
	version  uint64
	sequence uint64
	fence    uint64
	running  int
	finished map[string]bool // ids that ended as a whole here
	runs     map[string]int  // runs by id
	// lastLong is until when, by id, a run was here that wasn't ended by its sender, or by its time, within a second.
	lastLong map[string]time.Time
}

// start listens and registers the server in the store.
func (s *server) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.bed.giveUp("listening: %v", err)
	}
	s.address, s.born, s.version, s.finished = listener.Addr().String(), time.Now().UnixMilli(), 1, map[string]bool{}
	s.runs, s.lastLong = map[string]int{}, map[string]time.Time{}
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	s.register()
}

func (s *server) register() {
	s.mu.Lock()
	models := []map[string]any{}
	if s.model != "" {
		models = append(models, map[string]any{"name": s.model, "version": s.version, "adapters": []string{}})
	}
	s.mu.Unlock()
	s.bed.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "r1", "slots": s.slots, "state": "ready", "stage": "hybrid",
		"models": models, "cold_left_ms": 0, "sequence": 1, "born": s.born,
	})
}

// ServeHTTP answers a request, a report or an order.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if back := s.silent(); back != nil {
		<-back
		panic(http.ErrAbortHandler) // it has started again, and knows nothing of the connection
	}
	id := r.Header.Get("Figshift-Attempt-Id")
	if id != "" {
		w.Header().Set("Figshift-Attempt-Id", id)
	}
	if expected := r.Header.Get("Figshift-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Figshift-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.serveReport(w)
		return
	case "/api/order":
		s.serveOrder(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		w.Header().Set("Figshift-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.runs[id]++
	n, began := s.runs[id], time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
		if time.Since(began) >= time.Second {
			s.lastLong[id] = time.Now()
		}
	}()
	if n <= 10 || n%1000 == 0 {
		s.bed.record("run      %s begins at %s (%s, %d bytes, last event %q, deadline %s ms), run %d", id, s.id, r.URL.Path, len(body), r.Header.Get("Last-Event-Id"), r.Header.Get("Figshift-Deadline-Ms"), n)
	}
	w.Header().Set("Figshift-Response-Stamp", "stamp."+s.id+"."+id)
	w.Header().Set("Figshift-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	if s.model != "" {
		s.serveStream(w, r, id)
		return
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, "answer to "+id)
}

func (s *server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "hybrid", "models": []map[string]any{{"name": s.model, "version": s.version, "adapters": []string{}}}, "busy": false, "sequence": s.sequence,
		"waiting": 0, "running": s.running, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": s.born,
	})
}

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Model    string  `json:"model"`
		Version  uint64  `json:"version"`
		Mode     string  `json:"mode"`
		Holder   string  `json:"holder"`
		Fence    uint64  `json:"fence_token"`
		Expected *uint64 `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Fence < s.fence:
		status = http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != s.sequence:
		status = http.StatusConflict
	default:
		s.fence, s.version = o.Fence, o.Version
		s.sequence++
	}
	s.mu.Unlock()
	s.bed.record("order    version %d (%s) at %s by %s with fence %d: %d", o.Version, o.Mode, s.id, o.Holder, o.Fence, status)
	w.WriteHeader(status)
	s.register()
}

// serveStream sends the events of a stream after the last one that the caller has. An event at which the version of the weights
// changes says so.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	version := s.currentVersion()
	if expected := r.Header.Get("Figshift-Expect-Version"); expected != "" && expected != strconv.FormatUint(version, 10) {
		w.Header().Set("Figshift-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Figshift-Weight-Versions", strconv.FormatUint(version, 10))
	for n := last + 1; n <= s.events(id); n++ {
		select {
		case <-time.After(s.gap):
		case <-r.Context().Done():
			if s.runsOf(id) <= 10 {
				s.bed.record("run      %s is dropped at %s before event %d", id, s.id, n)
			}
			return
		}
		if back := s.silent(); back != nil {
			s.bed.record("run      %s is cut off at %s before event %d", id, s.id, n)
			<-back
			panic(http.ErrAbortHandler)
		}
		if now := s.currentVersion(); now != version {
			version = now
			_, _ = fmt.Fprintf(w, "figshift-weight-versions: %d\n", version)
		}
		_, _ = fmt.Fprintf(w, "id: %d\n", n)
		for line := range strings.SplitSeq(s.data(id, n), "\n") {
			_, _ = fmt.Fprintf(w, "data: %s\n", line)
		}
		_, _ = io.WriteString(w, "\n")
		w.(http.Flusher).Flush()
	}
	s.mu.Lock()
	s.finished[id] = true
	s.mu.Unlock()
	s.bed.record("run      %s ends at %s", id, s.id)
}

func (s *server) currentVersion() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *server) hasFinished(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finished[id]
}

// setDark makes the server silent, or has it come back without what it ran.
func (s *server) setDark(dark bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if dark {
		s.back = make(chan struct{})
		return
	}
	close(s.back)
	s.back = nil
}

// silent returns what is closed when the server is back, nil while it isn't silent.
func (s *server) silent() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.back
}

func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// longRuns returns the number of an item's runs and until when one was here that counts.
func (s *server) longRuns(id string) (runs int, last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id], s.lastLong[id]
}

func eventData(id string, n int) string { return id + "/" + strconv.Itoa(n) }

func (s *server) data(id string, n int) string {
	if s.dataOf == nil {
		return eventData(id, n)
	}
	return s.dataOf(id, n)
}
