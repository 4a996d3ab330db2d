package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// defaultHedgeMultiple of the lot's median time makes a running sample a straggler.
	defaultHedgeMultiple = 3.0
	// hedgeFloor is the least running time of a straggler.
	hedgeFloor = 200 * time.Millisecond
	// hedgeAfterShare of a lot's samples must be done before its median counts.
	hedgeAfterShare = 0.5
	// hedgeShare bounds the hedges of a lot by its samples.
	hedgeShare = 0.1
)

// hedge starts a second request for each straggler, away from the endpoint of the first, and returns the room left.
func (p *Part) hedge(now time.Duration, r *rollout, m *making, room int, out *event.Batch) int {
	limit, ok := straggleTime(r.spec.HedgeMultiple, m.took, len(m.groups)*r.spec.SamplesPerGroup)
	if !ok {
		return room
	}
	most := int(hedgeShare*float64(len(m.groups)*r.spec.SamplesPerGroup)) + 1
	for i := range m.groups {
		for j := range m.groups[i].samples {
			s := &m.groups[i].samples[j]
			if room <= 0 || m.hedges >= most {
				return room
			}
			if s.done || s.hedged || len(s.tries) != 1 || now-s.tries[0].since < limit {
				continue
			}
			p.startHedge(now, r, m, m.sampleRef(i, j), out)
			room--
		}
	}
	return room
}

func (p *Part) startHedge(now time.Duration, r *rollout, m *making, ref event.SampleRef, out *event.Batch) {
	s := m.sample(ref)
	s.hedged = true
	m.hedges++
	var avoid []string
	if s.tries[0].endpoint != "" {
		avoid = []string{s.tries[0].endpoint}
	}
	p.startTry(now, r, m, ref, avoid, out)
	out.Emit(event.Count{Name: "SamplesHedged", N: 1})
}

// straggleTime returns the running time beyond which a sample is a straggler, false while that is not known.
func straggleTime(multiple float64, took []time.Duration, samples int) (time.Duration, bool) {
	if multiple < 0 || len(took) == 0 || float64(len(took)) < hedgeAfterShare*float64(samples) {
		return 0, false
	}
	if multiple == 0 {
		multiple = defaultHedgeMultiple
	}
	sorted := slices.Clone(took)
	slices.Sort(sorted)
	return max(hedgeFloor, time.Duration(multiple*float64(sorted[len(sorted)/2]))), true
}
