package member

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// asks holds the calls to duties that are under way from this daemon.
type asks struct {
	// base makes the ids of two incarnations differ, so that a late reply can't end another call.
	base    uint64
	last    uint64
	pending map[uint64]pendingAsk
}

type pendingAsk struct {
	ask    event.AskDuty
	holder string
}

// Holder returns the host that holds a duty as far as the beats tell, "" when none is known.
func (p *Part) Holder(duty string, now time.Duration) (host string, epoch uint64) {
	if epoch, ok := p.held[duty]; ok {
		return p.Self.Name, epoch
	}
	for _, name := range p.peerNames() {
		if !p.hears(name, now) {
			continue
		}
		for _, d := range p.peers[name].beat.Duties {
			if d.Duty == duty && d.Epoch > epoch {
				host, epoch = name, d.Epoch
			}
		}
	}
	return host, epoch
}

func (p *Part) ask(now time.Duration, e event.AskDuty, out *event.Batch) {
	holder, _ := p.Holder(e.Duty, now)
	if holder == "" {
		holder = p.lapsedHolder(e.Duty, now)
	}
	if holder == "" {
		finish(e, p.noHolder(now), nil, out)
		return
	}
	p.asks.last++
	id := p.asks.base + p.asks.last
	p.asks.pending[id] = pendingAsk{ask: e, holder: holder}
	if holder == p.Self.Name {
		out.Raise(event.DutyAsked{From: holder, ID: id, Duty: e.Duty, Call: e.Call, Body: e.Body})
		return
	}
	ask := &wire.Ask{ID: id, Duty: e.Duty, Call: e.Call, Body: e.Body}
	out.Emit(event.SendPeer{Host: holder, Message: wire.Message{Ask: ask}})
}

// noHolder returns the kind for a duty without a holder: without the store none can be found.
func (p *Part) noHolder(now time.Duration) kinds.Kind {
	if p.Store != nil && !p.Store.Reachable(now) {
		return kinds.StoreUnavailable
	}
	return kinds.NotHolder
}

func (p *Part) receiveAsk(from string, ask wire.Ask, out *event.Batch) {
	if _, ok := p.held[ask.Duty]; !ok && !answersLapsed(ask.Duty) {
		p.answer(event.AnswerDuty{To: from, ID: ask.ID, Kind: kinds.NotHolder}, out)
		return
	}
	out.Raise(event.DutyAsked{From: from, ID: ask.ID, Duty: ask.Duty, Call: ask.Call, Body: ask.Body})
}

func (p *Part) answer(e event.AnswerDuty, out *event.Batch) {
	if e.To == p.Self.Name {
		p.end(e.ID, e.Kind, e.Body, out)
		return
	}
	reply := &wire.Reply{ID: e.ID, Kind: string(e.Kind), Body: e.Body}
	out.Emit(event.SendPeer{Host: e.To, Message: wire.Message{Reply: reply}})
}

func (p *Part) receiveReply(from string, reply wire.Reply, out *event.Batch) {
	if p.asks.pending[reply.ID].holder != from {
		return
	}
	p.end(reply.ID, kinds.Kind(reply.Kind), reply.Body, out)
}

func (p *Part) end(id uint64, kind kinds.Kind, body []byte, out *event.Batch) {
	pending, ok := p.asks.pending[id]
	if !ok {
		return
	}
	delete(p.asks.pending, id)
	finish(pending.ask, kind, body, out)
}

func finish(ask event.AskDuty, kind kinds.Kind, body []byte, out *event.Batch) {
	done := event.AskDone{Owner: ask.Owner, Seq: ask.Seq, Kind: kind, Body: body}
	out.Raise(done)
	out.Emit(done)
}

// expireAsks ends the calls whose deadline has passed; the holder may have carried them out.
func (p *Part) expireAsks(now time.Duration, out *event.Batch) {
	for _, id := range p.pendingIDs() {
		if now >= p.asks.pending[id].ask.Deadline {
			p.end(id, kinds.OutcomeUnknown, nil, out)
		}
	}
}

// failAsks ends the calls to a lost host.
func (p *Part) failAsks(host string, out *event.Batch) {
	for _, id := range p.pendingIDs() {
		if p.asks.pending[id].holder == host {
			p.end(id, kinds.OutcomeUnknown, nil, out)
		}
	}
}

func (p *Part) pendingIDs() []uint64 {
	ids := make([]uint64, 0, len(p.asks.pending))
	for id := range p.asks.pending {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
