package member

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// pendingCalls holds this daemon's calls to duty holders that are in flight.
type pendingCalls struct {
	// idBase makes the call IDs of two incarnations differ, so that a late reply can't end another call.
	idBase uint64
	lastID uint64
	byID   map[uint64]pendingCall
}

type pendingCall struct {
	ask    event.AskDuty
	holder string
}

// Holder returns the host that holds a duty according to the heartbeats of the hosts that are alive, and the duty's
// epoch; "" when none is known.
func (p *Component) Holder(duty string, now time.Duration) (host string, epoch uint64) {
	if epoch, ok := p.heldEpochs[duty]; ok {
		return p.Self.Name, epoch
	}
	for _, name := range p.peerNames() {
		if !p.isAlive(name, now) {
			continue
		}
		for _, d := range p.peers[name].lastHeartbeat.Duties {
			if d.Duty == duty && d.Epoch > epoch {
				host, epoch = name, d.Epoch
			}
		}
	}
	return host, epoch
}

func (p *Component) callDuty(now time.Duration, e event.AskDuty, out *event.Batch) {
	holder, _ := p.Holder(e.Duty, now)
	if holder == "" {
		holder = p.lapsedHolder(e.Duty, now)
	}
	if holder == "" {
		reportDone(e, p.noHolderKind(now), nil, out)
		return
	}
	p.calls.lastID++
	id := p.calls.idBase + p.calls.lastID
	p.calls.byID[id] = pendingCall{ask: e, holder: holder}
	if holder == p.Self.Name {
		out.Raise(event.DutyAsked{From: holder, ID: id, Duty: e.Duty, Call: e.Call, Body: e.Body})
		return
	}
	ask := &wire.Ask{ID: id, Duty: e.Duty, Call: e.Call, Body: e.Body}
	out.Emit(event.SendPeer{Host: holder, Message: wire.Message{Ask: ask}})
}

// noHolderKind returns the error kind for a duty without a known holder. Without the store no holder can be found.
func (p *Component) noHolderKind(now time.Duration) kinds.Kind {
	if p.Store != nil && !p.Store.Reachable(now) {
		return kinds.StoreUnavailable
	}
	return kinds.NotHolder
}

func (p *Component) receiveAsk(from string, ask wire.Ask, out *event.Batch) {
	if _, ok := p.heldEpochs[ask.Duty]; !ok && !answersAfterLapse(ask.Duty) {
		p.answer(event.AnswerDuty{To: from, ID: ask.ID, Kind: kinds.NotHolder}, out)
		return
	}
	out.Raise(event.DutyAsked{From: from, ID: ask.ID, Duty: ask.Duty, Call: ask.Call, Body: ask.Body})
}

func (p *Component) answer(e event.AnswerDuty, out *event.Batch) {
	if e.To == p.Self.Name {
		p.endCall(e.ID, e.Kind, e.Body, out)
		return
	}
	reply := &wire.Reply{ID: e.ID, Kind: string(e.Kind), Body: e.Body}
	out.Emit(event.SendPeer{Host: e.To, Message: wire.Message{Reply: reply}})
}

func (p *Component) receiveReply(from string, reply wire.Reply, out *event.Batch) {
	if p.calls.byID[reply.ID].holder != from {
		return
	}
	p.endCall(reply.ID, kinds.Kind(reply.Kind), reply.Body, out)
}

func (p *Component) endCall(id uint64, kind kinds.Kind, body []byte, out *event.Batch) {
	pending, ok := p.calls.byID[id]
	if !ok {
		return
	}
	delete(p.calls.byID, id)
	reportDone(pending.ask, kind, body, out)
}

func reportDone(call event.AskDuty, kind kinds.Kind, body []byte, out *event.Batch) {
	done := event.AskDone{Owner: call.Owner, Seq: call.Seq, Kind: kind, Body: body}
	out.Raise(done)
	out.Emit(done)
}

// expireCalls ends the calls whose deadline has passed. The holder may have executed them.
func (p *Component) expireCalls(now time.Duration, out *event.Batch) {
	for _, id := range p.pendingCallIDs() {
		if now >= p.calls.byID[id].ask.Deadline {
			p.endCall(id, kinds.OutcomeUnknown, nil, out)
		}
	}
}

// failCalls ends the calls to a lost host.
func (p *Component) failCalls(host string, out *event.Batch) {
	for _, id := range p.pendingCallIDs() {
		if p.calls.byID[id].holder == host {
			p.endCall(id, kinds.OutcomeUnknown, nil, out)
		}
	}
}

func (p *Component) pendingCallIDs() []uint64 {
	ids := make([]uint64, 0, len(p.calls.byID))
	for id := range p.calls.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
