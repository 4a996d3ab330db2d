package route

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	smallPool    = 64                     // endpoints up to which a summary is always made anew
	summaryKeeps = 250 * time.Millisecond // time for which the summary of a larger pool is used
)

// place is one zone of a pool.
type place struct{ pool, zone string }

// sum is the work of some endpoints.
type sum struct {
	work float64
	n    int
}

// summary is what is known of a whole pool, so that a request need not look at every endpoint.
type summary struct {
	at     time.Duration
	live   int // endpoints that serve
	all    sum
	zones  map[string]sum
	prices map[wire.Price]bool
}

// summary returns the summary of a pool, made anew when it is too old.
func (t *Table) summary(now time.Duration, pool string) *summary {
	s, ok := t.summaries[pool]
	if ok && len(t.pools[pool]) > smallPool && now-s.at < summaryKeeps {
		return s
	}
	s = &summary{at: now, zones: map[string]sum{}, prices: map[wire.Price]bool{}}
	for _, e := range t.pools[pool] {
		if e.serves(now) {
			s.add(e, e.Work(now))
		}
	}
	if t.summaries != nil {
		t.summaries[pool] = s
	}
	return s
}

func (s *summary) add(e *Endpoint, work float64) {
	s.live++
	s.prices[e.Price] = true
	s.all.work, s.all.n = s.all.work+work, s.all.n+1
	z := s.zones[e.Zone]
	s.zones[e.Zone] = sum{work: z.work + work, n: z.n + 1}
}

// others returns the mean work of the endpoints outside a zone.
func (s *summary) others(zone string) float64 {
	z := s.zones[zone]
	return (s.all.work - z.work) / float64(max(1, s.all.n-z.n))
}

// local returns the endpoints of the wanted zone that meet every preference and are not much busier than the others.
func (t *Table) local(now time.Duration, w Want) []*Endpoint {
	s := t.summary(now, w.Pool)
	bound := preferSlack*s.others(w.Zone) + preferSpare
	var cs []*Endpoint
	for _, e := range t.zones[place{pool: w.Pool, zone: w.Zone}] {
		suits := w.Price == "" || e.Price == w.Price || !s.prices[w.Price]
		if suits && fits(now, e, w) && !slices.Contains(w.Avoid, e.Name) && e.Work(now) <= bound {
			cs = append(cs, e)
		}
	}
	return cs
}

// serves reports whether the endpoint may get work at time now.
func (e *Endpoint) serves(now time.Duration) bool {
	return e.listed && !e.left && e.State == wire.Live && !e.Ejected(now)
}
