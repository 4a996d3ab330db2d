// Package servc implements a simulated plain service and a simulated scorer.
package servc

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figshift/figshift/figbed/internal/plat"
	"github.com/figshift/figshift/figbed/internal/seen"
	"github.com/figshift/figshift/internal/wire"
)

// PathRuns is the path at which a service returns, by GET, the number of runs of each call id.
const PathRuns = "/runs"

// HeaderCall is the header with the id that the caller has given to a call. The query parameter Id is used without it.
const HeaderCall = "X-Call-Id"

const maxBodyBytes = 8 << 20

// Faults are the faults of a service, set by POST to wire.PathFaults. Refuse, CutBefore, CutAfter, CutMiddle, FailAfter,
// FailBefore and Late are the number of the next calls to which the fault applies, and count down.
type Faults struct {
	Refuse      int  // refuse before running, with wire.HeaderNotRun
	RefuseAll   bool // refuse all calls in this way
	RefuseEvery int  // refuse each RefuseEvery-th call in this way; 0 for none
	CutBefore   int  // close the connection before running
	CutAfter    int  // run, then close the connection without a response
	CutMiddle   int  // run, then close the connection in the middle of the response
	FailAfter   int  // run, then respond with status 500
	FailBefore  int  // respond with status 500 without running and without wire.HeaderNotRun
	DelayMS     int  // delay in ms between the run and the response, of all calls
	DelayBefore int  // delay in ms before the run, of all calls
	Leaving     bool // responses carry wire.HeaderLeaving
	Late        int  // delay the response by LateMS
	LateMS      int
}

// Echo is the response to a call.
type Echo struct {
	Service      string
	ID           string // the caller's id of the call
	Request      string
	Attempt      string
	Organisation string
	Method       string
	Path         string
	Body         string
	Run          int // number of the run of this id, from 1
}

// Service is a simulated plain service: it responds on any path with an Echo and counts the runs of each id. Query
// parameters change the response to one call: DelayMS delays it, Stream is a number of lines to send, PauseMS apart. Set
// Name before the first request.
type Service struct {
	Name string

	once     sync.Once
	mux      *http.ServeMux
	recorder seen.Recorder
	mu       sync.Mutex
	faults   Faults
	halted   bool
	active   int
	calls    int
}

// ServeHTTP handles one request. It may be called concurrently.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.prepare)
	if s.currentFaults().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Service) prepare() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("/", s.handleCall)
	s.mux.HandleFunc("GET "+wire.PathLoad, s.getLoad)
	s.mux.HandleFunc("GET "+PathRuns, s.getRuns)
	s.mux.HandleFunc("POST "+wire.PathFaults, s.setFaults)
	s.mux.HandleFunc("POST "+plat.PathAssign, s.setHalted(false))
	s.mux.HandleFunc("POST "+plat.PathHalt, s.setHalted(true))
	s.mux.Handle("GET "+seen.Path, &s.recorder)
}

// Record returns the requests that the service has received and its runs. It may be called concurrently.
func (s *Service) Record() seen.Record { return s.recorder.Record() }

// SetFaults replaces the faults. It may be called concurrently.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

func (s *Service) setHalted(halted bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.halted = halted
		s.mu.Unlock()
		writeJSON(w, struct{}{})
	}
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.recorder.Record().Runs)
}

func (s *Service) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	active := s.active
	s.mu.Unlock()
	writeJSON(w, wire.EndpointLoad{Running: active, RunningTokens: active})
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	s.recorder.Add(r, body)
	s.mu.Lock()
	halted := s.halted
	s.mu.Unlock()
	if err != nil || halted {
		panic(http.ErrAbortHandler)
	}
	if s.failBeforeRun(w) {
		return
	}
	s.addActive(1)
	defer s.addActive(-1)
	s.run(w, r, string(body))
}

func (s *Service) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

// failBeforeRun applies the faults that occur before the run. It returns true when it has written the response.
func (s *Service) failBeforeRun(w http.ResponseWriter) bool {
	f := s.currentFaults()
	sleepMillis(f.DelayBefore)
	switch {
	case f.RefuseAll || s.countCall(f.RefuseEvery) || s.takeFault(func(f *Faults) *int { return &f.Refuse }):
		w.Header().Set(wire.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case s.takeFault(func(f *Faults) *int { return &f.CutBefore }):
		panic(http.ErrAbortHandler)
	case s.takeFault(func(f *Faults) *int { return &f.FailBefore }):
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

// countCall counts a call and reports whether its number is a multiple of n. It returns false when n is 0.
func (s *Service) countCall(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return n > 0 && s.calls%n == 0
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, body string) {
	echo := s.newEcho(r, body)
	echo.Run = s.recorder.CountRun(echo.ID)
	f := s.currentFaults()
	sleepMillis(f.DelayMS)
	sleepMillis(queryInt(r, "DelayMS"))
	if s.takeFault(func(f *Faults) *int { return &f.Late }) {
		sleepMillis(f.LateMS)
	}
	switch {
	case s.takeFault(func(f *Faults) *int { return &f.CutAfter }):
		panic(http.ErrAbortHandler)
	case s.takeFault(func(f *Faults) *int { return &f.FailAfter }):
		http.Error(w, "failed after running", http.StatusInternalServerError)
	case s.takeFault(func(f *Faults) *int { return &f.CutMiddle }):
		abortWithinBody(w, echo)
	default:
		s.writeEcho(w, r, echo)
	}
}

func (s *Service) newEcho(r *http.Request, body string) Echo {
	id := r.Header.Get(HeaderCall)
	if id == "" {
		id = r.URL.Query().Get("Id")
	}
	return Echo{
		Service: s.Name, ID: id,
		Request: r.Header.Get(wire.HeaderRequest), Attempt: r.Header.Get(wire.HeaderAttempt),
		Organisation: r.Header.Get(wire.HeaderOrganisation),
		Method:       r.Method, Path: r.URL.Path, Body: body,
	}
}

func (s *Service) writeEcho(w http.ResponseWriter, r *http.Request, echo Echo) {
	lines := queryInt(r, "Stream")
	for range lines {
		_ = json.NewEncoder(w).Encode(echo)
		_ = http.NewResponseController(w).Flush()
		sleepMillis(queryInt(r, "PauseMS"))
	}
	if lines == 0 {
		writeJSON(w, echo)
	}
}

func abortWithinBody(w http.ResponseWriter, echo Echo) {
	data, _ := json.Marshal(echo)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// takeFault decrements the counter of a fault and reports whether the fault applies, that is, whether it was not 0.
func (s *Service) takeFault(counter func(f *Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := counter(&s.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func queryInt(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func sleepMillis(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
