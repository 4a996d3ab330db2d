package estate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// HTTP header fields exchanged between servers and their callers.
const (
	HeaderAttemptID      = "Figshift-Attempt-Id"
	HeaderResponseStamp  = "Figshift-Response-Stamp"
	HeaderTenant         = "Figshift-Tenant"
	HeaderExpectInstance = "Figshift-Expect-Instance"
	HeaderNotRun         = "Figshift-Not-Run"
	HeaderWeightVersions = "Figshift-Weight-Versions"
	HeaderLastEventID    = "Last-Event-Id"
	HeaderResumes        = "Resumes"
	HeaderLimit          = "Server-Limit"
	headerLeaving        = "Server-Leaving"
)

// Run is a request that a server started to process.
type Run struct {
	ID            string
	Path          string
	Tenant        string
	LastEventID   string // id of the last event that the caller already has; empty for a new stream
	Software      string // version of the server's software
	HasCredential bool   // whether the request carried a credential
	At            time.Time
	EventVersions []uint64 // weight version of each streamed event, starting with the first one after LastEventID
}

// Server is a simulated server of the platform: an engine if it has models, otherwise a plain service. Set its exported
// fields before calling Start.
type Server struct {
	Name          string
	Service       string
	Zone          string
	Software      string // version of the server's software; "v1" when empty
	Untold        bool   // the server's entry doesn't tell the version of its software
	TellsSoftware bool   // the data of events tell it: EventDataOf in place of EventData
	Models        []string
	Slots         int
	Events        int           // events per stream
	EventInterval time.Duration // initial interval between two events
	WorkTime      time.Duration // processing time of a plain request
	FailNext      int           // number of upcoming plain requests that are answered with status 500
	// CrashesUnder reports whether a request crashes the server that runs it, CrashDelay after it began to run. The server
	// is back after RestartTime, at the same address, as another instance. When nil, no request does.
	CrashesUnder func(path string, body []byte) bool
	CrashDelay   time.Duration
	RestartTime  time.Duration
	// Break returns the bytes that are sent in place of the answer to a request that runs, before its connection is closed. The
	// answer is sound when it reports false, and when Break is nil.
	Break func(r *http.Request) (answer string, broken bool)
	// Early returns the bytes that are sent before the body of a request is read; the connection is then reset. The answer is
	// sound when it reports false, and when Early is nil.
	Early func(r *http.Request) (answer string, early bool)
	// Endless returns what is sent in place of the answer to a request that runs, until the caller closes: first, and then
	// more(0), more(1) and so on. The answer is sound when more is nil, and when Endless is nil.
	Endless func(r *http.Request) (first string, more func(n int) string)
	// RegisterDelay is the time from a restart until the store has the new start's entry.
	RegisterDelay time.Duration
	// EventsOf returns the number of events in an item's stream. When nil, every stream has Events events.
	EventsOf func(id string) int
	// RegisterAddress maps the listener's address to the address that the server registers. When nil, both are the same.
	RegisterAddress func(listen string) (string, error)

	store    *Store
	startMS  int64
	listener net.Listener
	address  string // as registered in the store

	mu            sync.Mutex
	versions      map[string]uint64
	orders        []Order
	fencingToken  uint64
	runs          []Run
	running       int
	rejected      int
	eventInterval time.Duration
	draining      bool
	saysLeaving   bool    // in every answer
	limit         float64 // named in every answer, 0 for none
	arrivals      []Arrival
	instance      string // name of this start
	server        *http.Server
	crashes       []Crash
	stopped       bool
	restarting    bool // by Restart
	restarts      int  // under its name
}

// Order is an order to load a weight version of a model.
type Order struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence_token"`
	Expect  uint64 `json:"expected"`
}

// Start listens and registers the server in the store. The returned function stops the server without deregistering it.
func (s *Server) Start(store *Store) (stop func(), err error) {
	s.listener, err = s.listen()
	if err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	if s.RegisterAddress != nil {
		if s.address, err = s.RegisterAddress(s.address); err != nil {
			return nil, err
		}
	}
	s.store, s.startMS, s.eventInterval, s.instance = store, time.Now().UnixMilli(), s.EventInterval, s.Name
	s.Software = cmp.Or(s.Software, "v1")
	s.versions = map[string]uint64{}
	for _, m := range s.Models {
		s.versions[m] = 1
	}
	s.register()
	s.serve()
	return s.stop, nil
}

// serve starts to serve on the server's listener.
func (s *Server) serve() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.server = &http.Server{Handler: s}
	go func(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }(s.server, s.listener)
}

