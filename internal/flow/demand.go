package flow

import (
	"cmp"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	demandEvery = time.Second
	missKeep    = 5 * time.Second
	mostMisses  = 1000
)

// demand tells how many tokens wait and run here, those refused for want of an endpoint included.
type demand struct {
	next   time.Duration
	misses []miss
}

type miss struct {
	at     time.Duration
	wanted wire.Demand
}

// miss records a request that no endpoint could serve.
func (d *demand) miss(now time.Duration, r *request) {
	if len(d.misses) < mostMisses {
		d.misses = append(d.misses, miss{at: now, wanted: wire.Demand{Model: modelOf(r), Class: string(r.class), Queued: r.item.Cost}})
	}
}

func modelOf(r *request) string {
	if r.arrived.Model != "" {
		return r.arrived.Model
	}
	return r.route.Model
}

func (d *demand) tick(now time.Duration, p *Part, out *event.Batch) {
	if now < d.next {
		return
	}
	d.next = now + demandEvery
	d.misses = slices.DeleteFunc(d.misses, func(m miss) bool { return now-m.at > missKeep })
	out.Raise(event.DemandSeen{Demand: d.now(now, p)})
}

// now returns the tokens by model and class, sorted.
func (d *demand) now(now time.Duration, p *Part) []wire.Demand {
	var all []wire.Demand
	for _, r := range p.requests {
		w := wire.Demand{Model: modelOf(r), Class: string(r.class)}
		if r.phase == queued || r.phase == backingOff {
			w.Queued = r.item.Cost
		} else {
			w.Running = r.item.Cost
		}
		all = append(all, w)
	}
	for _, m := range d.misses {
		if now-m.at <= missKeep {
			all = append(all, m.wanted)
		}
	}
	return sum(all)
}

func sum(all []wire.Demand) []wire.Demand {
	slices.SortFunc(all, func(a, b wire.Demand) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Class, b.Class))
	})
	var sums []wire.Demand
	for _, w := range all {
		n := len(sums)
		if n == 0 || sums[n-1].Model != w.Model || sums[n-1].Class != w.Class {
			sums = append(sums, w)
			continue
		}
		sums[n-1].Queued += w.Queued
		sums[n-1].Running += w.Running
	}
	return sums
}
