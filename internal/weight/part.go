// Package weight keeps the engines of a model at the newest published version.
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

// Owner names the part in its calls.
const Owner = "Weights"

// DutyPrefix is the prefix of the duties that keep the models' versions.
const DutyPrefix = "Weights."

// askTarget is the call that tells a model's holder the version that its engines should have.
const askTarget = "Target"

const (
	askTimeout = 3 * time.Second
	askEvery   = 500 * time.Millisecond
)

// target is the body of askTarget.
type target struct{ Version uint64 }

// Part keeps the models whose duties this daemon holds. Its exported fields are set before the first step.
type Part struct {
	Trust event.Trust

	rollouts map[string]string // model by rollout
	models   map[string]*model
	names    []string // sorted models
	news     map[string]*news
	site     *config.Weights
	list     wire.EndpointList
	ask      uint64
}

// news is a version that a model's holder has yet to confirm.
type news struct {
	version uint64
	seq     uint64
	next    time.Duration
}

// Step takes one event. It must not be called concurrently.
func (p *Part) Step(now time.Duration, ev event.Event, out *event.Batch) {
	p.prepare()
	switch e := ev.(type) {
	case event.Tick:
		p.tick(now, out)
	case event.ObjectSeen:
		p.see(e.Object, out)
	case event.ConfigInForce:
		p.site = &e.Site.Weights
	case event.EndpointsListed:
		p.listed(e.List)
	case event.VersionPublished:
		p.published(now, e, out)
	case event.AskDone:
		p.asked(now, e)
	case event.BeatSeen:
		p.loads(e.Beat.Loads)
	default:
		p.stepModel(now, ev, out)
	}
}

func (p *Part) stepModel(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.DutyGained:
		p.withDuty(e.Duty, func(m *model) { m.gain(e, out) })
	case event.DutyLost:
		p.withDuty(e.Duty, func(m *model) { m.lose(out) })
	case event.LedgerWritten:
		p.withDuty(e.Duty, func(m *model) { p.written(now, m, e, out) })
	case event.DutyAsked:
		p.withDuty(e.Duty, func(m *model) { m.asked(e, out) })
	case event.EngineSwapped:
		p.withDuty(e.Duty, func(m *model) { p.swapped(now, m, e, out) })
	case event.EngineRead:
		p.withDuty(e.Duty, func(m *model) { m.read(now, e) })
	case event.StopAsked:
		for _, n := range p.names {
			p.models[n].stopping = true
		}
	}
}

func (p *Part) prepare() {
	if p.models != nil {
		return
	}
	p.rollouts = map[string]string{}
	p.models = map[string]*model{}
	p.news = map[string]*news{}
	p.site = &config.Defaults().Weights
}

func (p *Part) withDuty(duty string, f func(*model)) {
	name, ok := strings.CutPrefix(duty, DutyPrefix)
	if !ok {
		return
	}
	if m, ok := p.models[name]; ok {
		f(m)
	}
}

// see wants a duty for the model of each rollout.
func (p *Part) see(o wire.Object, out *event.Batch) {
	name, ok := strings.CutPrefix(o.Name, wire.PrefixRollouts)
	if !ok {
		return
	}
	var spec wire.RolloutSpec
	if o.Deleted || json.Unmarshal(o.Value, &spec) != nil || spec.Model == "" {
		delete(p.rollouts, name)
	} else {
		p.rollouts[name] = spec.Model
	}
	p.want(out)
}

func (p *Part) want(out *event.Batch) {
	wanted := map[string]bool{}
	for _, m := range p.rollouts {
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
			p.models[n].listed(p.list)
		}
	}
	for n := range p.models {
		if !wanted[n] {
			delete(p.models, n)
		}
	}
	out.Raise(event.WantDuties{Owner: Owner, Duties: duties})
}

func (p *Part) listed(list wire.EndpointList) {
	p.list = list
	for _, n := range p.names {
		p.models[n].listed(list)
	}
}

// loads has an engine read again when a load report tells another version than known.
func (p *Part) loads(reports []wire.LoadReport) {
	for _, n := range p.names {
		for _, r := range reports {
			p.models[n].reported(r)
		}
	}
}

// published passes a version on to the model's holder, until the holder confirms it.
func (p *Part) published(now time.Duration, e event.VersionPublished, out *event.Batch) {
	n := p.news[e.Model]
	if n != nil && n.version >= e.Version {
		return
	}
	p.news[e.Model] = &news{version: e.Version}
	p.tell(now, e.Model, out)
}

func (p *Part) tell(now time.Duration, name string, out *event.Batch) {
	n := p.news[name]
	p.ask++
	n.seq, n.next = p.ask, now+askTimeout+askEvery
	body, err := json.Marshal(target{Version: n.version})
	if err != nil {
		return
	}
	out.Raise(event.AskDuty{
		Owner: Owner, Seq: p.ask, Duty: DutyPrefix + name, Call: askTarget, Body: body, Deadline: now + askTimeout,
	})
}

func (p *Part) asked(now time.Duration, e event.AskDone) {
	if e.Owner != Owner {
		return
	}
	for _, n := range p.names {
		w := p.news[n]
		if w == nil || w.seq != e.Seq {
			continue
		}
		if e.Kind == "" {
			delete(p.news, n)
			return
		}
		w.next = now + askEvery
	}
}

func (p *Part) tick(now time.Duration, out *event.Batch) {
	for _, name := range p.names {
		if n := p.news[name]; n != nil && now >= n.next {
			p.tell(now, name, out)
		}
		p.advance(now, p.models[name], out)
	}
}

func (m *model) asked(e event.DutyAsked, out *event.Batch) {
	var t target
	if e.Call != askTarget || json.Unmarshal(e.Body, &t) != nil {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kinds.BadRequest})
		return
	}
	if !m.held {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kinds.NotHolder})
		return
	}
	m.ledger.Target, m.settled = max(m.ledger.Target, t.Version), false
	m.waiting = append(m.waiting, waiting{seq: m.write(out), to: e.From, id: e.ID})
}
