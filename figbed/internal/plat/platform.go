// Package plat is the stand-in of the platform: object API, endpoint orders, endpoint list,
// usage reports and weight store, with the faults of wire.Faults.
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

// Paths of the stand-in beside those of wire.
const (
	PathRegister = "/register" // POST Registration
	PathAssign   = "/assign"   // POST wire.Endpoint to an endpoint process that an order starts
	PathHalt     = "/halt"     // POST to an endpoint process that has been stopped or reclaimed
)

// The largest bodies that the stand-in takes.
const (
	maxValueBytes = 1 << 20
	maxBodyBytes  = 4 << 20
)

// Platform is the stand-in of the platform. Set the fields before the first request; a zero rate is no limit.
// Outage makes the object API and the endpoint list answer 503; orders and usage reports still work.
type Platform struct {
	StartTime         time.Duration // from a start order to Live
	StopTime          time.Duration // from a stop order to the end
	ReclaimNotice     time.Duration // from a reclaim to the end
	ReadsPerSecond    int
	WritesPerSecond   int
	WeightReadsPerSec int
	OnDemandPrice     float64 // units a second
	CheapPrice        float64 // units a second
	RefuseOlderEpochs bool    // orders of a duty with an epoch below the highest seen are refused as Stale
	LongestWatch      time.Duration

	once    sync.Once
	mux     *http.ServeMux
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter

	mu     sync.Mutex
	faults wire.Faults
	calls  wire.Calls
	store  store
	fleet  fleet
}

// ServeHTTP answers one call to the platform. It may be called concurrently.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.once.Do(p.prepare)
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) prepare() {
	p.reads = limiter(p.ReadsPerSecond)
	p.writes = limiter(p.WritesPerSecond)
	p.weights = limiter(p.WeightReadsPerSec)
	if p.LongestWatch == 0 {
		p.LongestWatch = 30 * time.Second
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
	p.mux.HandleFunc("POST "+wire.PathUsage, p.usage)
	p.mux.HandleFunc("POST "+wire.PathWeights, p.readWeights)
	p.mux.HandleFunc("POST "+PathRegister, p.register)
	p.mux.HandleFunc("POST "+wire.PathFaults, p.setFaults)
	p.mux.HandleFunc("GET "+wire.PathFaults, p.getFaults)
	p.mux.HandleFunc("GET "+wire.PathCalls, p.getCalls)
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Calls returns the counts and records since the start. It may be called concurrently.
func (p *Platform) Calls() wire.Calls {
	p.once.Do(p.prepare)
	p.mu.Lock()
	defer p.mu.Unlock()
	calls := p.calls
	calls.Orders = append([]wire.EndpointOrder(nil), p.calls.Orders...)
	calls.Reports = append([]wire.UsageReport(nil), p.calls.Reports...)
	calls.Cost = p.fleet.costAt(time.Now())
	return calls
}

// SetFaults replaces the faults; ReclaimZone acts once. It may be called concurrently.
func (p *Platform) SetFaults(f wire.Faults) {
	p.once.Do(p.prepare)
	p.mu.Lock()
	p.faults = f
	p.mu.Unlock()
	if f.ReclaimZone != "" {
		p.fleet.reclaim(f.ReclaimZone, time.Now())
	}
}

// gate counts one call of the object API and reports whether it goes on; it has answered when not.
func (p *Platform) gate(w http.ResponseWriter, count *uint64, l *rate.Limiter) bool {
	p.mu.Lock()
	*count++
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Outage {
		fail(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	if !l.Allow() {
		w.Header().Set("Retry-After", "1")
		fail(w, http.StatusTooManyRequests, "rate")
		return false
	}
	return true
}

// loses reports whether the answer to a write that has taken effect is to be lost.
func (p *Platform) loses(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers == 0 || !strings.HasPrefix(name, p.faults.LosePrefix) {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

func (p *Platform) outage() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.Outage
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f wire.Faults
	if !read(w, r, &f) {
		return
	}
	p.SetFaults(f)
	answer(w, http.StatusOK, f)
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	answer(w, http.StatusOK, f)
}

func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, p.Calls())
}

// Failure is the body of an answer that is not a success.
type Failure struct{ Reason string }

func fail(w http.ResponseWriter, status int, reason string) {
	answer(w, status, Failure{Reason: reason})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func read(w http.ResponseWriter, r *http.Request, body any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(body)
	if err == nil {
		return true
	}
	fail(w, http.StatusBadRequest, err.Error())
	return false
}

// cut closes the caller's connection without an answer.
func cut(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
