package lots

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// startScores asks the scorer for each group whose samples are done.
func (p *Part) startScores(now time.Duration, r *rollout, m *making, out *event.Batch) {
	if r.spec.Scorer == "" {
		return
	}
	for i := range m.groups {
		g := &m.groups[i]
		if g.left > 0 || g.scoring || g.complete || now < g.notUntil {
			continue
		}
		address, ok := p.scorer(r.spec.Scorer, i+g.failures)
		if !ok {
			continue
		}
		g.scoring = true
		g.turn++
		out.Emit(event.ScoreGroup{
			Lot: m.ref, Group: i, Turn: g.turn, Service: r.spec.Scorer, Address: address, Samples: m.groupFinished(i),
		})
	}
}

// scorer returns the turn-th live endpoint of a service.
func (p *Part) scorer(service string, turn int) (string, bool) {
	var live []string
	for _, e := range p.list.Endpoints {
		if e.Kind == wire.Service && e.Service == service && e.State == wire.Live {
			live = append(live, e.Address)
		}
	}
	if len(live) == 0 {
		return "", false
	}
	return live[turn%len(live)], true
}

// scored takes a group's scores, or has them asked for again. A sample reset meanwhile voids them.
func (p *Part) scored(now time.Duration, r *rollout, e event.GroupScored, out *event.Batch) {
	_, m := p.find(event.SampleRef{Rollout: e.Lot.Rollout, Lot: e.Lot.Lot, Attempt: e.Lot.Attempt})
	if m == nil || m.stage != generating {
		return
	}
	g := &m.groups[e.Group]
	if !g.scoring || g.turn != e.Turn {
		return
	}
	g.scoring = false
	if e.Kind != "" || len(e.Scores) != len(g.samples) {
		g.notUntil = now + backoff(g.failures)
		g.failures++
		out.Emit(event.Count{Name: "ScoresRetried", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
		return
	}
	g.scores = e.Scores
	p.completeGroup(r, m, e.Group, out)
}
