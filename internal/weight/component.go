// Package weight keeps the engines of a model at the newest published weight version.
package weight

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
const Owner = "Weights"

// DutyPrefix is the prefix of the duties to keep a model's engines at the newest version; the model's name follows.
const DutyPrefix = "Weights."

// targetCall is the name of the call that tells a model's holder which version its engines must load.
const targetCall = "Target"

const (
	callTimeout       = 3 * time.Second
	callRetryInterval = 500 * time.Millisecond
)

// target is the body of targetCall.
type target struct{ Version uint64 }

// Component manages the models whose duties this daemon holds. Its exported fields are set before the first Step.
type Component struct {
	Trust event.Trust

	modelByRollout map[string]string
	models         map[string]*model
	names          []string // of the models, sorted
	unconfirmed    map[string]*unconfirmed
	site           *config.Weights
	endpointList   wire.EndpointList
	lastCall       uint64
}

// unconfirmed is a published version that the model's holder has not confirmed yet.
type unconfirmed struct {
	version uint64
	callSeq uint64
	retryAt time.Duration
}

// Step applies one event. It must not be called concurrently.
func (p *Component) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.prepare()
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.ObjectSeen:
		p.handleObjectSeen(e.Object, out)
	case event.ConfigInForce:
		p.site = &e.Site.Weights
	case event.EndpointsListed:
		p.handleEndpointsListed(e.List)
	case event.VersionPublished:
		p.handleVersionPublished(now, e, out)
	case event.AskDone:
		p.handleAskDone(now, e)
	case event.BeatSeen:
		p.handleLoadReports(e.Beat.Loads)
	default:
		p.stepModel(now, ev, out)
	}
}

func (p *Component) stepModel(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.DutyGained:
		p.withDuty(e.Duty, func(m *model) { m.handleDutyGained(e, out) })
	case event.DutyLost:
		p.withDuty(e.Duty, func(m *model) { m.handleDutyLost(out) })
	case event.LedgerWritten:
		p.withDuty(e.Duty, func(m *model) { p.handleLedgerWritten(now, m, e, out) })
	case event.DutyAsked:
		p.withDuty(e.Duty, func(m *model) { m.handleDutyAsked(e, out) })
	case event.EngineSwapped:
		p.withDuty(e.Duty, func(m *model) { p.handleEngineSwapped(now, m, e, out) })
	case event.EngineRead:
		p.withDuty(e.Duty, func(m *model) { m.handleEngineRead(now, e) })
	case event.StopAsked:
		for _, n := range p.names {
			p.models[n].stopping = true
		}
	}
}

func (p *Component) prepare() {
	if p.models != nil {
		return
	}
	p.modelByRollout = map[string]string{}
	p.models = map[string]*model{}
	p.unconfirmed = map[string]*unconfirmed{}
	p.site = &config.Defaults().Weights
}

func (p *Component) withDuty(duty string, f func(*model)) {
	name, ok := strings.CutPrefix(duty, DutyPrefix)
	if !ok {
		return
	}
	if m, ok := p.models[name]; ok {
		f(m)
	}
}

// handleObjectSeen declares a duty for the model of each rollout.
func (p *Component) handleObjectSeen(o wire.Object, out *event.Batch) {
	name, ok := strings.CutPrefix(o.Name, wire.PrefixRollouts)
	if !ok {
		return
	}
	var spec wire.RolloutSpec
	if o.Deleted || json.Unmarshal(o.Value, &spec) != nil || spec.Model == "" {
		delete(p.modelByRollout, name)
	} else {
		p.modelByRollout[name] = spec.Model
	}
	p.declareDuties(out)
}

func (p *Component) declareDuties(out *event.Batch) {
	wanted := map[string]bool{}
	for _, m := range p.modelByRollout {
		wanted[m] = true
	}
	p.names = p.names[:0]
	for m := range wanted {
		p.names = append(p.names, m)
	}
	slices.Sort(p.names)
	duties := make([]string, len(p.names))
	for i, n := range p.names {
		duties[i] = DutyPrefix + n
		if p.models[n] == nil {
			p.models[n] = &model{name: n, duty: DutyPrefix + n, engines: map[string]*engine{}}
			p.models[n].handleEndpointsListed(p.endpointList)
		}
	}
	for n := range p.models {
		if !wanted[n] {
			delete(p.models, n)
		}
	}
	out.Raise(event.WantDuties{Owner: Owner, Duties: duties})
}

func (p *Component) handleEndpointsListed(endpointList wire.EndpointList) {
	p.endpointList = endpointList
	for _, n := range p.names {
		p.models[n].handleEndpointsListed(endpointList)
	}
}

// handleLoadReports marks an engine to be read again if its load report shows another version than the known one.
func (p *Component) handleLoadReports(reports []wire.LoadReport) {
	for _, n := range p.names {
		for _, r := range reports {
			p.models[n].handleLoadReport(r)
		}
	}
}

// handleVersionPublished sends a version to the model's holder until the holder confirms it.
func (p *Component) handleVersionPublished(now time.Duration, e event.VersionPublished, out *event.Batch) {
	n := p.unconfirmed[e.Model]
	if n != nil && n.version >= e.Version {
		return
	}
	p.unconfirmed[e.Model] = &unconfirmed{version: e.Version}
	p.callHolder(now, e.Model, out)
}

func (p *Component) callHolder(now time.Duration, name string, out *event.Batch) {
	n := p.unconfirmed[name]
	p.lastCall++
	n.callSeq, n.retryAt = p.lastCall, now+callTimeout+callRetryInterval
	body, err := json.Marshal(target{Version: n.version})
	if err != nil {
		return
	}
	out.Raise(event.AskDuty{
		Owner: Owner, Seq: p.lastCall, Duty: DutyPrefix + name, Call: targetCall, Body: body, Deadline: now + callTimeout,
	})
}

func (p *Component) handleAskDone(now time.Duration, e event.AskDone) {
	if e.Owner != Owner {
		return
	}
	for _, n := range p.names {
		w := p.unconfirmed[n]
		if w == nil || w.callSeq != e.Seq {
			continue
		}
		if e.Kind == "" {
			delete(p.unconfirmed, n)
			return
		}
		w.retryAt = now + callRetryInterval
	}
}

func (p *Component) tick(now time.Duration, out *event.Batch) {
	for _, name := range p.names {
		if n := p.unconfirmed[name]; n != nil && now >= n.retryAt {
			p.callHolder(now, name, out)
		}
		p.advance(now, p.models[name], out)
	}
}

func (m *model) handleDutyAsked(e event.DutyAsked, out *event.Batch) {
	var t target
	if e.Call != targetCall || json.Unmarshal(e.Body, &t) != nil {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kinds.BadRequest})
		return
	}
	if !m.held {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kinds.NotHolder})
		return
	}
	m.ledger.Target, m.upToDate = max(m.ledger.Target, t.Version), false
	m.pending = append(m.pending, pending{writeSeq: m.writeLedger(out), to: e.From, id: e.ID})
}
