// Package plat implements the simulated platform: the object API, endpoint orders, the endpoint list, usage reports
// and the weight store, with the faults of wire.Faults.
package plat

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/figshift/figshift/internal/wire"
)

// Paths of the simulated programs in addition to those of package wire.
const (
	PathRegister = "/register" // POST Registration
	PathAssign   = "/assign"   // POST wire.Endpoint to a spare endpoint process that is started by an order
	PathHalt     = "/halt"     // POST to an endpoint process that has been stopped or reclaimed
)

// Limits of request bodies.
const (
	maxValueBytes = 1 << 20 // of an object's value
	maxBodyBytes  = 4 << 20
)

// Platform is the simulated platform. Set the fields before the first request; a rate of 0 means no limit.
// During the fault Outage, the object API and the endpoint list respond with status 503; orders and usage reports still
// work.
type Platform struct {
	StartTime         time.Duration // from a start order until the endpoint is Live
	StopTime          time.Duration // from a stop order until the endpoint has ended
	ReclaimNotice     time.Duration // from a reclaim until the endpoint has ended
	ReadsPerSecond    int           // object reads, lists and watches, and reads of the endpoint list
	WritesPerSecond   int           // object writes
	WeightReadsPerSec int
	OnDemandPrice     float64       // cost units per second
	CheapPrice        float64       // cost units per second
	RefuseOlderEpochs bool          // refuse orders as Stale whose epoch is lower than the highest one of their duty
	MaxWatchTime      time.Duration // maximum duration of a watch; 0 means 30 s

	once          sync.Once
	mux           *http.ServeMux
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
	weightLimiter *rate.Limiter

	mu     sync.Mutex
	faults wire.Faults
	calls  wire.Calls
	store  store
	fleet  fleet
}

// ServeHTTP handles one request to the platform. It may be called concurrently.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.prepare)
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) prepare() {
	p.readLimiter = newLimiter(p.ReadsPerSecond)
	p.writeLimiter = newLimiter(p.WritesPerSecond)
	p.weightLimiter = newLimiter(p.WeightReadsPerSec)
	if p.MaxWatchTime == 0 {
		p.MaxWatchTime = 30 * time.Second
	}
	p.store.prepare()
	p.fleet.prepare(p)
	p.mux = http.NewServeMux()
	p.mux.HandleFunc("GET "+wire.PathObject, p.getObject)
	p.mux.HandleFunc("PUT "+wire.PathObject, p.putObject)
	p.mux.HandleFunc("DELETE "+wire.PathObject, p.deleteObject)
	p.mux.HandleFunc("GET "+wire.PathObjects, p.listObjects)
	p.mux.HandleFunc("GET "+wire.PathWatch, p.watchObjects)
	p.mux.HandleFunc("GET "+wire.PathEndpoints, p.listEndpoints)
	p.mux.HandleFunc("POST "+wire.PathOrder, p.order)
	p.mux.HandleFunc("POST "+wire.PathUsage, p.reportUsage)
	p.mux.HandleFunc("POST "+wire.PathWeights, p.readWeights)
	p.mux.HandleFunc("POST "+PathRegister, p.register)
	p.mux.HandleFunc("POST "+wire.PathFaults, p.setFaults)
	p.mux.HandleFunc("GET "+wire.PathFaults, p.getFaults)
	p.mux.HandleFunc("GET "+wire.PathCalls, p.getCalls)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Calls returns the numbers of calls and the recorded orders and usage reports since the start, and the cost so far. It
// may be called concurrently.
func (p *Platform) Calls() wire.Calls {
	p.once.Do(p.prepare)
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := p.calls
	calls.Orders = append([]wire.EndpointOrder(nil), p.calls.Orders...)
	calls.Reports = append([]wire.UsageReport(nil), p.calls.Reports...)
	calls.Cost = p.fleet.totalCost(time.Now())
	return calls
}

// SetFaults replaces the faults. ReclaimZone takes effect once, during the call. It may be called concurrently.
func (p *Platform) SetFaults(f wire.Faults) {
	p.once.Do(p.prepare)
	p.mu.Lock()
	p.faults = f
	p.mu.Unlock()
	if f.ReclaimZone != "" {
		p.fleet.reclaim(f.ReclaimZone, time.Now())
	}
}

// admit counts a call of the object API and applies the faults and the rate limit to it. When it returns false, it has
// written an error response.
func (p *Platform) admit(w http.ResponseWriter, counter *uint64, limiter *rate.Limiter) bool {
	p.mu.Lock()
	*counter++
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Outage {
		writeFailure(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	if !limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		writeFailure(w, http.StatusTooManyRequests, "rate limit exceeded")
		return false
	}
	return true
}

// takeLostAnswer reports whether the response to a write that has taken effect must be lost, and counts that fault down.
func (p *Platform) takeLostAnswer(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 || !strings.HasPrefix(name, p.faults.LosePrefix) {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) inOutage() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Outage
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f wire.Faults
	if !readJSON(w, r, &f) {
		return
	}
	p.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, f)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Calls())
}

// Failure is the body of an error response, except for a version conflict.
type Failure struct{ Reason string }

func writeFailure(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, Failure{Reason: reason})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func readJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(body)
	if err == nil {
		return true
	}
	writeFailure(w, http.StatusBadRequest, err.Error())
	return false
}

// abortResponse closes the caller's connection without a response.
func abortResponse(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
