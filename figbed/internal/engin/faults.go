package engin

import (
	"io"
	"net/http"

	"github.com/figshift/figshift/internal/wire"
)

const maxBodyBytes = 8 << 20

// Faults are the faults of an engine, set by POST to wire.PathFaults. Except for CutSegments and HangMS, an integer is the
// number of the next generations or orders to which the fault applies, and counts down.
type Faults struct {
	Refuse         int  // refuse before any work, with wire.HeaderNotRun
	RefuseAll      bool // refuse all generations in this way
	FailAfterStart int  // start the run, then respond with status 500 without wire.HeaderNotRun
	CutBefore      int  // close the connection before any work, without a response
	Cut            int  // close the connection after CutSegments segments
	CutSegments    int
	EndEarly       int // end the response normally after CutSegments segments, without the last segment
	HangMS         int // delay in ms before the first byte of the next Hang responses
	Hang           int
	NoVersion      bool    // segments contain no version
	Slow           float64 // factor by which generation is slower; 0 for no change
	SwapFails      int     // accept an order and then fail to execute it
	SwapRefused    int     // refuse an order
	SwapLost       int     // accept an order, but lose the response
	Leaving        bool    // responses carry wire.HeaderLeaving
	Crash          bool    // exit at once with code 1
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !e.readJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
	writeJSON(w, f)
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
	writeJSON(w, e.currentFaults())
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeFault decrements the counter of a fault and reports whether the fault applies, that is, whether it was not 0.
func (e *Engine) takeFault(counter func(f *Faults) *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := counter(&e.faults)
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) shouldRefuse() bool {
	return e.currentFaults().RefuseAll || e.takeFault(func(f *Faults) *int { return &f.Refuse })
}

func writeRefusal(w http.ResponseWriter, reason string) {
	w.Header().Set(wire.HeaderNotRun, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
}
