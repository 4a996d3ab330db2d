package lots

import (
	"encoding/json"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// grantValidity returns the longest time between a trainer's request and the first byte of its lot. A publish that makes
// a granted lot stale is confirmed only when this time has passed since the grant. A successor waits for orders in
// flight before its first decision, which is the same time.
func (p *Component) grantValidity() time.Duration { return p.prober.orderFlight }

// handleCall processes a call to the rollout's holder.
func (p *Component) handleCall(now time.Duration, r *rollout, e event.DutyAsked, out *event.Batch) {
	var call wire.RolloutCall
	if err := json.Unmarshal(e.Body, &call); err != nil {
		answer(e.From, e.ID, kinds.BadRequest, nil, out)
		return
	}
	if e.Call == wire.AskNewest {
		p.handleNewest(now, r, e, call.Publish.Version, out)
		return
	}
	if call.Organisation != r.spec.Organisation {
		answer(e.From, e.ID, kinds.Forbidden, nil, out)
		return
	}
	switch e.Call {
	case wire.AskLot:
		p.handleLotCall(now, r, e.From, e.ID, &call, out)
	case wire.AskPublish:
		p.handlePublish(now, r, e, call.Publish, out)
	case wire.AskRelease:
		p.handleRelease(now, r, e, call.Release, out)
	case wire.AskBlock:
		out.Emit(event.ServeBlock{To: e.From, ID: e.ID, Name: call.Block})
	default:
		answer(e.From, e.ID, kinds.BadRequest, nil, out)
	}
}

func answer(to string, id uint64, kind kinds.Kind, body any, out *event.Batch) {
	a := event.AnswerDuty{To: to, ID: id, Kind: kind}
	if body != nil {
		a.Body = mustJSON(body)
	}
	out.Raise(a)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: callers pass only plain structs
	}
	return data
}

// handleLotCall processes a consumer's request for the lot after its cursor. A new consumer is stored in the ledger
// before it is granted a lot.
func (p *Component) handleLotCall(now time.Duration, r *rollout, to string, id uint64, call *wire.RolloutCall, out *event.Batch) {
	lotAsk := call.Lot
	if lotAsk.Consumer == "" {
		answer(to, id, kinds.BadRequest, nil, out)
		return
	}
	until, kind := p.handOverDeadline(now, r)
	if kind == kinds.StoreUnavailable {
		p.probe(now, r, pending{to: to, id: id, lotAsk: call}, out)
		return
	}
	if kind != "" {
		answer(to, id, kind, nil, out)
		return
	}
	if r.ledger.Consumer != "" && r.ledger.Consumer != lotAsk.Consumer {
		answer(to, id, kinds.ConsumerHeld, nil, out)
		return
	}
	if kind := r.ledger.canAck(lotAsk.Cursor, lotAsk.Attempt); kind != "" {
		answer(to, id, kind, nil, out)
		return
	}
	if r.ledger.Consumer == "" {
		p.recordConsumer(r, lotAsk.Consumer, pending{to: to, id: id, lotAsk: call}, out)
		return
	}
	p.acknowledge(now, r, lotAsk.Cursor, out)
	p.grantLot(now, until, r, to, id, lotAsk.Cursor+1, out)
}

// handOverDeadline returns the time until which this daemon may hand lots over: the end of its lease or, in a store
// outage, the end of the proof that no other host can have recorded a publish.
func (p *Component) handOverDeadline(now time.Duration, r *rollout) (time.Duration, kinds.Kind) {
	if validUntil, epoch, ok := p.Trust.Holds(r.duty, now); ok && r.held && epoch == r.epoch {
		r.validUntil = validUntil
		return validUntil, ""
	}
	if !r.lapsed {
		return 0, kinds.NotHolder
	}
	if validUntil, ok := p.prober.provenUntil(now, r); ok {
		return validUntil, ""
	}
	return 0, kinds.StoreUnavailable
}

// recordConsumer writes a new consumer to the ledger, which requires a lease, and answers its call when that is stored.
func (p *Component) recordConsumer(r *rollout, consumer string, request pending, out *event.Batch) {
	if !r.held {
		answer(request.to, request.id, kinds.StoreUnavailable, nil, out)
		return
	}
	r.ledger.Consumer = consumer
	request.writeSeq = r.writeLedger(out)
	r.pending = append(r.pending, request)
}

// acknowledge records that the consumer has received all lots up to cursor, and drops what is kept of them.
func (p *Component) acknowledge(now time.Duration, r *rollout, cursor uint64, out *event.Batch) {
	if cursor <= r.ledger.Acked {
		return
	}
	r.deleteWhenStored(r.ledger.ack(cursor))
	r.markDirty(now)
	for lot := range r.grantedAt {
		if lot <= cursor {
			delete(r.grantedAt, lot)
		}
	}
	for i := len(r.builds) - 1; i >= 0; i-- {
		if r.builds[i].ref.Lot <= cursor {
			p.dropBuild(r, r.builds[i], out)
		}
	}
}

