package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// defaultHedgeMultiple is the multiple of the lot's median sample time after which a running sample is a straggler.
	defaultHedgeMultiple = 3.0
	// minStragglerTime is the minimum running time of a straggler.
	minStragglerTime = 200 * time.Millisecond
	// hedgeMinDoneShare is the share of a lot's samples that must be done before the median is used.
	hedgeMinDoneShare = 0.5
	// maxHedgeShare is the maximum number of hedges of a lot, as a share of its samples.
	maxHedgeShare = 0.1
)

// startHedges sends a second request for each straggler, to another endpoint than the first, and returns the capacity
// that is left.
func (p *Component) startHedges(now time.Duration, r *rollout, b *build, capacity int, out *event.Batch) int {
	threshold, ok := stragglerThreshold(r.spec.HedgeMultiple, b.took, len(b.groups)*r.spec.SamplesPerGroup)
	if !ok {
		return capacity
	}
	maxHedges := int(maxHedgeShare*float64(len(b.groups)*r.spec.SamplesPerGroup)) + 1
	for i := range b.groups {
		for j := range b.groups[i].samples {
			s := &b.groups[i].samples[j]
			if capacity <= 0 || b.hedges >= maxHedges {
				return capacity
			}
			if s.done || s.hedged || len(s.running) != 1 || now-s.running[0].startedAt < threshold {
				continue
			}
			p.startHedge(now, r, b, b.sampleRef(i, j), out)
			capacity--
		}
	}
	return capacity
}

func (p *Component) startHedge(now time.Duration, r *rollout, b *build, ref event.SampleRef, out *event.Batch) {
	s := b.sample(ref)
	s.hedged = true
	b.hedges++
	var avoid []string
	if s.running[0].endpoint != "" {
		avoid = []string{s.running[0].endpoint}
	}
	p.requestSample(now, r, b, ref, avoid, out)
	out.Emit(event.Count{Name: "SamplesHedged", N: 1})
}

// stragglerThreshold returns the running time from which on a sample is a straggler, false if hedging is disabled or too
// few samples are done.
func stragglerThreshold(multiple float64, took []time.Duration, samples int) (time.Duration, bool) {
	if multiple < 0 || len(took) == 0 || float64(len(took)) < hedgeMinDoneShare*float64(samples) {
		return 0, false
	}
	if multiple == 0 {
		multiple = defaultHedgeMultiple
	}
	sorted := slices.Clone(took)
	slices.Sort(sorted)
	return max(minStragglerTime, time.Duration(multiple*float64(sorted[len(sorted)/2]))), true
}
