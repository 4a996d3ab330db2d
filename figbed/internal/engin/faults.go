package engin

import (
	"io"
	"net/http"

	"github.com/figshift/figshift/internal/wire"
)

const maxBodyBytes = 8 << 20

// Faults are what an engine can be told to do wrong, by POST to wire.PathFaults. A count applies to
// the next so many generations or orders, counting down.
type Faults struct {
	Refuse         int  // refuse before any work, with wire.HeaderNotRun
	RefuseAll      bool // the same for all
	FailAfterStart int  // start the run, then answer 500 without wire.HeaderNotRun
	CutBefore      int  // close the connection before any work, without an answer
	Cut            int  // close the stream after CutSegments segments
	CutSegments    int
	EndEarly       int // end the stream cleanly after CutSegments segments, without the last line
	HangMS         int // time before the first byte of the next Hang answers
	Hang           int
	NoVersion      bool    // segments name no version
	Slow           float64 // generation slows down by this factor, 0 is none
	SwapFails      int     // orders that are acknowledged and then fail
	SwapRefused    int
	SwapLost       int  // orders whose answer is lost after taking effect
	Leaving        bool // answers carry wire.HeaderLeaving
	Crash          bool
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !e.read(w, r, &f) {
		return
	}
	e.SetFaults(f)
	answer(w, f)
}

// SetFaults replaces the faults. It may be called concurrently.
func (e *Engine) SetFaults(f Faults) {
	e.once.Do(e.prepare)
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	if f.Crash && e.Exit != nil {
		e.Exit(1)
	}
}

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	answer(w, e.faultsNow())
}

func (e *Engine) faultsNow() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takes counts one fault down and reports whether it applies.
func (e *Engine) takes(count func(f *Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := count(&e.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) refuses() bool {
	return e.faultsNow().RefuseAll || e.takes(func(f *Faults) *int { return &f.Refuse })
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(wire.HeaderNotRun, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func readAll(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}
