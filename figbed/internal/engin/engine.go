// Package engin implements a simulated model engine. It batches requests continuously, streams segments with the
// weight version that generated them, caches prompt prefixes, executes swap orders and injects faults on demand.
package engin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/figshift/figshift/figbed/internal/plat"
	"github.com/figshift/figshift/figbed/internal/seen"
	"github.com/figshift/figshift/internal/wire"
)

// Engine is a simulated model engine. Set the fields before the first request.
type Engine struct {
	Name             string
	Incarnation      string
	Model            string
	Role             string
	Version          uint64  // weight version at the start
	TokensPerSecond  float64 // generated tokens per second, shared by the running requests
	RequestRate      float64 // maximum of tokens per second for one request; 0 means TokensPerSecond
	PrefillRate      float64 // uncached prompt tokens that are processed per second; 0 means no delay
	TokensPerSegment int
	MaxRunning       int
	MaxQueue         int
	CacheTokens      int           // capacity of the cache in prompt tokens
	EventLag         time.Duration // time until a cache event becomes visible
	EventGap         uint64        // each EventGap-th cache event is lost; 0 loses none
	LoadLag          time.Duration // age of the load reports
	SwapTime         time.Duration // duration of a weight swap, in which no token is generated
	ChecksFencing    bool          // refuse swap orders with an older fencing number
	StragglerShare   float64       // fraction of the attempts that run StragglerFactor times slower
	StragglerFactor  float64
	Seed             uint64         // selects the stragglers
	Exit             func(code int) // called by the crash fault

	once        sync.Once
	mux         *http.ServeMux
	recorder    seen.Recorder
	batch       batch
	cache       promptCache
	loadReports delayedLoads
	swapState   swapState
	groundTruth groundTruth
	mu          sync.Mutex
	faults      Faults
	halted      bool
	starts      int
}

// ServeHTTP handles one request to the engine. It may be called concurrently.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.prepare)
	if e.isHalted() && r.URL.Path != plat.PathAssign && r.URL.Path != seen.Path {
		panic(http.ErrAbortHandler)
	}
	if e.currentFaults().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) prepare() {
	e.setDefaults()
	e.batch.prepare(e.MaxRunning, e.MaxQueue)
	e.cache.prepare(e.CacheTokens, e.EventLag, e.EventGap)
	e.loadReports.lag = e.LoadLag
	e.swapState.prepare(e)
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+wire.PathGenerate, e.generate)
	e.mux.HandleFunc("POST "+wire.PathCancel, e.cancel)
	e.mux.HandleFunc("GET "+wire.PathLoad, e.load)
	e.mux.HandleFunc("GET "+wire.PathState, e.state)
	e.mux.HandleFunc("POST "+wire.PathSwap, e.swap)
	e.mux.HandleFunc("GET "+wire.PathEvents, e.events)
	e.mux.HandleFunc("POST "+wire.PathExport, e.exportPrompt)
	e.mux.HandleFunc("POST "+wire.PathImport, e.importPrompt)
	e.mux.HandleFunc("POST "+wire.PathFaults, e.setFaults)
	e.mux.HandleFunc("GET "+wire.PathFaults, e.getFaults)
	e.mux.HandleFunc("POST "+plat.PathAssign, e.assign)
	e.mux.HandleFunc("POST "+plat.PathHalt, e.halt)
	e.mux.Handle("GET "+seen.Path, &e.recorder)
	e.mux.Handle("GET "+PathGroundTruth, &e.groundTruth)
}

func (e *Engine) setDefaults() {
	e.TokensPerSecond = valueOrDefault(e.TokensPerSecond, 4000)
	e.RequestRate = valueOrDefault(e.RequestRate, e.TokensPerSecond)
	e.StragglerFactor = valueOrDefault(e.StragglerFactor, 10)
	e.TokensPerSegment = valueOrDefault(e.TokensPerSegment, 4)
	e.MaxRunning = valueOrDefault(e.MaxRunning, 32)
	e.MaxQueue = valueOrDefault(e.MaxQueue, 1024)
	e.CacheTokens = valueOrDefault(e.CacheTokens, 20000)
	e.Role = valueOrDefault(e.Role, "Serve")
}

func valueOrDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Record returns the requests that the engine has received. It may be called concurrently.
func (e *Engine) Record() seen.Record { return e.recorder.Record() }

func (e *Engine) isHalted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.halted
}

// assign turns a spare engine into the endpoint that a start order of the platform describes.
func (e *Engine) assign(w http.ResponseWriter, r *http.Request) {
	var to wire.Endpoint
	if !e.readJSON(w, r, &to) {
		return
	}
	e.mu.Lock()
	e.Incarnation = to.Incarnation
	e.Model = to.Model
	e.halted = false
	e.mu.Unlock()
	e.cache.clear()
	writeJSON(w, to)
}

// halt simulates the end of a stopped or reclaimed engine: it cancels all jobs, and later calls get no response.
func (e *Engine) halt(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.halted = true
	e.mu.Unlock()
	e.batch.cancelAll()
	writeJSON(w, struct{}{})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.loadReports.report(time.Now(), e.batch.load()))
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, e.cache.eventsAfter(r.URL.Query().Get("After"), time.Now()))
}

func (e *Engine) exportPrompt(w http.ResponseWriter, r *http.Request) {
	var ref wire.KVRef
	if !e.readJSON(w, r, &ref) {
		return
	}
	if e.cache.cachedTokens(ref.Prompt) == 0 {
		http.Error(w, "prompt is not cached", http.StatusNotFound)
		return
	}
	writeJSON(w, wire.KVBlob{Prompt: ref.Prompt, Version: e.swapState.version(), Data: []byte(ref.Prompt)})
}

func (e *Engine) importPrompt(w http.ResponseWriter, r *http.Request) {
	var blob wire.KVBlob
	if !e.readJSON(w, r, &blob) {
		return
	}
	if blob.Version != e.swapState.version() {
		http.Error(w, "prompt was cached with another weight version", http.StatusConflict)
		return
	}
	e.cache.add(blob.Prompt)
	writeJSON(w, struct{}{})
}

// readJSON records the request and decodes its body. When that fails, it writes an error response and returns false.
func (e *Engine) readJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	data, err := readBody(w, r)
	e.recorder.Add(r, data)
	if err == nil {
		err = json.Unmarshal(data, body)
	}
	if err == nil {
		return true
	}
	w.Header().Set(wire.HeaderNotRun, "true")
	http.Error(w, err.Error(), http.StatusBadRequest)
	return false
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
