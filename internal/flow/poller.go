package flow

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/route"
	"github.com/figshift/figshift/internal/wire"
)

const (
	pollInterval       = time.Second
	pollersPerEndpoint = 2 // number of daemons that poll each endpoint
	reportRetention    = 3 * time.Second
	ringSalt           = "/ring" // without it the two hashes of a host's name would cancel out in route.Rank
)

// poller polls the load and version of the endpoints that consistent hashing assigns to this daemon
// and keeps the reports for the heartbeats.
type poller struct {
	host     string
	peers    []string        // names of the other hosts
	ring     []ringPoint     // all hosts, sorted by hash
	lost     map[string]bool // hosts from which no heartbeats arrive
	nextPoll time.Duration
	reports  []report // sorted by endpoint
}

// ringPoint is the position of a host on the hash ring.
type ringPoint struct {
	hash uint64
	name string
}

type report struct {
	wire.LoadReport
	at   time.Duration // time at which the load was read
	sent bool          // a heartbeat has carried it
}

func (pl *poller) setHosts(hosts []event.Host) {
	pl.peers, pl.ring = pl.peers[:0], pl.ring[:0]
	for _, h := range hosts {
		pl.ring = append(pl.ring, ringPoint{hash: route.Rank(xxhash.Sum64String(h.Name), h.Name+ringSalt), name: h.Name})
		if h.Name != pl.host {
			pl.peers = append(pl.peers, h.Name)
		}
	}
	slices.SortFunc(pl.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

func (pl *poller) tick(now time.Duration, table *route.Table, limits limit.Gate, out *event.Batch) {
	if now < pl.nextPoll {
		return
	}
	pl.nextPoll = now + pollInterval
	pl.reports = slices.DeleteFunc(pl.reports, func(r report) bool { return now-r.at > reportRetention })
	for _, e := range table.All() {
		if pl.assigned(e.Name) {
			if !limits.Allowance(now, markOf(e), limit.Polls).Allows() {
				continue
			}
			limits.Take(now, markOf(e), limit.Polls, callsPerPoll(e))
			out.Emit(event.PollEndpoint{
				Endpoint:    e.Name,
				Incarnation: e.Incarnation,
				Address:     e.Address,
				Engine:      e.Kind == wire.Engine,
			})
		}
	}
}

// callsPerPoll returns the number of calls that an endpoint gets for one poll: an engine's state is read too.
func callsPerPoll(e *route.Endpoint) int {
	if e.Kind == wire.Engine {
		return 2
	}
	return 1
}

// assigned reports whether this daemon is among those that poll an endpoint: the hosts that follow the endpoint's hash
// on the ring. This costs less than rendezvous hashing for each endpoint and reassigns as few endpoints when a host
// leaves the fleet.
func (pl *poller) assigned(endpoint string) bool {
	hash, n := xxhash.Sum64String(endpoint), len(pl.ring)
	first, _ := slices.BinarySearchFunc(pl.ring, hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	for i, found := 0, 0; i < n && found < pollersPerEndpoint; i++ {
		p := pl.ring[(first+i)%n]
		if p.name == pl.host {
			return true
		}
		if !pl.lost[p.name] {
			found++
		}
	}
	return n == 0
}

func (pl *poller) record(now time.Duration, e event.EndpointPolled) {
	r := report{
		LoadReport: wire.LoadReport{Endpoint: e.Endpoint, Incarnation: e.Incarnation, Version: e.Version, Tokens: e.Tokens},
		at:         now - e.Age,
	}
	i, ok := slices.BinarySearchFunc(pl.reports, e.Endpoint, func(k report, name string) int {
		return strings.Compare(k.Endpoint, name)
	})
	if ok {
		pl.reports[i] = r
		return
	}
	pl.reports = slices.Insert(pl.reports, i, r)
}

// takeUnsent returns the reports that no heartbeat has carried yet and marks them as sent.
func (pl *poller) takeUnsent(now time.Duration) []wire.LoadReport {
	var all []wire.LoadReport
	for i := range pl.reports {
		r := &pl.reports[i]
		if r.sent {
			continue
		}
		r.sent = true
		r.AgeMS = (now - r.at).Milliseconds()
		all = append(all, r.LoadReport)
	}
	return all
}

func (p *Component) handlePolled(now time.Duration, e event.EndpointPolled, out *event.Batch) {
	if e.Leaving {
		p.markLeaving(now, wire.LeaveMark{Endpoint: e.Endpoint, Incarnation: e.Incarnation}, out)
	}
	if !e.OK {
		return
	}
	p.poller.record(now, e)
	p.table.ApplyLoad(now, wire.LoadReport{
		Endpoint:    e.Endpoint,
		Incarnation: e.Incarnation,
		Version:     e.Version,
		Tokens:      e.Tokens,
		AgeMS:       e.Age.Milliseconds(),
	})
	p.dispatch(now, out)
}
