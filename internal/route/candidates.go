package route

import (
	"iter"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	preferredMaxLoad   = 2.0    // work of a preferred endpoint up to which it is chosen, as a multiple of the mean work of the others
	preferredAllowance = 2000.0 // tokens by which the work may exceed that
)

// Requirements describes the endpoints that a request can use.
type Requirements struct {
	Pool       string
	Zone       string     // preferred availability zone
	Price      wire.Price // preferred price, "" for any
	MinVersion uint64     // minimum weight version, 0 for any
	Avoid      []string   // endpoints to use only when there is no other
	MaxRunning int        // maximum number of active attempts of this daemon at one endpoint
	Software   *string    // the only software version that can go on with a stream that has begun, nil for any
	// LeaveRoom prefers the software version that most endpoints have, so that streams that began at the others find room.
	LeaveRoom bool
	// Allows reports whether an endpoint's limit, if it names one, allows another request of this daemon now; nil for no
	// limits.
	Allows func(e *Endpoint) bool
}

// Serves reports whether the pool has an endpoint that is neither leaving nor ejected at time now.
func (t *Table) Serves(now time.Duration, pool string) bool {
	return slices.ContainsFunc(t.pools[pool], func(e *Endpoint) bool { return e.acceptsRequests(now) })
}

// ServesSoftware reports whether the pool has an endpoint with a software version that is neither leaving nor ejected at
// time now.
func (t *Table) ServesSoftware(now time.Duration, pool, software string) bool {
	return slices.ContainsFunc(t.pools[pool], func(e *Endpoint) bool { return e.hasSoftware(&software) && e.acceptsRequests(now) })
}

// Listed reports whether the latest list has an endpoint of the pool, whatever its state.
func (t *Table) Listed(pool string) bool {
	return slices.ContainsFunc(t.pools[pool], func(e *Endpoint) bool { return e.listed })
}

// Versioned reports whether an endpoint of the pool tells its software version.
func (t *Table) Versioned(pool string) bool {
	return slices.ContainsFunc(t.pools[pool], func(e *Endpoint) bool { return e.Software != "" })
}

// Slots returns how many attempts the pool can run at time now when each endpoint runs up to limit.
func (t *Table) Slots(now time.Duration, pool string, limit int) int {
	return limit * t.summary(now, pool).available
}

// Candidates returns the endpoints that can take the request at time now, narrowed to the preferred ones.
func (t *Table) Candidates(now time.Duration, r Requirements) []*Endpoint {
	if cs := t.localCandidates(now, r); len(cs) > 0 {
		return cs
	}
	var cs []*Endpoint
	for _, e := range t.pools[r.Pool] {
		if canTake(now, e, r) {
			cs = append(cs, e)
		}
	}
	cs = prefer(cs, func(e *Endpoint) bool { return !slices.Contains(r.Avoid, e.Name) })
	if r.LeaveRoom {
		cs = preferUnlessBusy(now, cs, t.summary(now, r.Pool).hasMainSoftware)
	}
	if r.Price == wire.Cheap {
		cs = prefer(cs, func(e *Endpoint) bool { return e.Price == r.Price })
	} else {
		cs = preferUnlessBusy(now, cs, func(e *Endpoint) bool { return e.Price == r.Price })
	}
	return preferUnlessBusy(now, cs, func(e *Endpoint) bool { return e.Zone == r.Zone })
}

func canTake(now time.Duration, e *Endpoint, r Requirements) bool {
	return e.Running < r.MaxRunning && e.hasSoftware(r.Software) && e.Version >= r.MinVersion && e.acceptsRequests(now) && (r.Allows == nil || r.Allows(e))
}

// hasSoftware reports whether the endpoint has a software version; nil stands for any.
func (e *Endpoint) hasSoftware(software *string) bool {
	return software == nil || e.Software == *software
}

// Accepting yields the endpoints of a pool that are neither leaving nor ejected at time now.
func (t *Table) Accepting(now time.Duration, pool string) iter.Seq[*Endpoint] {
	return func(yield func(*Endpoint) bool) {
		for _, e := range t.pools[pool] {
			if e.acceptsRequests(now) && !yield(e) {
				return
			}
		}
	}
}

// prefer returns the candidates that match, or all if none does.
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

// preferUnlessBusy returns the candidates that match and are not much busier than the others, or all if there is none.
func preferUnlessBusy(now time.Duration, cs []*Endpoint, match func(*Endpoint) bool) []*Endpoint {
	limit := preferredMaxLoad*meanWork(now, cs, match) + preferredAllowance
	return prefer(cs, func(e *Endpoint) bool { return match(e) && e.Work(now) <= limit })
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
