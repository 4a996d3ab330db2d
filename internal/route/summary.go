package route

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	smallPool        = 64                     // number of endpoints up to which the summary of a pool is always recomputed
	summaryRetention = 250 * time.Millisecond // time for which the summary of a larger pool is reused
)

// poolZone identifies the endpoints of a pool in one availability zone.
type poolZone struct{ pool, zone string }

// workSum is the total work of n endpoints.
type workSum struct {
	work float64
	n    int
}

// summary aggregates the endpoints of a pool that accept requests, so that a request need not look at each of them.
type summary struct {
	at        time.Duration
	available int // number of endpoints summarised
	all       workSum
	zones     map[string]workSum
	prices    map[wire.Price]bool
	software  map[string]int // number of endpoints by software version
}

// summary returns the summary of a pool and recomputes it when it is too old.
func (t *Table) summary(now time.Duration, pool string) *summary {
	s, ok := t.summaries[pool]
	if ok && len(t.pools[pool]) > smallPool && now-s.at < summaryRetention {
		return s
	}
	s = &summary{at: now, zones: map[string]workSum{}, prices: map[wire.Price]bool{}, software: map[string]int{}}
	for _, e := range t.pools[pool] {
		if e.acceptsRequests(now) {
			s.add(e, e.Work(now))
		}
	}
	if t.summaries != nil {
		t.summaries[pool] = s
	}
	return s
}

func (s *summary) add(e *Endpoint, work float64) {
	s.available++
	s.prices[e.Price] = true
	s.software[e.Software]++
	s.all.work, s.all.n = s.all.work+work, s.all.n+1
	z := s.zones[e.Zone]
	s.zones[e.Zone] = workSum{work: z.work + work, n: z.n + 1}
}

// hasMainSoftware reports whether no software version has more endpoints than that of e.
func (s *summary) hasMainSoftware(e *Endpoint) bool {
	for _, n := range s.software {
		if n > s.software[e.Software] {
			return false
		}
	}
	return true
}

// meanWorkOutside returns the mean work of the endpoints outside an availability zone.
func (s *summary) meanWorkOutside(zone string) float64 {
	z := s.zones[zone]
	return (s.all.work - z.work) / float64(max(1, s.all.n-z.n))
}

// localCandidates returns the endpoints of the wanted availability zone that meet every preference and are not much
// busier than those of the other zones.
func (t *Table) localCandidates(now time.Duration, r Requirements) []*Endpoint {
	s := t.summary(now, r.Pool)
	limit := preferredMaxLoad*s.meanWorkOutside(r.Zone) + preferredAllowance
	var cs []*Endpoint
	for _, e := range t.zones[poolZone{pool: r.Pool, zone: r.Zone}] {
		if r.LeaveRoom && !s.hasMainSoftware(e) {
			continue
		}
		suits := r.Price == "" || e.Price == r.Price || !s.prices[r.Price]
		if suits && canTake(now, e, r) && !slices.Contains(r.Avoid, e.Name) && e.Work(now) <= limit {
			cs = append(cs, e)
		}
	}
	return cs
}

// acceptsRequests reports whether requests may be sent to the endpoint at time now.
func (e *Endpoint) acceptsRequests(now time.Duration) bool {
	return e.listed && !e.hasLeaveMark && e.State == wire.Live && !e.Ejected(now)
}
