package estate

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fields of the heads that servers and their callers exchange.
const (
	FieldID       = "Figshift-Attempt-Id"
	FieldStamp    = "Figshift-Response-Stamp"
	FieldTenant   = "Figshift-Tenant"
	FieldExpect   = "Figshift-Expect-Instance"
	FieldNotRun   = "Figshift-Not-Run"
	FieldVersions = "Figshift-Weight-Versions"
	FieldLast     = "Last-Event-Id"
)

// Run is a request that a server began to work on.
type Run struct {
	ID     string
	Path   string
	Tenant string
	From   string // id of the event behind which a stream goes on
	Key    bool   // a credential came with it
	At     time.Time
	Made   []uint64 // versions of a stream's events, that of the first one after From first
}

// Server is one of the platform's servers: an engine when it has models, else a plain service. Its exported fields are
// set before Start.
type Server struct {
	Name    string
	Service string
	Zone    string
	Models  []string
	Slots   int
	Events  int           // of a stream
	Gap     time.Duration // between two events
	Work    time.Duration // of a plain request
	Fail    int           // next requests that are answered 500
	// EventsOf returns the events of an item's stream; when nil, Events.
	EventsOf func(id string) int
	// Reach returns the address that the server registers, given that of its listener; when nil, the latter.
	Reach func(listen string) (string, error)

	store    *Store
	born     int64
	listener net.Listener
	address  string // registered

	mu       sync.Mutex
	versions map[string]uint64
	orders   []Order
	fence    uint64
	runs     []Run
	running  int
	rejects  int
	gap      time.Duration
	draining bool
}

// Order is an order that a server accepted.
type Order struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence_token"`
	Expect  uint64 `json:"expected"`
}

// Start listens and registers in the store; the returned function ends the server without a word.
func (s *Server) Start(store *Store) (stop func(), err error) {
	s.listener, err = net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	if s.Reach != nil {
		if s.address, err = s.Reach(s.address); err != nil {
			return nil, err
		}
	}
	s.store, s.born, s.gap = store, time.Now().UnixMilli(), s.Gap
	s.versions = map[string]uint64{}
	for _, m := range s.Models {
		s.versions[m] = 1
	}
	s.register()
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(s.listener) }()
	return func() { _ = server.Close() }, nil
}

// register writes the server's entry.
func (s *Server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	models := []map[string]any{}
	for _, m := range s.Models {
		models = append(models, map[string]any{"name": m, "version": s.versions[m]})
	}
	s.store.Put("servers", s.Name, map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": state, "stage": "hybrid", "models": models, "sequence": 7, "born": s.born,
	})
}

// Drain makes the server report that it leaves, or no longer.
func (s *Server) Drain(on bool) {
	s.mu.Lock()
	s.draining = on
	s.mu.Unlock()
	s.register()
}

// Slow sets the time between two events.
func (s *Server) Slow(gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gap = gap
}

// Runs returns what the server began to work on.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := append([]Run(nil), s.runs...)
	for i := range runs {
		runs[i].Made = append([]uint64(nil), runs[i].Made...)
	}
	return runs
}

// Orders returns the orders that the server accepted.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(FieldExpect); expected != "" && expected != s.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.report(w)
		return
	case "/api/order":
		s.order(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a caller that breaks off is seen when it is answered
	run, ok := s.enter(r)
	if !ok {
		w.Header().Set(FieldNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	w.Header().Set(FieldID, r.Header.Get(FieldID))
	w.Header().Set(FieldStamp, s.Name+"."+r.Header.Get(FieldID))
	w.Header().Set("Figshift-Server-Load", fmt.Sprintf("1,0,%d", s.Slots))
	if len(s.Models) > 0 {
		s.stream(w, r, run)
		return
	}
	time.Sleep(s.Work)
	if s.fails() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.Name, r.URL.Path) // the caller may have gone
}

// Break makes the next requests fail.
func (s *Server) Break(requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Fail = requests
}

func (s *Server) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Fail == 0 {
		return false
	}
	s.Fail--
	return true
}

// enter returns the number of the run that begins.
func (s *Server) enter(r *http.Request) (run int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots {
		s.rejects++
		return 0, false
	}
	s.running++
	s.runs = append(s.runs, Run{
		ID: r.Header.Get(FieldID), Path: r.URL.RequestURI(), Tenant: r.Header.Get(FieldTenant), From: r.Header.Get(FieldLast),
		Key: r.Header.Get("Authorization") != "", At: time.Now(),
	})
	return len(s.runs) - 1, true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Event returns the data of a stream's event.
func Event(id string, n int) string { return id + "/" + strconv.Itoa(n) }

func (s *Server) stream(w http.ResponseWriter, r *http.Request, run int) {
	from, _ := strconv.Atoi(r.Header.Get(FieldLast)) // none is 0
	model := r.Header.Get("Figshift-Model")
	version := s.version(model)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(FieldVersions, strconv.FormatUint(version, 10))
	events := s.Events
	if s.EventsOf != nil {
		events = s.EventsOf(r.Header.Get(FieldID))
	}
	for n := from + 1; n <= events; n++ {
		select {
		case <-time.After(s.pause()):
		case <-r.Context().Done():
			return
		}
		now := s.made(run, model)
		if now != version {
			version = now
			_, _ = fmt.Fprintf(w, "figshift-weight-versions: %d\n", version)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, Event(r.Header.Get(FieldID), n))
		w.(http.Flusher).Flush()
	}
}

// made notes the version of the next event of a run.
func (s *Server) made(run int, model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[run].Made = append(s.runs[run].Made, s.versions[model])
	return s.versions[model]
}

func (s *Server) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gap
}

func (s *Server) version(model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"stage": "hybrid", "busy": false, "sequence": len(s.orders), "running": s.running})
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Fence < s.fence:
		status = http.StatusPreconditionFailed
	case o.Expect != uint64(len(s.orders)):
		status = http.StatusConflict
	default:
		s.fence = o.Fence
		s.orders = append(s.orders, o)
		s.versions[o.Model] = o.Version
	}
	s.mu.Unlock()
	w.WriteHeader(status)
	s.register()
}
