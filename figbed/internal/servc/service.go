// Package servc is the stand-in of a plain service and of a scorer.
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

// PathRuns gives the number of runs by the caller's id, by GET.
const PathRuns = "/runs"

// HeaderCall carries the caller's own id of a call; the query value Id does too.
const HeaderCall = "X-Call-Id"

const maxBodyBytes = 8 << 20

// Faults are what the service can be told to do wrong, by POST to wire.PathFaults. A count applies to the next
// so many calls, counting down.
type Faults struct {
	Refuse      int  // refuse before running, with wire.HeaderNotRun
	RefuseAll   bool // the same for all
	RefuseEvery int  // the same for each call whose number is a multiple
	CutBefore   int  // close the connection before running
	CutAfter    int  // run, then close the connection without an answer
	CutMiddle   int  // run, then close the connection within the answer
	FailAfter   int  // run, then answer 500
	FailBefore  int  // answer 500 without running and without wire.HeaderNotRun
	DelayMS     int  // time from the run to the answer, of all calls
	DelayBefore int  // time in ms from the call to the run, of all calls
	Leaving     bool // answers carry wire.HeaderLeaving
	Late        int  // calls whose answer comes after LateMS
	LateMS      int
}

// Echo is the answer to a call.
type Echo struct {
	Service      string
	ID           string // the caller's
	Request      string
	Attempt      string
	Organisation string
	Method       string
	Path         string
	Body         string
	Run          int // 1 for the first run of this id
}

// Service is the stand-in of a plain service: it answers any path with an Echo and counts the runs of each id.
// Query values steer one call: DelayMS, Stream (lines, PauseMS apart). Set Name before the first request.
type Service struct {
	Name string

	once   sync.Once
	mux    *http.ServeMux
	log    seen.Log
	mu     sync.Mutex
	faults Faults
	halted bool
	active int
	calls  int
}

// ServeHTTP answers one call. It may be called concurrently.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.prepare)
	if s.faultsNow().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Service) prepare() {
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("/", s.call)
	s.mux.HandleFunc("GET "+wire.PathLoad, s.load)
	s.mux.HandleFunc("GET "+PathRuns, s.runs)
	s.mux.HandleFunc("POST "+wire.PathFaults, s.setFaults)
	s.mux.HandleFunc("POST "+plat.PathAssign, s.setHalted(false))
	s.mux.HandleFunc("POST "+plat.PathHalt, s.setHalted(true))
	s.mux.Handle("GET "+seen.Path, &s.log)
}

// Record returns what the service received and its runs. It may be called concurrently.
func (s *Service) Record() seen.Record { return s.log.Record() }

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
	answer(w, f)
}

func (s *Service) setHalted(halted bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		s.halted = halted
		s.mu.Unlock()
		answer(w, struct{}{})
	}
}

func (s *Service) runs(w http.ResponseWriter, _ *http.Request) {
	answer(w, s.log.Record().Runs)
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	active := s.active
	s.mu.Unlock()
	answer(w, wire.EndpointLoad{Running: active, RunningTokens: active})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	s.log.Add(r, body)
	s.mu.Lock()
	halted := s.halted
	s.mu.Unlock()
	if err != nil || halted {
		panic(http.ErrAbortHandler)
	}
	if s.refused(w) {
		return
	}
	s.enter(1)
	defer s.enter(-1)
	s.run(w, r, string(body))
}

func (s *Service) enter(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

// refused carries out the faults that come before the run.
func (s *Service) refused(w http.ResponseWriter) bool {
	f := s.faultsNow()
	sleep(f.DelayBefore)
	switch {
	case f.RefuseAll || s.isNth(f.RefuseEvery) || s.takes(func(f *Faults) *int { return &f.Refuse }):
		w.Header().Set(wire.HeaderNotRun, "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case s.takes(func(f *Faults) *int { return &f.CutBefore }):
		panic(http.ErrAbortHandler)
	case s.takes(func(f *Faults) *int { return &f.FailBefore }):
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		return false
	}
	return true
}

// isNth counts a call and reports whether its number is a multiple of n; 0 has none.
func (s *Service) isNth(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return n > 0 && s.calls%n == 0
}

func (s *Service) run(w http.ResponseWriter, r *http.Request, body string) {
	echo := s.echo(r, body)
	echo.Run = s.log.Run(echo.ID)
	f := s.faultsNow()
	sleep(f.DelayMS)
	sleep(number(r, "DelayMS"))
	if s.takes(func(f *Faults) *int { return &f.Late }) {
		sleep(f.LateMS)
	}
	switch {
	case s.takes(func(f *Faults) *int { return &f.CutAfter }):
		panic(http.ErrAbortHandler)
	case s.takes(func(f *Faults) *int { return &f.FailAfter }):
		http.Error(w, "failed after running", http.StatusInternalServerError)
	case s.takes(func(f *Faults) *int { return &f.CutMiddle }):
		cutWithin(w, echo)
	default:
		s.answer(w, r, echo)
	}
}

func (s *Service) echo(r *http.Request, body string) Echo {
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

func (s *Service) answer(w http.ResponseWriter, r *http.Request, echo Echo) {
	lines := number(r, "Stream")
	for range lines {
		_ = json.NewEncoder(w).Encode(echo)
		_ = http.NewResponseController(w).Flush()
		sleep(number(r, "PauseMS"))
	}
	if lines == 0 {
		answer(w, echo)
	}
}

func cutWithin(w http.ResponseWriter, echo Echo) {
	data, _ := json.Marshal(echo)
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data[:len(data)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (s *Service) faultsNow() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// takes counts one fault down and reports whether it applies.
func (s *Service) takes(count func(f *Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func number(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

func sleep(ms int) { time.Sleep(time.Duration(ms) * time.Millisecond) }

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
