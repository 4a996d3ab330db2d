package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// stage is the progress of a build.
type stage int

const (
	generating stage = iota
	packing
	sealing
)

// build is one attempt at a lot that is not sealed yet.
type build struct {
	ref            event.LotRef
	stage          stage
	groups         []group
	complete       int // complete groups, with their scores
	samplesDone    int
	samplesStarted int             // at least once
	took           []time.Duration // of the accepted requests
	sealSeq        uint64          // Seq of the ledger write that seals the lot
	packed         event.LotPacked
	hedges         int
}

// group is the samples of one prompt, which a lot contains either all or not at all.
type group struct {
	samples    []sample
	unfinished int
	complete   bool
	scoring    bool
	turn       int // number of the last score request
	failures   int
	notBefore  time.Duration // earliest time of the next score request
	scores     []float64
}

// sample is one sample of a group. A hedged sample has two running requests.
type sample struct {
	running         []runningRequest
	done            bool
	acceptedRequest uint64
	tokens          int
	versions        []uint64
	failures        int
	hedged          bool
	notBefore       time.Duration // earliest time of the next request after a failure
}

// runningRequest is a request for a sample that has not ended.
type runningRequest struct {
	id        uint64
	startedAt time.Duration
	endpoint  string
}

func newBuild(ref event.LotRef, groups, samples int) *build {
	b := &build{ref: ref, groups: make([]group, groups)}
	for i := range b.groups {
		b.groups[i] = group{samples: make([]sample, samples), unfinished: samples}
	}
	return b
}

func (b *build) sample(ref event.SampleRef) *sample {
	return &b.groups[ref.Group].samples[ref.Index]
}

// removeRequest removes a running request and reports whether it was found.
func (s *sample) removeRequest(id uint64) (runningRequest, bool) {
	for i, r := range s.running {
		if r.id == id {
			s.running = slices.Delete(s.running, i, i+1)
			return r, true
		}
	}
	return runningRequest{}, false
}

// resetSample discards a sample's answer and the group's scores, so that the sample is generated again.
func (g *group) resetSample(s *sample) {
	if s.done {
		g.unfinished++
	}
	*s = sample{running: s.running, failures: s.failures}
	g.scoring, g.scores = false, nil
}

func (s *sample) oldest() uint64 { return slices.Min(s.versions) }

// oldest returns the oldest version in the complete groups.
func (b *build) oldest() uint64 {
	oldest := ^uint64(0)
	for i := range b.groups {
		if !b.groups[i].complete {
			continue
		}
		for j := range b.groups[i].samples {
			oldest = min(oldest, b.groups[i].samples[j].oldest())
		}
	}
	return oldest
}

// runningRequests returns the number of running requests.
func (b *build) runningRequests() int {
	n := 0
	for i := range b.groups {
		for j := range b.groups[i].samples {
			n += len(b.groups[i].samples[j].running)
		}
	}
	return n
}

// finishedSamples returns the samples of the complete groups, in the order of their ids.
func (b *build) finishedSamples() []event.FinishedSample {
	var all []event.FinishedSample
	for i := range b.groups {
		if b.groups[i].complete {
			all = append(all, b.finishedGroup(i)...)
		}
	}
	return all
}

func (b *build) finishedGroup(i int) []event.FinishedSample {
	g := &b.groups[i]
	all := make([]event.FinishedSample, len(g.samples))
	for j := range g.samples {
		s := &g.samples[j]
		all[j] = event.FinishedSample{Ref: b.sampleRef(i, j), Request: s.acceptedRequest, Tokens: s.tokens, Versions: s.versions}
		if len(g.scores) > 0 {
			all[j].Score, all[j].Scored = g.scores[j], true
		}
	}
	return all
}

func (b *build) sampleRef(i, j int) event.SampleRef {
	return event.SampleRef{Rollout: b.ref.Rollout, Lot: b.ref.Lot, Attempt: b.ref.Attempt, Group: i, Index: j}
}
