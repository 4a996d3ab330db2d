package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	demandInterval    = time.Second
	unservedRetention = 5 * time.Second
	maxUnserved       = 1000
)

// demandTracker reports the queued and running tokens of this daemon. Requests refused for lack of an endpoint count
// as queued for unservedRetention.
type demandTracker struct {
	nextReport time.Duration
	unserved   []unservedRequest
}

type unservedRequest struct {
	at     time.Duration
	demand wire.Demand
}

// recordUnserved records a request that was refused because no endpoint can serve it.
func (d *demandTracker) recordUnserved(now time.Duration, r *request) {
	if len(d.unserved) < maxUnserved {
		d.unserved = append(d.unserved, unservedRequest{at: now, demand: wire.Demand{Model: modelOf(r), Class: string(r.class), Queued: r.item.Cost}})
	}
}

func modelOf(r *request) string {
	if r.arrived.Model != "" {
		return r.arrived.Model
	}
	return r.route.Model
}

func (d *demandTracker) tick(now time.Duration, p *Component, out *event.Batch) {
	if now < d.nextReport {
		return
	}
	d.nextReport = now + demandInterval
	d.unserved = slices.DeleteFunc(d.unserved, func(u unservedRequest) bool { return now-u.at > unservedRetention })
	out.Raise(event.DemandSeen{Demand: d.snapshot(now, p)})
}

// snapshot returns the queued and running tokens, sorted by model and class.
func (d *demandTracker) snapshot(now time.Duration, p *Component) []wire.Demand {
	var all []wire.Demand
	for _, r := range p.requests {
		entry := wire.Demand{Model: modelOf(r), Class: string(r.class)}
		if r.waits() {
			entry.Queued = r.item.Cost
		} else {
			entry.Running = r.item.Cost
		}
		all = append(all, entry)
	}
	for _, u := range d.unserved {
		if now-u.at <= unservedRetention {
			all = append(all, u.demand)
		}
	}
	return mergeDemand(all)
}

// mergeDemand adds up the entries of the same model and class. It reorders all.
func mergeDemand(all []wire.Demand) []wire.Demand {
	slices.SortFunc(all, func(a, b wire.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Class, b.Class))
	})
	var merged []wire.Demand
	for _, d := range all {
		n := len(merged)
		if n == 0 || merged[n-1].Model != d.Model || merged[n-1].Class != d.Class {
			merged = append(merged, d)
			continue
		}
		merged[n-1].Queued += d.Queued
		merged[n-1].Running += d.Running
	}
	return merged
}
