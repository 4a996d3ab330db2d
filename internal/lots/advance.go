package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// sampleTimeout is the longest time that a sample's request may take.
	sampleTimeout = 5 * time.Minute
	// firstBackoff and maxBackoff are the first and the longest wait before a failed sample or score is retried.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// bytesPerToken estimates the number of tokens of a prompt from its length in bytes.
	bytesPerToken = 4
)

// advance starts all work that is due: builds, samples, hedges, scores and overdue ledger writes.
func (p *Component) advance(now time.Duration, r *rollout, out *event.Batch) {
	if validUntil, epoch, ok := p.Trust.Holds(r.duty, now); ok && epoch == r.epoch {
		r.validUntil = validUntil
	}
	if r.held && r.dirty && now-r.dirtySince >= maxWriteDelay {
		r.writeLedger(out)
	}
	p.propagate(now, r, out)
	p.sendStoredAnswers(now, r, out)
	p.expirePending(now, r, out)
	if p.stopping {
		p.finishStop(r, out)
		return
	}
	if r.held {
		p.startBuilds(now, r, out)
	}
	if !r.held && !r.lapsed {
		return
	}
	capacity := p.capacity(r.spec.Model) - r.runningRequests()
	for _, b := range r.builds {
		if b.stage != generating {
			continue
		}
		capacity = p.startSamples(now, r, b, capacity, out)
		capacity = p.startHedges(now, r, b, capacity, out)
		p.startScores(now, r, b, out)
	}
}

// capacity returns the number of samples that may run at the same time on the engines of a model.
func (p *Component) capacity(model string) int { return p.engines[model] * p.concurrencyPerNode }

// handleEndpointsListed stores the endpoint list and counts the live engines of each model.
func (p *Component) handleEndpointsListed(endpointList wire.EndpointList) {
	p.endpointList = endpointList
	p.engines = map[string]int{}
	for _, e := range endpointList.Endpoints {
		if e.Kind == wire.Engine && e.State == wire.Live {
			p.engines[e.Model]++
		}
	}
}

// startBuilds starts the builds that are allowed now: the lot after the last acknowledged one, and up to SealAhead lots
// that are sealed ahead of it. If each lot leads to a new version, a lot sealed further ahead than MaxStaleness is stale
// by the time it is requested.
func (p *Component) startBuilds(now time.Duration, r *rollout, out *event.Batch) {
	ahead := uint64(min(r.spec.SealAhead, r.spec.MaxStaleness))
	for lot := r.ledger.Acked + 1; lot <= r.ledger.Acked+1+ahead; lot++ {
		if r.spec.Lots > 0 && lot > r.spec.Lots {
			return
		}
		if _, ok := r.ledger.sealed(lot); ok || r.isBuilding(lot) {
			continue
		}
		p.startBuild(r, lot, out)
		r.markDirty(now)
	}
}

func (r *rollout) isBuilding(lot uint64) bool {
	return slices.ContainsFunc(r.builds, func(b *build) bool { return b.ref.Lot == lot })
}

func (p *Component) startBuild(r *rollout, lot uint64, out *event.Batch) {
	r.attempts++
	ref := event.LotRef{Rollout: r.spec.Name, Lot: lot, Attempt: r.epoch*attemptsPerEpoch + r.attempts}
	r.builds = append(r.builds, newBuild(ref, r.spec.Groups+r.spec.SpareGroups, r.spec.SamplesPerGroup))
	slices.SortFunc(r.builds, func(a, b *build) int { return int(a.ref.Lot) - int(b.ref.Lot) })
	out.Emit(event.OpenLot{Lot: ref})
}

// startSamples sends requests for samples in the order of their ids and returns the capacity that is left.
func (p *Component) startSamples(now time.Duration, r *rollout, b *build, capacity int, out *event.Batch) int {
	for i := range b.groups {
		for j := range b.groups[i].samples {
			if capacity <= 0 {
				return capacity
			}
			s := &b.groups[i].samples[j]
			if s.done || len(s.running) > 0 || now < s.notBefore {
				continue
			}
			p.requestSample(now, r, b, b.sampleRef(i, j), nil, out)
			capacity--
		}
	}
	return capacity
}

func (p *Component) requestSample(now time.Duration, r *rollout, b *build, ref event.SampleRef, avoid []string, out *event.Batch) {
	p.lastRequest++
	p.sampleByRequest[p.lastRequest] = ref
	s := b.sample(ref)
	s.running = append(s.running, runningRequest{id: p.lastRequest, startedAt: now})
	prompt := r.spec.Prompt(ref.Lot, ref.Group)
	out.Raise(event.RequestArrived{
		Request: p.lastRequest, Class: config.Rollout, Organisation: r.spec.Organisation, Model: r.spec.Model,
		Path: wire.PathGenerate, Method: "POST",
		Generation: true, Tokens: len(prompt)/bytesPerToken + r.spec.MaxTokens, Prefix: wire.PromptPrefixHash(prompt),
		Deadline: now + sampleTimeout, Sample: &ref, Avoid: avoid, MinVersion: r.minVersion(),
	})
}

// minVersion returns the oldest version that a sample may have, 0 for any.
func (r *rollout) minVersion() uint64 {
	if r.ledger.Newest <= uint64(r.spec.MaxStaleness) {
		return 0
	}
	return r.ledger.Newest - uint64(r.spec.MaxStaleness)
}

// handleSampleSent records the endpoint that a sample runs on, so that a hedge can avoid it.
func (p *Component) handleSampleSent(e event.SampleSent) {
	ref, ok := p.sampleByRequest[e.Request]
	if !ok {
		return
	}
	_, b := p.findBuild(ref)
	if b == nil {
		return
	}
	s := b.sample(ref)
	for i := range s.running {
		if s.running[i].id == e.Request {
			s.running[i].endpoint = e.Endpoint
		}
	}
}

// findBuild returns the build that a sample belongs to, nil if the build was dropped.
func (p *Component) findBuild(ref event.SampleRef) (*rollout, *build) {
	r, ok := p.rollouts[ref.Rollout]
	if !ok {
		return nil, nil
	}
	for _, b := range r.builds {
		if b.ref.Lot == ref.Lot && b.ref.Attempt == ref.Attempt {
			return r, b
		}
	}
	return r, nil
}
