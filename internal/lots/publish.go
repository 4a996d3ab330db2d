package lots

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// askedPublish records a new version. Its confirmation waits for the ledger, and for the grants of lots that
// the version makes stale to run out, so that no such lot is handed over after it.
func (p *Part) askedPublish(now time.Duration, r *rollout, e event.DutyAsked, publish wire.Publish, out *event.Batch) {
	if kind := p.mayDecide(now, r, publish.Consumer); kind != "" {
		answer(e.From, e.ID, kind, nil, out)
		return
	}
	if kind := r.ledger.canAck(max(publish.Cursor, r.ledger.Acked), 0); kind != "" {
		answer(e.From, e.ID, kind, nil, out)
		return
	}
	if publish.Version < r.ledger.Newest || publish.Version == 0 {
		answer(e.From, e.ID, kinds.Conflict, nil, out)
		return
	}
	p.acknowledge(now, r, publish.Cursor, out)
	if publish.Version > r.ledger.Newest {
		r.ledger.Newest = publish.Version
		p.resetStale(r, out)
	}
	r.published = publish.Version
	r.newestSeq = r.write(out)
	r.waiting = append(r.waiting, waiting{
		seq: r.newestSeq, version: publish.Version, notUntil: p.grantsEnd(r), to: e.From, id: e.ID, body: mustJSON(wire.Published{Version: publish.Version}),
	})
}

// grantsEnd returns the time after which no lot that is stale now is handed over any more.
func (p *Part) grantsEnd(r *rollout) time.Duration {
	var end time.Duration
	for _, s := range r.ledger.Lots {
		if r.ledger.fresh(s.Oldest, r.spec.MaxStaleness) {
			continue
		}
		if at, ok := r.handed[s.Lot]; ok {
			end = max(end, at+p.grantTime())
		}
	}
	return end
}

// resetStale has the done samples made anew that are older than the bound.
func (p *Part) resetStale(r *rollout, out *event.Batch) {
	for _, m := range r.making {
		if m.stage != generating {
			continue
		}
		for i := range m.groups {
			p.resetGroup(r, m, &m.groups[i], out)
		}
	}
}

func (p *Part) resetGroup(r *rollout, m *making, g *group, out *event.Batch) {
	for j := range g.samples {
		s := &g.samples[j]
		if !s.done || r.ledger.fresh(s.oldest(), r.spec.MaxStaleness) {
			continue
		}
		out.Emit(event.DropAnswer{Lot: m.ref, Request: s.request})
		out.Emit(event.Count{Name: "SamplesRetried", Tags: []event.Field{{Key: "Reason", Value: "Stale"}}, N: 1})
		g.reset(s)
		if g.complete {
			g.complete = false
			m.complete--
		}
	}
}
