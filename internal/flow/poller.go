package flow

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

const (
	pollEvery  = time.Second
	pollersOf  = 2 // daemons that poll one endpoint
	reportKeep = 3 * time.Second
)

// poller reads the load and version of the endpoints that rendezvous hashing gives to this daemon
// and keeps the answers for the beats.
type poller struct {
	host  string
	hosts []string        // the others
	lost  map[string]bool // those that send no beats
	next  time.Duration
	known []report // sorted by endpoint
}

type report struct {
	wire.LoadReport
	at   time.Duration // time that the report tells of
	sent bool
}

func (w *poller) setHosts(hosts []event.Host) {
	w.hosts = w.hosts[:0]
	for _, h := range hosts {
		if h.Name != w.host {
			w.hosts = append(w.hosts, h.Name)
		}
	}
}

func (w *poller) tick(now time.Duration, table *route.Table, out *event.Batch) {
	if now < w.next {
		return
	}
	w.next = now + pollEvery
	w.known = slices.DeleteFunc(w.known, func(r report) bool { return now-r.at > reportKeep })
	for _, e := range table.All() {
		if w.mine(e.Name) {
			out.Emit(event.PollEndpoint{
				Endpoint:    e.Name,
				Incarnation: e.Incarnation,
				Address:     e.Address,
				Engine:      e.Kind == wire.Engine,
			})
		}
	}
}

// mine reports whether this daemon is among those that poll an endpoint.
func (w *poller) mine(endpoint string) bool {
	hash := xxhash.Sum64String(endpoint)
	own, above := route.Rank(hash, w.host), 0
	for _, h := range w.hosts {
		if !w.lost[h] && route.Rank(hash, h) > own {
			above++
		}
	}
	return above < pollersOf
}

func (w *poller) keep(now time.Duration, e event.EndpointPolled) {
	r := report{
		LoadReport: wire.LoadReport{Endpoint: e.Endpoint, Incarnation: e.Incarnation, Version: e.Version, Tokens: e.Tokens},
		at:         now - e.Age,
	}
	i, ok := slices.BinarySearchFunc(w.known, e.Endpoint, func(k report, name string) int {
		return strings.Compare(k.Endpoint, name)
	})
	if ok {
		w.known[i] = r
		return
	}
	w.known = slices.Insert(w.known, i, r)
}

// news returns the reports that no beat has carried yet.
func (w *poller) news(now time.Duration) []wire.LoadReport {
	var all []wire.LoadReport
	for i := range w.known {
		r := &w.known[i]
		if r.sent {
			continue
		}
		r.sent = true
		r.AgeMS = (now - r.at).Milliseconds()
		all = append(all, r.LoadReport)
	}
	return all
}

func (p *Part) polled(now time.Duration, e event.EndpointPolled, out *event.Batch) {
	if e.Leaving {
		p.leave(now, wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}, out)
	}
	if !e.OK {
		return
	}
	p.polls.keep(now, e)
	p.table.Report(now, wire.LoadReport{
		Endpoint:    e.Endpoint,
		Incarnation: e.Incarnation,
		Version:     e.Version,
		Tokens:      e.Tokens,
		AgeMS:       e.Age.Milliseconds(),
	})
	p.dispatch(now, out)
}
