package lots

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// done takes the end of a sample's request: the first whole answer with true and fresh versions wins.
func (p *Part) done(now time.Duration, e event.RequestDone, out *event.Batch) {
	ref, ok := p.requests[e.Request]
	if !ok {
		return
	}
	delete(p.requests, e.Request)
	r, m := p.find(ref)
	if m == nil {
		return
	}
	s := m.sample(ref)
	t, ok := s.drop(e.Request)
	if !ok || s.done {
		return
	}
	if reason := refusal(r, e); reason != "" {
		p.failed(now, m, s, e.Request, reason, out)
		return
	}
	p.take(r, m, ref, e, now-t.since, out)
}

// refusal returns why an answer is not taken, "" when it is.
func refusal(r *rollout, e event.RequestDone) string {
	if e.Kind != "" {
		return string(e.Kind)
	}
	if len(e.Versions) == 0 {
		return "NoVersion"
	}
	for _, v := range e.Versions {
		if v.Version == 0 {
			return "NoVersion"
		}
		if !r.ledger.fresh(v.Version, r.spec.MaxStaleness) {
			return "Stale"
		}
	}
	return ""
}

func (p *Part) failed(now time.Duration, m *making, s *sample, request uint64, reason string, out *event.Batch) {
	s.notUntil = now + backoff(s.failures)
	s.failures++
	out.Emit(event.DropAnswer{Lot: m.ref, Request: request})
	out.Emit(event.Count{Name: "SamplesRetried", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
}

func backoff(failures int) time.Duration {
	wait := firstBackoff
	for i := 0; i < failures && wait < lastBackoff; i++ {
		wait *= 2
	}
	return min(wait, lastBackoff)
}

func (p *Part) take(r *rollout, m *making, ref event.SampleRef, e event.RequestDone, took time.Duration, out *event.Batch) {
	s := m.sample(ref)
	s.done, s.request, s.tokens = true, e.Request, e.GeneratedTokens
	s.versions = s.versions[:0]
	for _, v := range e.Versions {
		s.versions = append(s.versions, v.Version)
	}
	p.cancelTries(m, s, out)
	m.took = append(m.took, took)
	g := &m.groups[ref.Group]
	g.left--
	if g.left > 0 {
		return
	}
	if r.spec.Scorer == "" {
		p.completeGroup(r, m, ref.Group, out)
	}
}

// cancelTries gives up the running requests of a sample.
func (p *Part) cancelTries(m *making, s *sample, out *event.Batch) {
	for _, t := range s.tries {
		delete(p.requests, t.request)
		out.Raise(event.CancelRequest{Request: t.request})
		out.Emit(event.DropAnswer{Lot: m.ref, Request: t.request})
	}
	s.tries = nil
}

func (p *Part) cancelAll(m *making, out *event.Batch) {
	for i := range m.groups {
		for j := range m.groups[i].samples {
			p.cancelTries(m, &m.groups[i].samples[j], out)
		}
	}
}

// completeGroup takes a group; with enough of them the rest is cancelled and the lot is packed.
func (p *Part) completeGroup(r *rollout, m *making, i int, out *event.Batch) {
	m.groups[i].complete = true
	m.complete++
	if m.complete < r.spec.Groups {
		return
	}
	p.cancelAll(m, out)
	m.stage = packing
	out.Emit(event.PackLot{Lot: m.ref, Samples: m.finished()})
}

// packed seals a lot whose blocks are stored.
func (p *Part) packed(r *rollout, e event.LotPacked, out *event.Batch) {
	_, m := p.find(event.SampleRef{Rollout: e.Lot.Rollout, Lot: e.Lot.Lot, Attempt: e.Lot.Attempt})
	if m == nil || m.stage != packing {
		out.Emit(event.DeleteBlocks{Names: blockNames(e.Blocks)})
		return
	}
	if e.Kind == kinds.NotFound || e.Kind == kinds.BodyTooLarge {
		out.Emit(event.Log{Level: "error", Event: "LotUnpackable", Fields: []event.Field{{Key: "Kind", Value: string(e.Kind)}}})
		p.dropMaking(r, m, out)
		return
	}
	if e.Kind != "" {
		p.repack(m, e.Kind, out)
		return
	}
	m.stage, m.packed = sealing, e
	if r.held {
		p.seal(r, m, out)
	}
}

// repack tries again; the executor waits between its tries.
func (p *Part) repack(m *making, kind kinds.Kind, out *event.Batch) {
	out.Emit(event.Count{Name: "PacksRetried", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	out.Emit(event.PackLot{Lot: m.ref, Samples: m.finished()})
}

// seal records the lot in the ledger, or drops it when it has gone stale.
func (p *Part) seal(r *rollout, m *making, out *event.Batch) {
	lot := Sealed{
		Lot: m.ref.Lot, Attempt: m.ref.Attempt, Oldest: m.oldest(),
		Count: m.packed.Count, Checksum: m.packed.Checksum, Blocks: m.packed.Blocks,
	}
	if !r.ledger.seal(lot, r.spec.MaxStaleness) {
		out.Emit(event.Count{Name: "LotsVoided", Tags: []event.Field{{Key: "Reason", Value: "Seal"}}, N: 1})
		out.Emit(event.DeleteBlocks{Names: blockNames(m.packed.Blocks)})
		p.dropMaking(r, m, out)
		return
	}
	m.sealSeq = r.write(out)
	r.sealSeq[m.ref.Lot] = m.sealSeq
}
