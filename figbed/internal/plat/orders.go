package plat

import (
	"net/http"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	var g Registration
	if !read(w, r, &g) {
		return
	}
	p.fleet.register(g, time.Now())
	answer(w, http.StatusOK, g.Endpoint)
}

func (p *Platform) listEndpoints(w http.ResponseWriter, _ *http.Request) {
	if !p.gate(w, &p.calls.Reads, p.reads) {
		return
	}
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	answer(w, http.StatusOK, p.fleet.listAt(time.Now(), f))
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o wire.EndpointOrder
	if !read(w, r, &o) {
		return
	}
	p.mu.Lock()
	p.calls.Orders = append(p.calls.Orders, o)
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	reply := p.fleet.order(o, f.NoneToBeHad, time.Now())
	if p.loses("order") {
		cut(w)
	}
	answer(w, http.StatusOK, reply)
}

func (p *Platform) usage(w http.ResponseWriter, r *http.Request) {
	var u wire.UsageReport
	if !read(w, r, &u) {
		return
	}
	p.mu.Lock()
	p.calls.Reports = append(p.calls.Reports, u)
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if p.loses("usage") {
		cut(w)
	}
	answer(w, http.StatusOK, u)
}

func (p *Platform) readWeights(w http.ResponseWriter, r *http.Request) {
	var slot wire.WeightRead
	if !read(w, r, &slot) {
		return
	}
	if !p.weights.Allow() {
		w.Header().Set("Retry-After", "1")
		fail(w, http.StatusTooManyRequests, "rate")
		return
	}
	answer(w, http.StatusOK, slot)
}
