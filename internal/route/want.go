package route

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	preferSlack = 2.0    // mean works of the others up to which a preferred endpoint goes first
	preferSpare = 2000.0 // tokens by which a preferred endpoint may exceed that
)

// Want says what a request needs of its endpoint.
type Want struct {
	Pool       string
	Zone       string     // goes first
	Price      wire.Price // goes first, "" for any
	MinVersion uint64     // least true version, 0 for any
	Avoid      []string
	Limit      int // attempts of this daemon that may run on one endpoint
}

// Serves reports whether the pool has an endpoint that is neither leaving nor ejected at time now.
func (t *Table) Serves(now time.Duration, pool string) bool {
	return slices.ContainsFunc(t.pools[pool], func(e *Endpoint) bool { return e.serves(now) })
}

// Slots returns how many attempts the pool can run at time now when each endpoint runs up to limit.
func (t *Table) Slots(now time.Duration, pool string, limit int) int {
	return limit * t.summary(now, pool).live
}

// Candidates returns the endpoints that may take the request now, narrowed to the preferred ones.
func (t *Table) Candidates(now time.Duration, w Want) []*Endpoint {
	if cs := t.local(now, w); len(cs) > 0 {
		return cs
	}
	var cs []*Endpoint
	for _, e := range t.pools[w.Pool] {
		if fits(now, e, w) {
			cs = append(cs, e)
		}
	}
	cs = prefer(cs, func(e *Endpoint) bool { return !slices.Contains(w.Avoid, e.Name) })
	if w.Price == wire.Cheap {
		cs = prefer(cs, func(e *Endpoint) bool { return e.Price == w.Price })
	} else {
		cs = preferIdle(now, cs, func(e *Endpoint) bool { return e.Price == w.Price })
	}
	return preferIdle(now, cs, func(e *Endpoint) bool { return e.Zone == w.Zone })
}

func fits(now time.Duration, e *Endpoint, w Want) bool {
	return e.Running < w.Limit && e.Version >= w.MinVersion && e.serves(now)
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

// preferIdle returns the candidates that match and are not much busier than the others, or all when none is.
func preferIdle(now time.Duration, cs []*Endpoint, match func(*Endpoint) bool) []*Endpoint {
	bound := preferSlack*meanWork(now, cs, match) + preferSpare
	return prefer(cs, func(e *Endpoint) bool { return match(e) && e.Work(now) <= bound })
}

// meanWork returns the mean work of the candidates that do not match.
func meanWork(now time.Duration, cs []*Endpoint, match func(*Endpoint) bool) float64 {
	sum, n := 0.0, 0
	for _, e := range cs {
		if !match(e) {
			sum += e.Work(now)
			n++
		}
	}
	return sum / float64(max(n, 1))
}
