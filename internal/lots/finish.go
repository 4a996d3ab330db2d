package lots

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// handleRequestDone processes the end of a sample's request. The first complete answer whose versions are all known and
// fresh is accepted.
func (p *Component) handleRequestDone(now time.Duration, e event.RequestDone, out *event.Batch) {
	ref, ok := p.sampleByRequest[e.Request]
	if !ok {
		return
	}
	delete(p.sampleByRequest, e.Request)
	r, b := p.findBuild(ref)
	if b == nil {
		return
	}
	s := b.sample(ref)
	request, ok := s.removeRequest(e.Request)
	if !ok || s.done {
		return
	}
	if reason := rejectReason(r, e); reason != "" {
		p.retrySample(now, b, s, e.Request, reason, out)
		return
	}
	p.acceptAnswer(r, b, ref, e, now-request.startedAt, out)
}

// rejectReason returns why an answer is rejected, "" if it is accepted.
func rejectReason(r *rollout, e event.RequestDone) string {
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

func (p *Component) retrySample(now time.Duration, b *build, s *sample, request uint64, reason string, out *event.Batch) {
	s.notBefore = now + backoff(s.failures)
	s.failures++
	out.Emit(event.DropAnswer{Lot: b.ref, Request: request})
	out.Emit(event.Count{Name: "SamplesRetried", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
}

func backoff(failures int) time.Duration {
	wait := firstBackoff
	for i := 0; i < failures && wait < maxBackoff; i++ {
		wait *= 2
	}
	return min(wait, maxBackoff)
}

func (p *Component) acceptAnswer(r *rollout, b *build, ref event.SampleRef, e event.RequestDone, took time.Duration, out *event.Batch) {
	s := b.sample(ref)
	s.done, s.acceptedRequest, s.tokens = true, e.Request, e.GeneratedTokens
	s.versions = s.versions[:0]
	for _, v := range e.Versions {
		s.versions = append(s.versions, v.Version)
	}
	p.cancelRequests(b, s, out)
	b.took = append(b.took, took)
	g := &b.groups[ref.Group]
	g.unfinished--
	if g.unfinished > 0 {
		return
	}
	if r.spec.Scorer == "" {
		p.completeGroup(r, b, ref.Group, out)
	}
}

// cancelRequests cancels the running requests of a sample and drops their answers.
func (p *Component) cancelRequests(b *build, s *sample, out *event.Batch) {
	for _, request := range s.running {
		delete(p.sampleByRequest, request.id)
		out.Raise(event.CancelRequest{Request: request.id})
		out.Emit(event.DropAnswer{Lot: b.ref, Request: request.id})
	}
	s.running = nil
}

func (p *Component) cancelAll(b *build, out *event.Batch) {
	for i := range b.groups {
		for j := range b.groups[i].samples {
			p.cancelRequests(b, &b.groups[i].samples[j], out)
		}
	}
}

// completeGroup marks a group as complete. Once enough groups are, it cancels the others and starts packing the lot.
func (p *Component) completeGroup(r *rollout, b *build, i int, out *event.Batch) {
	b.groups[i].complete = true
	b.complete++
	if b.complete < r.spec.Groups {
		return
	}
	p.cancelAll(b, out)
	b.stage = packing
	out.Emit(event.PackLot{Lot: b.ref, Samples: b.finishedSamples()})
}

// handleLotPacked seals a lot whose blocks are stored.
func (p *Component) handleLotPacked(r *rollout, e event.LotPacked, out *event.Batch) {
	_, b := p.findBuild(event.SampleRef{Rollout: e.Lot.Rollout, Lot: e.Lot.Lot, Attempt: e.Lot.Attempt})
	if b == nil || b.stage != packing {
		out.Emit(event.DeleteBlocks{Names: blockNames(e.Blocks)})
		return
	}
	if e.Kind == kinds.NotFound || e.Kind == kinds.BodyTooLarge {
		out.Emit(event.Log{Level: "error", Event: "LotUnpackable", Fields: []event.Field{{Key: "Kind", Value: string(e.Kind)}}})
		p.dropBuild(r, b, out)
		return
	}
	if e.Kind != "" {
		p.repack(b, e.Kind, out)
		return
	}
	b.stage, b.packed = sealing, e
	if r.held {
		p.seal(r, b, out)
	}
}

// repack requests the packing again at once; the executor has already waited after the failure.
func (p *Component) repack(b *build, kind kinds.Kind, out *event.Batch) {
	out.Emit(event.Count{Name: "PacksRetried", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	out.Emit(event.PackLot{Lot: b.ref, Samples: b.finishedSamples()})
}

// seal records the lot in the ledger, or drops the build if it has become stale.
func (p *Component) seal(r *rollout, b *build, out *event.Batch) {
	lot := Sealed{
		Lot: b.ref.Lot, Attempt: b.ref.Attempt, Oldest: b.oldest(),
		Count: b.packed.Count, Checksum: b.packed.Checksum, Blocks: b.packed.Blocks,
	}
	if !r.ledger.seal(lot, r.spec.MaxStaleness) {
		out.Emit(event.Count{Name: "LotsVoided", Tags: []event.Field{{Key: "Reason", Value: "Seal"}}, N: 1})
		out.Emit(event.DeleteBlocks{Names: blockNames(b.packed.Blocks)})
		p.dropBuild(r, b, out)
		return
	}
	b.sealSeq = r.writeLedger(out)
	r.sealSeq[b.ref.Lot] = b.sealSeq
}
