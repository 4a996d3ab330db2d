package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// sampleTimeout is the longest time that a sample's request may take.
	sampleTimeout = 5 * time.Minute
	// firstBackoff and lastBackoff bound the wait before a failed sample or score is tried again.
	firstBackoff = 50 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// bytesPerToken estimates a prompt's tokens.
	bytesPerToken = 4
)

// advance starts what is due: lots, samples, hedges, scores and overdue ledger writes.
func (p *Part) advance(now time.Duration, r *rollout, out *event.Batch) {
	if until, epoch, ok := p.Trust.Holds(r.duty, now); ok && epoch == r.epoch {
		r.until = until
	}
	if r.held && r.dirty && now-r.dirtyAt >= lazyWrite {
		r.write(out)
	}
	p.announce(now, r, out)
	p.answerStored(now, r, out)
	p.expireProbes(now, r, out)
	if p.stopping {
		p.finishStop(r, out)
		return
	}
	if r.held {
		p.openLots(now, r, out)
	}
	if !r.held && !r.lapsed {
		return
	}
	room := p.room(r.spec.Model) - r.running()
	for _, m := range r.making {
		if m.stage != generating {
			continue
		}
		room = p.startSamples(now, r, m, room, out)
		room = p.hedge(now, r, m, room, out)
		p.startScores(now, r, m, out)
	}
}

// room is the number of samples that may run at once on the engines of a model.
func (p *Part) room(model string) int { return p.engines[model] * p.perNode }

// listed counts the live engines of each model.
func (p *Part) listed(list wire.EndpointList) {
	p.list = list
	p.engines = map[string]int{}
	for _, e := range list.Endpoints {
		if e.Kind == wire.Engine && e.State == wire.Live {
			p.engines[e.Model]++
		}
	}
}

// openLots starts the lots that may be made now: the next one to be asked for, and those sealed ahead of it.
// A lot sealed further ahead than the staleness bound would be stale when each lot brings a new version.
func (p *Part) openLots(now time.Duration, r *rollout, out *event.Batch) {
	ahead := uint64(min(r.spec.SealAhead, r.spec.MaxStaleness))
	for lot := r.ledger.Acked + 1; lot <= r.ledger.Acked+1+ahead; lot++ {
		if r.spec.Lots > 0 && lot > r.spec.Lots {
			return
		}
		if _, ok := r.ledger.sealed(lot); ok || r.isMaking(lot) {
			continue
		}
		p.openLot(r, lot, out)
		r.touch(now)
	}
}

func (r *rollout) isMaking(lot uint64) bool {
	return slices.ContainsFunc(r.making, func(m *making) bool { return m.ref.Lot == lot })
}

func (p *Part) openLot(r *rollout, lot uint64, out *event.Batch) {
	r.attempts++
	ref := event.LotRef{Rollout: r.spec.Name, Lot: lot, Attempt: r.epoch*attemptsPerEpoch + r.attempts}
	r.making = append(r.making, newMaking(ref, r.spec.Groups+r.spec.SpareGroups, r.spec.SamplesPerGroup))
	slices.SortFunc(r.making, func(a, b *making) int { return int(a.ref.Lot) - int(b.ref.Lot) })
	out.Emit(event.OpenLot{Lot: ref})
}

// startSamples starts samples in the order of their ids and returns the room that is left.
func (p *Part) startSamples(now time.Duration, r *rollout, m *making, room int, out *event.Batch) int {
	for i := range m.groups {
		for j := range m.groups[i].samples {
			if room <= 0 {
				return room
			}
			s := &m.groups[i].samples[j]
			if s.done || len(s.tries) > 0 || now < s.notUntil {
				continue
			}
			p.startTry(now, r, m, m.sampleRef(i, j), nil, out)
			room--
		}
	}
	return room
}

func (p *Part) startTry(now time.Duration, r *rollout, m *making, ref event.SampleRef, avoid []string, out *event.Batch) {
	p.request++
	p.requests[p.request] = ref
	s := m.sample(ref)
	s.tries = append(s.tries, try{request: p.request, since: now})
	prompt := r.spec.Prompt(ref.Lot, ref.Group)
	out.Raise(event.RequestArrived{
		Request: p.request, Class: config.Rollout, Organisation: r.spec.Organisation, Model: r.spec.Model,
		Path: wire.PathGenerate, Method: "POST",
		Generation: true, Tokens: len(prompt)/bytesPerToken + r.spec.MaxTokens, Prefix: wire.PromptHead(prompt),
		Deadline: now + sampleTimeout, Sample: &ref, Avoid: avoid, MinVersion: r.minVersion(),
	})
}

// minVersion returns the oldest version that a sample may have, 0 for any.
func (r *rollout) minVersion() uint64 {
	if r.ledger.Newest <= uint64(r.spec.MaxStaleness) {
		return 0
	}
	return r.ledger.Newest - uint64(r.spec.MaxStaleness)
}

// sent notes where a sample runs, for a hedge to go elsewhere.
func (p *Part) sent(e event.SampleSent) {
	ref, ok := p.requests[e.Request]
	if !ok {
		return
	}
	_, m := p.find(ref)
	if m == nil {
		return
	}
	s := m.sample(ref)
	for i := range s.tries {
		if s.tries[i].request == e.Request {
			s.tries[i].endpoint = e.Endpoint
		}
	}
}

// find returns the lot in the making that a sample belongs to, nil when it is dropped.
func (p *Part) find(ref event.SampleRef) (*rollout, *making) {
	r, ok := p.rollouts[ref.Rollout]
	if !ok {
		return nil, nil
	}
	for _, m := range r.making {
		if m.ref.Lot == ref.Lot && m.ref.Attempt == ref.Attempt {
			return r, m
		}
	}
	return r, nil
}

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
