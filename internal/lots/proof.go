package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// probeTimeout is the longest time that a request for a lot waits for the replies of all hosts.
const probeTimeout = 500 * time.Millisecond

// prober collects what this daemon knows about the store and the other hosts, to prove that none of them has taken over
// a lapsed duty and to answer the probes of others.
type prober struct {
	storeSeen    bool
	storeSeenAt  time.Duration // time of the last answer
	hosts        []string      // all known hosts except this one
	incarnations map[string]string
	epochs       map[string]uint64 // highest known epoch by duty
	orderFlight  time.Duration
	probeID      uint64
}

// proof shows that no other host can have taken over a lapsed duty. It requires a reply from every known host that it
// had no answer from the store since the lease ended. A host that takes over the duty after its reply waits for orders
// in flight before its first decision, so the proof is valid for that long.
type proof struct {
	probeID           uint64
	sentAt            time.Duration
	missing           []string // hosts that have not sent an acceptable reply
	complete          bool
	pending           []pending
	knownIncarnations map[string]string // by host, when the lease ended
}

func (pr *prober) prepare() {
	if pr.epochs != nil {
		return
	}
	pr.incarnations = map[string]string{}
	pr.epochs = map[string]uint64{}
	pr.orderFlight = config.Defaults().Lease.OrderFlight
}

// observe updates the known hosts, incarnations and epochs, and the time of the store's last answer.
func (pr *prober) observe(now time.Duration, host string, ev event.Event) {
	pr.prepare()
	switch e := ev.(type) {
	case event.ObjectDone:
		pr.recordStoreAnswer(now, e.Kind)
	case event.ObjectsDone:
		pr.recordStoreAnswer(now, e.Kind)
	case event.HostsChanged:
		pr.hosts = pr.hosts[:0]
		for _, h := range e.Hosts {
			if h.Name != host {
				pr.hosts = append(pr.hosts, h.Name)
				pr.recordIncarnation(h)
			}
		}
	case event.PeerUp:
		pr.incarnations[e.Host] = e.Incarnation
	case event.ConfigInForce:
		pr.orderFlight = e.Site.Lease.OrderFlight
	case event.DutyGained:
		pr.epochs[e.Duty] = max(pr.epochs[e.Duty], e.Epoch)
	case event.BeatSeen:
		for _, d := range e.Beat.Duties {
			pr.epochs[d.Duty] = max(pr.epochs[d.Duty], d.Epoch)
		}
	}
}

// recordIncarnation takes the incarnation from a host's object, unless one is known already, as from a connection.
func (pr *prober) recordIncarnation(h event.Host) {
	if pr.incarnations[h.Name] == "" {
		pr.incarnations[h.Name] = h.Incarnation
	}
}

func (pr *prober) recordStoreAnswer(now time.Duration, kind kinds.Kind) {
	switch kind {
	case "", kinds.NotFound, kinds.Conflict:
		pr.storeSeen, pr.storeSeenAt = true, now
	}
}

// reply returns what this host knows about a duty.
func (pr *prober) reply(now time.Duration, p *wire.Probe) *wire.ProbeReply {
	r := &wire.ProbeReply{ID: p.ID, Duty: p.Duty, Epoch: pr.epochs[p.Duty], ContactMS: -1}
	if pr.storeSeen {
		r.ContactMS = (now - pr.storeSeenAt).Milliseconds()
	}
	return r
}

// provenUntil returns the end of a rollout's proof and whether the proof is valid now.
func (pr *prober) provenUntil(now time.Duration, r *rollout) (time.Duration, bool) {
	until := r.proof.sentAt + pr.orderFlight
	return until, r.proof.complete && now < until
}

// probe keeps a request until the proof is complete, and sends a probe to all known hosts unless one is in progress.
func (p *Component) probe(now time.Duration, r *rollout, request pending, out *event.Batch) {
	request.dueAt = now + probeTimeout
	r.proof.pending = append(r.proof.pending, request)
	if !r.proof.complete && r.proof.probeID > 0 && now < r.proof.sentAt+probeTimeout {
		return
	}
	p.prober.probeID++
	r.proof.probeID, r.proof.sentAt, r.proof.complete = p.prober.probeID, now, false
	r.proof.missing = slices.Clone(p.prober.hosts)
	for _, h := range r.proof.missing {
		out.Emit(event.SendPeer{Host: h, Message: wire.Message{Probe: &wire.Probe{ID: r.proof.probeID, Duty: r.duty}}})
	}
	p.completeProof(now, r, out)
}

// handlePeerReceived answers a probe of another host and processes the reply to a probe of this host.
func (p *Component) handlePeerReceived(now time.Duration, e event.PeerReceived, out *event.Batch) {
	if e.Message.Probe != nil {
		out.Emit(event.SendPeer{Host: e.Host, Message: wire.Message{ProbeReply: p.prober.reply(now, e.Message.Probe)}})
	}
	if reply := e.Message.ProbeReply; reply != nil {
		p.withDuty(reply.Duty, func(r *rollout) { p.handleProbeReply(now, r, e, reply, out) })
	}
}

func (p *Component) handleProbeReply(now time.Duration, r *rollout, e event.PeerReceived, reply *wire.ProbeReply, out *event.Batch) {
	if !r.lapsed || reply.ID != r.proof.probeID || r.proof.knownIncarnations[e.Host] != e.Incarnation || reply.Epoch > r.epoch {
		return
	}
	contact := now - time.Duration(reply.ContactMS)*time.Millisecond
	if reply.ContactMS >= 0 && contact > r.validUntil {
		return
	}
	r.proof.missing = slices.DeleteFunc(r.proof.missing, func(h string) bool { return h == e.Host })
	p.completeProof(now, r, out)
}

// completeProof processes the pending requests again once no host's reply is missing and this host itself had no answer
// from the store since the lease ended.
func (p *Component) completeProof(now time.Duration, r *rollout, out *event.Batch) {
	if len(r.proof.missing) > 0 || (p.prober.storeSeen && p.prober.storeSeenAt > r.validUntil) {
		return
	}
	r.proof.complete = true
	all := r.proof.pending
	r.proof.pending = nil
	for _, w := range all {
		p.handleLotCall(now, r, w.to, w.id, w.lotAsk, out)
	}
}

// expirePending refuses the requests whose proof was not completed in time.
func (p *Component) expirePending(now time.Duration, r *rollout, out *event.Batch) {
	all := r.proof.pending
	r.proof.pending = nil
	for _, w := range all {
		if now < w.dueAt {
			r.proof.pending = append(r.proof.pending, w)
			continue
		}
		answer(w.to, w.id, kinds.StoreUnavailable, nil, out)
	}
}

func (p *Component) refuseAwaitingProof(r *rollout, out *event.Batch) {
	for _, w := range r.proof.pending {
		answer(w.to, w.id, kinds.StoreUnavailable, nil, out)
	}
	r.proof.pending = nil
}
