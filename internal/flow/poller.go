package flow

import (
	"cmp"
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
	ringSalt   = "/ring"
)

// poller reads the load and version of the endpoints that rendezvous hashing gives to this daemon
// and keeps the answers for the beats.
type poller struct {
	host  string
	hosts []string        // the others
	ring  []point         // all hosts by hash
	lost  map[string]bool // those that send no beats
	next  time.Duration
	known []report // sorted by endpoint
}

// point is one host's place on the ring.
type point struct {
	hash uint64
	name string
}

type report struct {
	wire.LoadReport
	at   time.Duration // time that the report tells of
	sent bool
}

func (w *poller) setHosts(hosts []event.Host) {
	w.hosts, w.ring = w.hosts[:0], w.ring[:0]
	for _, h := range hosts {
		w.ring = append(w.ring, point{hash: route.Rank(xxhash.Sum64String(h.Name), h.Name+ringSalt), name: h.Name})
		if h.Name != w.host {
			w.hosts = append(w.hosts, h.Name)
		}
	}
	slices.SortFunc(w.ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
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

// mine reports whether this daemon is among those that poll an endpoint: the next hosts on a ring of hashes,
// which costs less than a rendezvous for each endpoint and moves as few when a host goes.
func (w *poller) mine(endpoint string) bool {
	hash, n := xxhash.Sum64String(endpoint), len(w.ring)
	from, _ := slices.BinarySearchFunc(w.ring, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
	for i, found := 0, 0; i < n && found < pollersOf; i++ {
		p := w.ring[(from+i)%n]
		if p.name == w.host {
			return true
		}
		if !w.lost[p.name] {
			found++
		}
	}
	return n == 0
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
