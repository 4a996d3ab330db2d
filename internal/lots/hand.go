package lots

import (
	"encoding/json"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// grantTime returns the longest time between a trainer's ask and the first byte of its lot. A publish that would make
// a granted lot stale is not confirmed before this time has passed since the grant. A successor waits as long before
// it decides anything, as it does for orders in flight.
func (p *Part) grantTime() time.Duration { return p.probes.flight }

// asked answers a call to the rollout's holder.
func (p *Part) asked(now time.Duration, r *rollout, e event.DutyAsked, out *event.Batch) {
	var call wire.RolloutCall
	if err := json.Unmarshal(e.Body, &call); err != nil {
		answer(e.From, e.ID, kinds.BadRequest, nil, out)
		return
	}
	if e.Call == wire.AskNewest {
		p.askedNewest(now, r, e, call.Publish.Version, out)
		return
	}
	if call.Organisation != r.spec.Organisation {
		answer(e.From, e.ID, kinds.Forbidden, nil, out)
		return
	}
	switch e.Call {
	case wire.AskLot:
		p.askedLot(now, r, e.From, e.ID, &call, out)
	case wire.AskPublish:
		p.askedPublish(now, r, e, call.Publish, out)
	case wire.AskRelease:
		p.askedRelease(now, r, e, call.Release, out)
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
		panic(err) // only plain structs are passed
	}
	return data
}

// askedLot decides on an ask for the lot after the cursor. A new consumer is recorded before it gets anything.
func (p *Part) askedLot(now time.Duration, r *rollout, to string, id uint64, call *wire.RolloutCall, out *event.Batch) {
	ask := call.Lot
	if ask.Consumer == "" {
		answer(to, id, kinds.BadRequest, nil, out)
		return
	}
	until, kind := p.authority(now, r)
	if kind == kinds.StoreUnavailable {
		p.probe(now, r, waiting{to: to, id: id, ask: call}, out)
		return
	}
	if kind != "" {
		answer(to, id, kind, nil, out)
		return
	}
	if r.ledger.Consumer != "" && r.ledger.Consumer != ask.Consumer {
		answer(to, id, kinds.ConsumerHeld, nil, out)
		return
	}
	if kind := r.ledger.canAck(ask.Cursor, ask.Attempt); kind != "" {
		answer(to, id, kind, nil, out)
		return
	}
	if r.ledger.Consumer == "" {
		p.hold(r, ask.Consumer, waiting{to: to, id: id, ask: call}, out)
		return
	}
	p.acknowledge(now, r, ask.Cursor, out)
	p.hand(now, until, r, to, id, ask.Cursor+1, out)
}

// authority returns until when this daemon may hand lots over: while its lease is trusted, or in a store outage
// while it is proven that no other host can have published.
func (p *Part) authority(now time.Duration, r *rollout) (time.Duration, kinds.Kind) {
	if until, epoch, ok := p.Trust.Holds(r.duty, now); ok && r.held && epoch == r.epoch {
		r.until = until
		return until, ""
	}
	if !r.lapsed {
		return 0, kinds.NotHolder
	}
	if until, ok := p.probes.proven(now, r); ok {
		return until, ""
	}
	return 0, kinds.StoreUnavailable
}

// hold records a consumer, which cannot be done while the lease is lapsed.
func (p *Part) hold(r *rollout, consumer string, w waiting, out *event.Batch) {
	if !r.held {
		answer(w.to, w.id, kinds.StoreUnavailable, nil, out)
		return
	}
	r.ledger.Consumer = consumer
	w.seq = r.write(out)
	r.waiting = append(r.waiting, w)
}

// acknowledge takes the consumer's word that it holds all lots up to cursor.
func (p *Part) acknowledge(now time.Duration, r *rollout, cursor uint64, out *event.Batch) {
	if cursor <= r.ledger.Acked {
		return
	}
	r.deleteLater(r.ledger.ack(cursor))
	r.touch(now)
	for lot := range r.handed {
		if lot <= cursor {
			delete(r.handed, lot)
		}
	}
	for i := len(r.making) - 1; i >= 0; i-- {
		if r.making[i].ref.Lot <= cursor {
			p.dropMaking(r, r.making[i], out)
		}
	}
}

// hand grants a sealed lot that is within the bound. A stale one is voided and made anew; the consumer learns from
// the new attempt's Replaces which attempts it must not use.
func (p *Part) hand(now, until time.Duration, r *rollout, to string, id uint64, lot uint64, out *event.Batch) {
	if r.spec.Lots > 0 && lot > r.spec.Lots {
		answer(to, id, kinds.NotFound, nil, out)
		return
	}
	s, ok := r.ledger.sealed(lot)
	if !ok || r.sealSeq[lot] > r.stored {
		answer(to, id, kinds.LotNotReady, nil, out)
		return
	}
	if !r.ledger.fresh(s.Oldest, r.spec.MaxStaleness) {
		p.void(now, r, lot, "HandOver", out)
		answer(to, id, kinds.LotNotReady, nil, out)
		return
	}
	valid := min(until-now, p.grantTime())
	if valid <= 0 {
		answer(to, id, kinds.NotHolder, nil, out)
		return
	}
	r.handed[lot] = now
	r.lastHanded = max(r.lastHanded, lot)
	out.Emit(event.Count{Name: "LotsHanded", N: 1})
	answer(to, id, "", grantOf(r, s, valid), out)
}

func grantOf(r *rollout, s *Sealed, valid time.Duration) wire.LotGrant {
	g := wire.LotGrant{
		Lot: s.Lot, Attempt: s.Attempt, Replaces: r.ledger.voided(s.Lot), Newest: r.ledger.Newest,
		Count: s.Count, Checksum: s.Checksum, ValidMS: valid.Milliseconds(),
	}
	for _, b := range s.Blocks {
		g.Blocks = append(g.Blocks, wire.GrantBlock{Name: b.Name, Checksum: b.Checksum})
	}
	return g
}

func (p *Part) void(now time.Duration, r *rollout, lot uint64, reason string, out *event.Batch) {
	if !r.held {
		return
	}
	r.deleteLater(r.ledger.void(lot))
	r.touch(now)
	delete(r.handed, lot)
	out.Emit(event.Count{Name: "LotsVoided", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
}

// askedRelease acknowledges what the consumer holds and lets another consumer in.
func (p *Part) askedRelease(now time.Duration, r *rollout, e event.DutyAsked, release wire.Release, out *event.Batch) {
	if kind := p.mayDecide(now, r, release.Consumer); kind != "" {
		answer(e.From, e.ID, kind, nil, out)
		return
	}
	if kind := r.ledger.canAck(max(release.Cursor, r.ledger.Acked), 0); kind != "" {
		answer(e.From, e.ID, kind, nil, out)
		return
	}
	p.acknowledge(now, r, release.Cursor, out)
	r.ledger.Consumer = ""
	r.waiting = append(r.waiting, waiting{seq: r.write(out), to: e.From, id: e.ID, body: mustJSON(release)})
}

// mayDecide returns why a consumer's decision cannot be recorded now, "" when it can.
func (p *Part) mayDecide(now time.Duration, r *rollout, consumer string) kinds.Kind {
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

// answerStored sends the answers whose ledger write is stored.
func (p *Part) answerStored(now time.Duration, r *rollout, out *event.Batch) {
	all := r.waiting
	r.waiting = nil
	for _, w := range all {
		if w.seq > r.stored || now < w.notUntil || w.version > r.announced {
			r.waiting = append(r.waiting, w)
			continue
		}
		if w.ask != nil {
			p.askedLot(now, r, w.to, w.id, w.ask, out)
			continue
		}
		out.Raise(event.AnswerDuty{To: w.to, ID: w.id, Body: w.body})
	}
}

// refuseWaiting ends the answers that wait for a ledger write whose outcome is no longer known. An ask decides
// nothing, so that it may simply be repeated.
func (p *Part) refuseWaiting(r *rollout, kind kinds.Kind, out *event.Batch) {
	for _, w := range r.waiting {
		if w.ask != nil {
			answer(w.to, w.id, kinds.StoreUnavailable, nil, out)
			continue
		}
		answer(w.to, w.id, kind, nil, out)
	}
	r.waiting = nil
}
