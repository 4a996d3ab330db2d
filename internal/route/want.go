package route

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	localSlack = 2.0    // mean works up to which an endpoint of the local zone goes first
	localSpare = 2000.0 // tokens by which any local endpoint may exceed that
)

// Want says what a request needs of its endpoint.
type Want struct {
	Pool       string
	Zone       string // goes first
	Cheap      bool   // cheap endpoints go first
	MinVersion uint64 // least true version, 0 for any
	Avoid      []string
	Limit      int // attempts of this daemon that may run on one endpoint
}

// Serves reports whether the pool has an endpoint that is not leaving.
func (t *Table) Serves(pool string) bool {
	return slices.ContainsFunc(t.pools[pool], func(e *Endpoint) bool {
		return e.listed && t.State(e) == wire.Live
	})
}

// Candidates returns the endpoints that may take the request now, narrowed to the preferred ones.
func (t *Table) Candidates(now time.Duration, w Want) []*Endpoint {
	var cs []*Endpoint
	for _, e := range t.pools[w.Pool] {
		if t.fits(now, e, w) {
			cs = append(cs, e)
		}
	}
	cs = prefer(cs, func(e *Endpoint) bool { return !slices.Contains(w.Avoid, e.Name) })
	if w.Cheap {
		cs = prefer(cs, func(e *Endpoint) bool { return e.Price == wire.Cheap })
	}
	bound := localSlack*meanWork(now, cs) + localSpare
	return prefer(cs, func(e *Endpoint) bool { return e.Zone == w.Zone && e.Work(now) <= bound })
}

func (t *Table) fits(now time.Duration, e *Endpoint, w Want) bool {
	if !e.listed || e.State != wire.Live || e.Running >= w.Limit {
		return false
	}
	return e.Version >= w.MinVersion && !e.Ejected(now) && !t.leaving(e)
}

// prefer returns the candidates that match, or all when none does.
func prefer(cs []*Endpoint, match func(*Endpoint) bool) []*Endpoint {
	var kept []*Endpoint
	for _, e := range cs {
		if match(e) {
			kept = append(kept, e)
		}
	}
	if len(kept) == 0 {
		return cs
	}
	return kept
}

func meanWork(now time.Duration, cs []*Endpoint) float64 {
	if len(cs) == 0 {
		return 0
	}
	sum := 0.0
	for _, e := range cs {
		sum += e.Work(now)
	}
	return sum / float64(len(cs))
}
