// Package engin is the stand-in of a model engine: it batches continuously, streams segments with the version
// that produced them, caches prompt prefixes and takes swap orders, with faults on demand.
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

// Engine is the stand-in of a model engine. Set the fields before the first request.
type Engine struct {
	Name             string
	Incarnation      string
	Model            string
	Role             string
	Version          uint64 // at the start
	TokensPerSecond  float64
	RequestRate      float64 // the most tokens a second that one request gets; 0 is TokensPerSecond
	PrefillRate      float64 // prompt tokens a second that are not cached; 0 is at once
	TokensPerSegment int
	MaxRunning       int
	MaxQueue         int
	CacheTokens      int // prompt tokens that the cache holds
	EventLag         time.Duration
	EventGap         uint64 // each EventGap-th cache event is lost; 0 loses none
	LoadLag          time.Duration
	SwapTime         time.Duration
	ChecksFencing    bool
	StragglerShare   float64 // share of the attempts that run StragglerFactor times slower
	StragglerFactor  float64
	Seed             uint64
	Exit             func(code int) // called by the crash fault

	once   sync.Once
	mux    *http.ServeMux
	log    seen.Log
	batch  batch
	cache  cache
	loads  loads
	swaps  swaps
	truth  truth
	mu     sync.Mutex
	faults Faults
	halted bool
	starts int
}

// ServeHTTP answers one call to the engine. It may be called concurrently.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.prepare)
	if e.isHalted() && r.URL.Path != plat.PathAssign && r.URL.Path != seen.Path {
		panic(http.ErrAbortHandler)
	}
	if e.faultsNow().Leaving {
		w.Header().Set(wire.HeaderLeaving, "true")
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) prepare() {
	e.setDefaults()
	e.batch.prepare(e.MaxRunning, e.MaxQueue)
	e.cache.prepare(e.CacheTokens, e.EventLag, e.EventGap)
	e.loads.lag = e.LoadLag
	e.swaps.prepare(e)
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+wire.PathGenerate, e.generate)
	e.mux.HandleFunc("POST "+wire.PathCancel, e.cancel)
	e.mux.HandleFunc("GET "+wire.PathLoad, e.load)
	e.mux.HandleFunc("GET "+wire.PathState, e.state)
	e.mux.HandleFunc("POST "+wire.PathSwap, e.swap)
	e.mux.HandleFunc("GET "+wire.PathEvents, e.events)
	e.mux.HandleFunc("POST "+wire.PathExport, e.export)
	e.mux.HandleFunc("POST "+wire.PathImport, e.take)
	e.mux.HandleFunc("POST "+wire.PathFaults, e.setFaults)
	e.mux.HandleFunc("GET "+wire.PathFaults, e.getFaults)
	e.mux.HandleFunc("POST "+plat.PathAssign, e.assign)
	e.mux.HandleFunc("POST "+plat.PathHalt, e.halt)
	e.mux.Handle("GET "+seen.Path, &e.log)
	e.mux.Handle("GET "+PathTruth, &e.truth)
}

func (e *Engine) setDefaults() {
	e.TokensPerSecond = either(e.TokensPerSecond, 4000)
	e.RequestRate = either(e.RequestRate, e.TokensPerSecond)
	e.StragglerFactor = either(e.StragglerFactor, 10)
	e.TokensPerSegment = either(e.TokensPerSegment, 4)
	e.MaxRunning = either(e.MaxRunning, 32)
	e.MaxQueue = either(e.MaxQueue, 1024)
	e.CacheTokens = either(e.CacheTokens, 20000)
	e.Role = either(e.Role, "Serve")
}

func either[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}

// Record returns what the engine received. It may be called concurrently.
func (e *Engine) Record() seen.Record { return e.log.Record() }

func (e *Engine) isHalted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.halted
}

// assign makes a spare engine the endpoint that the platform's order started.
func (e *Engine) assign(w http.ResponseWriter, r *http.Request) {
	var to wire.Endpoint
	if !e.read(w, r, &to) {
		return
	}
	e.mu.Lock()
	e.Incarnation = to.Incarnation
	e.Model = to.Model
	e.halted = false
	e.mu.Unlock()
	e.cache.clear()
	answer(w, to)
}

// halt ends the engine as a stop or a reclaim does: what runs is cut and further calls get no answer.
func (e *Engine) halt(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.halted = true
	e.mu.Unlock()
	e.batch.cutAll()
	answer(w, struct{}{})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	answer(w, e.loads.at(time.Now(), e.batch.load()))
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	answer(w, e.cache.after(r.URL.Query().Get("After"), time.Now()))
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var ref wire.KVRef
	if !e.read(w, r, &ref) {
		return
	}
	if e.cache.cached(ref.Prompt) == 0 {
		http.Error(w, "not cached", http.StatusNotFound)
		return
	}
	answer(w, wire.KVBlob{Prompt: ref.Prompt, Version: e.swaps.version(), Data: []byte(ref.Prompt)})
}

func (e *Engine) take(w http.ResponseWriter, r *http.Request) {
	var blob wire.KVBlob
	if !e.read(w, r, &blob) {
		return
	}
	if blob.Version != e.swaps.version() {
		http.Error(w, "other version", http.StatusConflict)
		return
	}
	e.cache.add(blob.Prompt)
	answer(w, struct{}{})
}

// read decodes a body and records the request; it has answered when it returns false.
func (e *Engine) read(w http.ResponseWriter, r *http.Request, body any) bool {
	data, err := readAll(w, r)
	e.log.Add(r, data)
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

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
