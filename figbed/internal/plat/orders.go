package plat

import (
	"net/http"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var registration Registration
	if !readJSON(w, r, &registration) {
		return
	}
	p.fleet.register(registration, time.Now())
	writeJSON(w, http.StatusOK, registration.Endpoint)
}

func (p *Platform) listEndpoints(w http.ResponseWriter, _ *http.Request) {
	if !p.admit(w, &p.calls.Reads, p.readLimiter) {
		return
	}
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, p.fleet.listAt(time.Now(), f))
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o wire.EndpointOrder
	if !readJSON(w, r, &o) {
		return
	}
	p.mu.Lock()
	p.calls.Orders = append(p.calls.Orders, o)
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	reply := p.fleet.execute(o, f.NoneToBeHad, time.Now())
	if p.takeLostAnswer("order") {
		abortResponse(w)
	}
	writeJSON(w, http.StatusOK, reply)
}

func (p *Platform) reportUsage(w http.ResponseWriter, r *http.Request) {
	var u wire.UsageReport
	if !readJSON(w, r, &u) {
		return
	}
	p.mu.Lock()
	p.calls.Reports = append(p.calls.Reports, u)
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if p.takeLostAnswer("usage") {
		abortResponse(w)
	}
	writeJSON(w, http.StatusOK, u)
}

func (p *Platform) readWeights(w http.ResponseWriter, r *http.Request) {
	var request wire.WeightRead
	if !readJSON(w, r, &request) {
		return
	}
	if !p.weightLimiter.Allow() {
		w.Header().Set("Retry-After", "1")
		writeFailure(w, http.StatusTooManyRequests, "rate limit exceeded")
		return
	}
	writeJSON(w, http.StatusOK, request)
}