func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.server.Close()
}

// register writes the server's object to the store.
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
	software := s.Software
	if s.Untold {
		software = ""
	}
	s.store.Put("servers", s.instance, map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": software, "slots": s.Slots,
		"state": state, "stage": "hybrid", "models": models, "sequence": 7, "born": s.startMS,
	})
}

// SetDraining sets whether the server registers itself as draining.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	s.draining = draining
	s.mu.Unlock()
	s.register()
}

// StartAnew registers the server as ready again after it was draining, as another incarnation: no server goes on after it
// was draining.
func (s *Server) StartAnew() {
	s.mu.Lock()
	s.draining, s.saysLeaving, s.startMS = false, false, time.Now().UnixMilli()
	s.restarts++
	s.mu.Unlock()
	s.register()
}

// SetEventInterval sets the interval between two events of a stream.
func (s *Server) SetEventInterval(interval time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventInterval = interval
}

// Runs returns the requests that the server started to process, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := append([]Run(nil), s.runs...)
	for i := range runs {
		runs[i].EventVersions = append([]uint64(nil), runs[i].EventVersions...)
	}
	return runs
}

// Orders returns the accepted orders in order of arrival.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.orders...)
}

// ServeHTTP handles a request for work and the platform's report and order calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.recordArrival(w, r)
	if id := r.Header.Get(HeaderAttemptID); id != "" {
		w.Header().Set(HeaderAttemptID, id)
	}
	instance := s.currentInstance()
	if expected := r.Header.Get(HeaderExpectInstance); expected != "" && expected != instance {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		s.handleReport(w)
		return
	case "/api/order":
		s.handleOrder(w, r)
		return
	}
	if s.Early != nil {
		if answer, early := s.Early(r); early {
			sendEarly(w, answer)
			return
		}
	}
	body, _ := io.ReadAll(r.Body) // a disconnected caller is noticed when the response is written
	runIndex, ok := s.beginRun(r)
	if !ok {
		w.Header().Set(HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.endRun(instance)
	if s.CrashesUnder != nil && s.CrashesUnder(r.URL.Path, body) {
		time.Sleep(s.CrashDelay)
		s.crash(instance, r.URL.Path)
		panic(http.ErrAbortHandler)
	}
	if s.Break != nil {
		if answer, broken := s.Break(r); broken {
			sendBroken(w, answer)
			return
		}
	}
	if s.Endless != nil {
		if first, more := s.Endless(r); more != nil {
			sendEndless(w, first, more)
			return
		}
	}
	w.Header().Set(HeaderResponseStamp, s.Name+"."+r.Header.Get(HeaderAttemptID))
	w.Header().Set("Figshift-Server-Load", fmt.Sprintf("1,0,%d", s.Slots))
	if len(s.Models) > 0 {
		s.streamEvents(w, r, runIndex)
		return
	}
	time.Sleep(s.WorkTime)
	if s.consumeFailure() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.Name, r.URL.Path) // the caller may have disconnected
}

// FailRequests makes the given number of upcoming plain requests fail with status 500.
func (s *Server) FailRequests(requests int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.FailNext = requests
}

func (s *Server) consumeFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.FailNext == 0 {
		return false
	}
	s.FailNext--
	return true
}

// beginRun records a run and returns its index in s.runs. It reports false if all slots are in use.
func (s *Server) beginRun(r *http.Request) (runIndex int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots {
		s.rejected++
		return 0, false
	}
	s.running++
	s.runs = append(s.runs, Run{
		ID: r.Header.Get(HeaderAttemptID), Path: r.URL.RequestURI(), Tenant: r.Header.Get(HeaderTenant), LastEventID: r.Header.Get(HeaderLastEventID),
		Software:      s.Software,
		HasCredential: r.Header.Get("Authorization") != "", At: time.Now(),
	})
	return len(s.runs) - 1, true
}

// endRun ends a run of an instance. A crash has ended the runs of earlier ones.
func (s *Server) endRun(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instance == instance {
		s.running--
	}
}

func (s *Server) handleReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"stage": "hybrid", "busy": false, "sequence": len(s.orders), "running": s.running, "born": s.startMS})
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := http.StatusAccepted
	switch {
	case o.Fence < s.fencingToken:
		status = http.StatusPreconditionFailed
	case o.Expect != uint64(len(s.orders)):
		status = http.StatusConflict
	default:
		s.fencingToken = o.Fence
		s.orders = append(s.orders, o)
		s.versions[o.Model] = o.Version
	}
	s.mu.Unlock()
	w.WriteHeader(status)
	s.register()
}
