package lots

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// startScores requests scores for each group whose samples are all done.
func (p *Component) startScores(now time.Duration, r *rollout, b *build, out *event.Batch) {
	if r.spec.Scorer == "" {
		return
	}
	for i := range b.groups {
		g := &b.groups[i]
		if g.unfinished > 0 || g.scoring || g.complete || now < g.notBefore {
			continue
		}
		address, ok := p.scorerAddress(r.spec.Scorer, i+g.failures)
		if !ok {
			continue
		}
		g.scoring = true
		g.turn++
		out.Emit(event.ScoreGroup{
			Lot: b.ref, Group: i, Turn: g.turn, Service: r.spec.Scorer, Address: address, Samples: b.finishedGroup(i),
		})
	}
}

// scorerAddress returns the address of a service's live endpoint at index, modulo their number.
func (p *Component) scorerAddress(service string, index int) (string, bool) {
	var live []string
	for _, e := range p.endpointList.Endpoints {
		if e.Kind == wire.Service && e.Service == service && e.State == wire.Live {
			live = append(live, e.Address)
		}
	}
	if len(live) == 0 {
		return "", false
	}
	return live[index%len(live)], true
}

// handleGroupScored completes a group with its scores, or schedules a retry. Scores are ignored if a sample was reset
// after they were requested.
func (p *Component) handleGroupScored(now time.Duration, r *rollout, e event.GroupScored, out *event.Batch) {
	_, b := p.findBuild(event.SampleRef{Rollout: e.Lot.Rollout, Lot: e.Lot.Lot, Attempt: e.Lot.Attempt})
	if b == nil || b.stage != generating {
		return
	}
	g := &b.groups[e.Group]
	if !g.scoring || g.turn != e.Turn {
		return
	}
	g.scoring = false
	if e.Kind != "" || len(e.Scores) != len(g.samples) {
		g.notBefore = now + backoff(g.failures)
		g.failures++
		out.Emit(event.Count{Name: "ScoresRetried", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
		return
	}
	g.scores = e.Scores
	p.completeGroup(r, b, e.Group, out)
}
