package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	spreadTimeout = 4 * time.Second
	spreadEvery   = 500 * time.Millisecond
)

// spread passes a version on to the other rollouts of the same model. The version counts as published, and is
// ordered from the engines, when the ledgers of all of them hold it.
type spread struct {
	version uint64
	left    []string          // rollouts that have not confirmed
	asked   map[uint64]string // rollout by number of the call
	next    time.Duration
}

// announce passes the newest version on once it is stored.
func (p *Part) announce(now time.Duration, r *rollout, out *event.Batch) {
	if !r.held || r.newestSeq > r.stored || r.announced >= r.published {
		return
	}
	if r.spread.version != r.published {
		r.spread = spread{version: r.published, left: p.siblings(r)}
	}
	r.spread.left = slices.DeleteFunc(r.spread.left, func(n string) bool { return p.rollouts[n] == nil })
	if len(r.spread.left) == 0 {
		r.announced = r.published
		out.Raise(event.VersionPublished{Model: r.spec.Model, Version: r.published})
		return
	}
	if now >= r.spread.next {
		p.askSiblings(now, r, out)
	}
}

// siblings returns the other rollouts of the same model.
func (p *Part) siblings(r *rollout) []string {
	var names []string
	for _, n := range p.names {
		if n != r.spec.Name && p.rollouts[n].spec.Model == r.spec.Model {
			names = append(names, n)
		}
	}
	return names
}

func (p *Part) askSiblings(now time.Duration, r *rollout, out *event.Batch) {
	r.spread.asked = map[uint64]string{}
	r.spread.next = now + spreadTimeout + spreadEvery
	body := mustJSON(wire.RolloutCall{Publish: wire.Publish{Version: r.spread.version}})
	for _, n := range r.spread.left {
		p.ask++
		r.spread.asked[p.ask] = n
		out.Raise(event.AskDuty{
			Owner: Owner, Seq: p.ask, Duty: wire.PrefixRolloutDuty + n, Call: wire.AskNewest, Body: body, Deadline: now + spreadTimeout,
		})
	}
}

// confirmed takes the answer of another rollout's holder.
func (p *Part) confirmed(now time.Duration, e event.AskDone, out *event.Batch) {
	if e.Owner != Owner {
		return
	}
	for _, n := range p.names {
		r := p.rollouts[n]
		sibling, ok := r.spread.asked[e.Seq]
		if !ok {
			continue
		}
		delete(r.spread.asked, e.Seq)
		if e.Kind != "" {
			r.spread.next = now + spreadEvery
			return
		}
		r.spread.left = slices.DeleteFunc(r.spread.left, func(n string) bool { return n == sibling })
		p.announce(now, r, out)
		p.answerStored(now, r, out)
	}
}

// askedNewest records a version that another rollout of the model has published.
func (p *Part) askedNewest(now time.Duration, r *rollout, e event.DutyAsked, version uint64, out *event.Batch) {
	if _, epoch, ok := p.Trust.Holds(r.duty, now); !ok || !r.held || epoch != r.epoch {
		answer(e.From, e.ID, kinds.NotHolder, nil, out)
		return
	}
	if version > r.ledger.Newest {
		r.ledger.Newest = version
		p.resetStale(r, out)
		r.newestSeq = r.write(out)
	}
	r.waiting = append(r.waiting, waiting{seq: r.newestSeq, notUntil: p.grantsEnd(r), to: e.From, id: e.ID})
	p.answerStored(now, r, out)
}
