package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	propagateTimeout       = 4 * time.Second
	propagateRetryInterval = 500 * time.Millisecond
)

// propagation sends a version to the other rollouts of the same model. The version counts as published, and engines are
// ordered to load it, when it is stored in the ledgers of all of them.
type propagation struct {
	version     uint64
	unconfirmed []string          // rollouts
	calls       map[uint64]string // rollout by Seq of the call
	nextCall    time.Duration
}

// propagate sends the newest version to the other rollouts once it is stored, and raises VersionPublished when all of
// them have confirmed it.
func (p *Component) propagate(now time.Duration, r *rollout, out *event.Batch) {
	if !r.held || r.newestSeq > r.storedSeq || r.propagated >= r.published {
		return
	}
	if r.propagation.version != r.published {
		r.propagation = propagation{version: r.published, unconfirmed: p.siblings(r)}
	}
	r.propagation.unconfirmed = slices.DeleteFunc(r.propagation.unconfirmed, func(n string) bool { return p.rollouts[n] == nil })
	if len(r.propagation.unconfirmed) == 0 {
		r.propagated = r.published
		out.Raise(event.VersionPublished{Model: r.spec.Model, Version: r.published})
		return
	}
	if now >= r.propagation.nextCall {
		p.callSiblings(now, r, out)
	}
}

// siblings returns the other rollouts of the same model.
func (p *Component) siblings(r *rollout) []string {
	var names []string
	for _, n := range p.names {
		if n != r.spec.Name && p.rollouts[n].spec.Model == r.spec.Model {
			names = append(names, n)
		}
	}
	return names
}

func (p *Component) callSiblings(now time.Duration, r *rollout, out *event.Batch) {
	r.propagation.calls = map[uint64]string{}
	r.propagation.nextCall = now + propagateTimeout + propagateRetryInterval
	body := mustJSON(wire.RolloutCall{Publish: wire.Publish{Version: r.propagation.version}})
	for _, n := range r.propagation.unconfirmed {
		p.lastCall++
		r.propagation.calls[p.lastCall] = n
		out.Raise(event.AskDuty{
			Owner: Owner, Seq: p.lastCall, Duty: wire.PrefixRolloutDuty + n, Call: wire.AskNewest, Body: body, Deadline: now + propagateTimeout,
		})
	}
}

// handleAskDone processes the answer of another rollout's holder.
func (p *Component) handleAskDone(now time.Duration, e event.AskDone, out *event.Batch) {
	if e.Owner != Owner {
		return
	}
	for _, n := range p.names {
		r := p.rollouts[n]
		sibling, ok := r.propagation.calls[e.Seq]
		if !ok {
			continue
		}
		delete(r.propagation.calls, e.Seq)
		if e.Kind != "" {
			r.propagation.nextCall = now + propagateRetryInterval
			return
		}
		r.propagation.unconfirmed = slices.DeleteFunc(r.propagation.unconfirmed, func(n string) bool { return n == sibling })
		p.propagate(now, r, out)
		p.sendStoredAnswers(now, r, out)
	}
}

// handleNewest records a version that was published for another rollout of the same model.
func (p *Component) handleNewest(now time.Duration, r *rollout, e event.DutyAsked, version uint64, out *event.Batch) {
	if _, epoch, ok := p.Trust.Holds(r.duty, now); !ok || !r.held || epoch != r.epoch {
		answer(e.From, e.ID, kinds.NotHolder, nil, out)
		return
	}
	if version > r.ledger.Newest {
		r.ledger.Newest = version
		p.resetStaleSamples(r, out)
		r.newestSeq = r.writeLedger(out)
	}
	r.pending = append(r.pending, pending{writeSeq: r.newestSeq, dueAt: p.staleGrantsEnd(r), to: e.From, id: e.ID})
	p.sendStoredAnswers(now, r, out)
}