// grantLot grants a sealed lot that does not exceed the maximum staleness. A stale lot is voided and rebuilt; Replaces
// of the new attempt tells the consumer which attempts it must not use.
func (p *Component) grantLot(now, until time.Duration, r *rollout, to string, id uint64, lot uint64, out *event.Batch) {
	if r.spec.Lots > 0 && lot > r.spec.Lots {
		answer(to, id, kinds.NotFound, nil, out)
		return
	}
	s, ok := r.ledger.sealed(lot)
	if !ok || r.sealSeq[lot] > r.storedSeq {
		answer(to, id, kinds.LotNotReady, nil, out)
		return
	}
	if !r.ledger.fresh(s.Oldest, r.spec.MaxStaleness) {
		p.void(now, r, lot, "HandOver", out)
		answer(to, id, kinds.LotNotReady, nil, out)
		return
	}
	valid := min(until-now, p.grantValidity())
	if valid <= 0 {
		answer(to, id, kinds.NotHolder, nil, out)
		return
	}
	r.grantedAt[lot] = now
	r.lastGranted = max(r.lastGranted, lot)
	out.Emit(event.Count{Name: "LotsHanded", N: 1})
	answer(to, id, "", newGrant(r, s, valid), out)
}

func newGrant(r *rollout, s *Sealed, valid time.Duration) wire.LotGrant {
	g := wire.LotGrant{
		Lot: s.Lot, Attempt: s.Attempt, Replaces: r.ledger.voided(s.Lot), Newest: r.ledger.Newest,
		Count: s.Count, Checksum: s.Checksum, ValidMS: valid.Milliseconds(),
	}
	for _, b := range s.Blocks {
		g.Blocks = append(g.Blocks, wire.GrantBlock{Name: b.Name, Checksum: b.Checksum})
	}
	return g
}

func (p *Component) void(now time.Duration, r *rollout, lot uint64, reason string, out *event.Batch) {
	if !r.held {
		return
	}
	r.deleteWhenStored(r.ledger.void(lot))
	r.markDirty(now)
	delete(r.grantedAt, lot)
	out.Emit(event.Count{Name: "LotsVoided", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
}

// handleRelease acknowledges the lots that the consumer has received and frees the rollout for another consumer.
func (p *Component) handleRelease(now time.Duration, r *rollout, e event.DutyAsked, release wire.Release, out *event.Batch) {
	if kind := p.checkConsumer(now, r, release.Consumer); kind != "" {
		answer(e.From, e.ID, kind, nil, out)
		return
	}
	if kind := r.ledger.canAck(max(release.Cursor, r.ledger.Acked), 0); kind != "" {
		answer(e.From, e.ID, kind, nil, out)
		return
	}
	p.acknowledge(now, r, release.Cursor, out)
	r.ledger.Consumer = ""
	r.pending = append(r.pending, pending{writeSeq: r.writeLedger(out), to: e.From, id: e.ID, body: mustJSON(release)})
}

// checkConsumer returns why a decision of the consumer cannot be recorded now, "" if it can.
func (p *Component) checkConsumer(now time.Duration, r *rollout, consumer string) kinds.Kind {
	if consumer == "" {
		return kinds.BadRequest
	}
	if r.lapsed {
		return kinds.StoreUnavailable
	}
	if _, epoch, ok := p.Trust.Holds(r.duty, now); !ok || !r.held || epoch != r.epoch {
		return kinds.NotHolder
	}
	if r.ledger.Consumer != "" && r.ledger.Consumer != consumer {
		return kinds.ConsumerHeld
	}
	return ""
}

// sendStoredAnswers sends the pending answers whose ledger write is stored and whose other conditions hold.
func (p *Component) sendStoredAnswers(now time.Duration, r *rollout, out *event.Batch) {
	all := r.pending
	r.pending = nil
	for _, w := range all {
		if w.writeSeq > r.storedSeq || now < w.dueAt || w.version > r.propagated {
			r.pending = append(r.pending, w)
			continue
		}
		if w.lotAsk != nil {
			p.handleLotCall(now, r, w.to, w.id, w.lotAsk, out)
			continue
		}
		out.Raise(event.AnswerDuty{To: w.to, ID: w.id, Body: w.body})
	}
}

// refusePending refuses the calls that wait for a ledger write whose outcome is no longer known. A request for a lot
// decides nothing, so it always gets StoreUnavailable and may be repeated.
func (p *Component) refusePending(r *rollout, kind kinds.Kind, out *event.Batch) {
	for _, w := range r.pending {
		if w.lotAsk != nil {
			answer(w.to, w.id, kinds.StoreUnavailable, nil, out)
			continue
		}
		answer(w.to, w.id, kind, nil, out)
	}
	r.pending = nil
}
