package lots

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// handlePublish records a new version. It is confirmed when the ledger is stored, all rollouts of the model have the
// version, and the grants of the lots that it makes stale have expired, so that no such lot is handed over afterwards.
func (p *Component) handlePublish(now time.Duration, r *rollout, e event.DutyAsked, publish wire.Publish, out *event.Batch) {
	if kind := p.checkConsumer(now, r, publish.Consumer); kind != "" {
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
		p.resetStaleSamples(r, out)
	}
	r.published = publish.Version
	r.newestSeq = r.writeLedger(out)
	r.pending = append(r.pending, pending{
		writeSeq: r.newestSeq, version: publish.Version, dueAt: p.staleGrantsEnd(r), to: e.From, id: e.ID, body: mustJSON(wire.Published{Version: publish.Version}),
	})
}

// staleGrantsEnd returns the time at which the grants of all lots that are stale now have expired.
func (p *Component) staleGrantsEnd(r *rollout) time.Duration {
	var end time.Duration
	for _, s := range r.ledger.Lots {
		if r.ledger.fresh(s.Oldest, r.spec.MaxStaleness) {
			continue
		}
		if at, ok := r.grantedAt[s.Lot]; ok {
			end = max(end, at+p.grantValidity())
		}
	}
	return end
}

// resetStaleSamples resets the finished samples that exceed the maximum staleness.
func (p *Component) resetStaleSamples(r *rollout, out *event.Batch) {
	for _, b := range r.builds {
		if b.stage != generating {
			continue
		}
		for i := range b.groups {
			p.resetStaleInGroup(r, b, &b.groups[i], out)
		}
	}
}

func (p *Component) resetStaleInGroup(r *rollout, b *build, g *group, out *event.Batch) {
	for j := range g.samples {
		s := &g.samples[j]
		if !s.done || r.ledger.fresh(s.oldest(), r.spec.MaxStaleness) {
			continue
		}
		out.Emit(event.DropAnswer{Lot: b.ref, Request: s.acceptedRequest})
		out.Emit(event.Count{Name: "SamplesRetried", Tags: []event.Field{{Key: "Reason", Value: "Stale"}}, N: 1})
		g.resetSample(s)
		if g.complete {
			g.complete = false
			b.complete--
		}
	}
}
