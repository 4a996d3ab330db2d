package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
)

// stage is how far a lot in the making has come.
type stage int

const (
	generating stage = iota
	packing
	sealing
)

// making is one attempt at a lot that is not sealed yet.
type making struct {
	ref      event.LotRef
	stage    stage
	groups   []group
	complete int // groups complete and scored
	done     int // samples done
	started  int // samples started at least once
	took     []time.Duration
	sealSeq  uint64 // ledger write that seals it
	packed   event.LotPacked
	hedges   int
}

// group is a set of samples of one prompt that are taken together.
type group struct {
	samples  []sample
	left     int
	complete bool
	scoring  bool
	turn     int // number of the last scoring
	failures int
	notUntil time.Duration // next try at scoring
	scores   []float64
}

// sample is one sample of a group. Its tries run at the same time when it is hedged.
type sample struct {
	tries    []try
	done     bool
	request  uint64 // the one whose answer was taken
	tokens   int
	versions []uint64
	failures int
	hedged   bool
	notUntil time.Duration // next start after a failure
}

// try is one running request of a sample.
type try struct {
	request  uint64
	since    time.Duration
	endpoint string
}

func newMaking(ref event.LotRef, groups, samples int) *making {
	m := &making{ref: ref, groups: make([]group, groups)}
	for i := range m.groups {
		m.groups[i] = group{samples: make([]sample, samples), left: samples}
	}
	return m
}

func (m *making) sample(ref event.SampleRef) *sample {
	return &m.groups[ref.Group].samples[ref.Index]
}

// drop removes a try and reports whether it was there.
func (s *sample) drop(request uint64) (try, bool) {
	for i, t := range s.tries {
		if t.request == request {
			s.tries = slices.Delete(s.tries, i, i+1)
			return t, true
		}
	}
	return try{}, false
}

// reset makes a done sample to be made anew.
func (g *group) reset(s *sample) {
	if s.done {
		g.left++
	}
	*s = sample{tries: s.tries, failures: s.failures}
	g.scoring, g.scores = false, nil
}

func (s *sample) oldest() uint64 { return slices.Min(s.versions) }

// oldest returns the oldest version in the groups that are complete.
func (m *making) oldest() uint64 {
	oldest := ^uint64(0)
	for i := range m.groups {
		if !m.groups[i].complete {
			continue
		}
		for j := range m.groups[i].samples {
			oldest = min(oldest, m.groups[i].samples[j].oldest())
		}
	}
	return oldest
}

// running returns the number of requests under way.
func (m *making) running() int {
	n := 0
	for i := range m.groups {
		for j := range m.groups[i].samples {
			n += len(m.groups[i].samples[j].tries)
		}
	}
	return n
}

// finished returns the samples of the complete groups, in the order of their ids.
func (m *making) finished() []event.FinishedSample {
	var all []event.FinishedSample
	for i := range m.groups {
		if m.groups[i].complete {
			all = append(all, m.groupFinished(i)...)
		}
	}
	return all
}

func (m *making) groupFinished(i int) []event.FinishedSample {
	g := &m.groups[i]
	all := make([]event.FinishedSample, len(g.samples))
	for j := range g.samples {
		s := &g.samples[j]
		all[j] = event.FinishedSample{Ref: m.sampleRef(i, j), Request: s.request, Tokens: s.tokens, Versions: s.versions}
		if len(g.scores) > 0 {
			all[j].Score, all[j].Scored = g.scores[j], true
		}
	}
	return all
}

func (m *making) sampleRef(i, j int) event.SampleRef {
	return event.SampleRef{Rollout: m.ref.Rollout, Lot: m.ref.Lot, Attempt: m.ref.Attempt, Group: i, Index: j}
}
