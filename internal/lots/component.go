package lots

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Owner identifies the component in the duties that it wants and the calls that it makes.
const Owner = "Rollouts"

// Component manages the rollouts whose duties this daemon holds. Its exported fields are set before the first Step.
type Component struct {
	Host  string
	Trust event.Trust

	rollouts           map[string]*rollout
	names              []string // sorted
	sampleByRequest    map[uint64]event.SampleRef
	lastRequest        uint64
	lastCall           uint64
	endpointList       wire.EndpointList
	engines            map[string]int // number of live ones by model
	concurrencyPerNode int
	stopping           bool
	prober             prober
	failedDeletes      failedDeletes
}

// Step applies one event. It must not be called concurrently.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.prepare()
	p.prober.observe(now, p.Host, ev)
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.ObjectSeen:
		p.handleObjectSeen(e.Object, out)
	case event.EndpointsListed:
		p.handleEndpointsListed(e.List)
	case event.ConfigInForce:
		p.concurrencyPerNode = e.Site.Limits.ConcurrencyPerNode
	case event.StopAsked:
		p.handleStopAsked(now, out)
	case event.StatusAsked:
		p.emitStatus(e.Seq, out)
	case event.PeerReceived:
		p.handlePeerReceived(now, e, out)
	default:
		p.stepRollout(now, ev, out)
	}
}

// stepRollout applies the events that concern single rollouts.
func (p *Component) stepRollout(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.DutyGained:
		p.withDuty(e.Duty, func(r *rollout) { p.handleDutyGained(r, e, out) })
	case event.DutyLost:
		p.withDuty(e.Duty, func(r *rollout) { p.handleDutyLost(r, out) })
	case event.LedgerWritten:
		p.withDuty(e.Duty, func(r *rollout) { p.handleLedgerWritten(now, r, e, out) })
	case event.BeatSeen:
		p.handleBeatSeen(e, out)
	case event.DutyAsked:
		p.handleDutyAsked(now, e, out)
	case event.AskDone:
		p.handleAskDone(now, e, out)
	case event.SampleSent:
		p.handleSampleSent(e)
	case event.BlockRead:
		p.handleBlockRead(now, e, out)
	case event.BlockLeft:
		p.handleBlockLeft(now, e)
	case event.RequestDone:
		p.handleRequestDone(now, e, out)
	case event.LotPacked:
		p.withRollout(e.Lot.Rollout, func(r *rollout) { p.handleLotPacked(r, e, out) })
	case event.GroupScored:
		p.withRollout(e.Lot.Rollout, func(r *rollout) { p.handleGroupScored(now, r, e, out) })
	}
}

func (p *Component) prepare() {
	if p.rollouts != nil {
		return
	}
	p.rollouts = map[string]*rollout{}
	p.sampleByRequest = map[uint64]event.SampleRef{}
	p.lastRequest = event.FirstSampleRequest
	p.concurrencyPerNode = config.Defaults().Limits.ConcurrencyPerNode
}

func (p *Component) handleDutyAsked(now time.Duration, e event.DutyAsked, out *event.Batch) {
	name, ok := strings.CutPrefix(e.Duty, wire.PrefixRolloutDuty)
	if !ok {
		return
	}
	if r, ok := p.rollouts[name]; ok {
		p.handleCall(now, r, e, out)
		return
	}
	answer(e.From, e.ID, kinds.NotFound, nil, out)
}

func (p *Component) withDuty(duty string, f func(*rollout)) {
	if name, ok := strings.CutPrefix(duty, wire.PrefixRolloutDuty); ok {
		p.withRollout(name, f)
	}
}

func (p *Component) withRollout(name string, f func(*rollout)) {
	if r, ok := p.rollouts[name]; ok {
		f(r)
	}
}

// handleObjectSeen adds or removes a rollout. An operator's specification never changes once created.
func (p *Component) handleObjectSeen(o wire.Object, out *event.Batch) {
	name, ok := strings.CutPrefix(o.Name, wire.PrefixRollouts)
	if !ok {
		return
	}
	if o.Deleted {
		p.remove(name, out)
		return
	}
	if _, ok := p.rollouts[name]; ok {
		return
	}
	r := &rollout{duty: wire.PrefixRolloutDuty + name}
	if err := json.Unmarshal(o.Value, &r.spec); err != nil || !validSpec(&r.spec, name) {
		out.Emit(event.Log{Level: "error", Event: "RolloutInvalid", Fields: []event.Field{{Key: "Rollout", Value: name}}})
		return
	}
	p.rollouts[name] = r
	p.names = append(p.names, name)
	slices.Sort(p.names)
	out.Emit(event.KeepRollout{Spec: o.Value})
	p.declareDuties(out)
}

func validSpec(s *wire.RolloutSpec, name string) bool {
	return s.Name == name && s.Model != "" && s.Organisation != "" && s.Groups > 0 && s.SamplesPerGroup > 0 &&
		s.SpareGroups >= 0 && s.MaxStaleness >= 0 && s.SealAhead >= 0 && len(s.Prompts) > 0
}

func (p *Component) remove(name string, out *event.Batch) {
	r, ok := p.rollouts[name]
	if !ok {
		return
	}
	p.dropAllBuilds(r, out)
	p.refusePending(r, kinds.OutcomeUnknown, out)
	p.refuseAwaitingProof(r, out)
	out.Emit(event.ForgetRollout{Name: name})
	delete(p.rollouts, name)
	p.names = slices.DeleteFunc(p.names, func(n string) bool { return n == name })
	p.declareDuties(out)
}

func (p *Component) declareDuties(out *event.Batch) {
	duties := make([]string, len(p.names))
	for i, n := range p.names {
		duties[i] = wire.PrefixRolloutDuty + n
	}
	out.Raise(event.WantDuties{Owner: Owner, Duties: duties})
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	p.retryDeletes(now, out)
	for _, name := range p.names {
		p.advance(now, p.rollouts[name], out)
	}
}

func (p *Component) emitStatus(seq uint64, out *event.Batch) {
	var all []wire.RolloutStatus
	for _, name := range p.names {
		r := p.rollouts[name]
		if !r.held && !r.lapsed {
			continue
		}
		all = append(all, wire.RolloutStatus{
			Rollout: name, Sealed: r.lastSealed(), Handed: r.lastGranted, Newest: r.ledger.Newest,
			Consumer: r.ledger.Consumer, Running: r.runningRequests(), Delivered: r.ledger.Delivered,
		})
	}
	out.Emit(event.StatusPart{Seq: seq, Status: wire.Status{Rollouts: all}})
}
