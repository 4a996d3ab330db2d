package batch

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// keepLeast is the least time for which the objects of an ended job stay in the store: late readers and the search
	// for a cause need them.
	keepLeast = 10 * time.Minute
	// keepTimes is the number of times that the results' own time must have passed since the end.
	keepTimes = 2
	// sweepEvery is the interval at which ended jobs are looked for; it costs one list of their records.
	sweepEvery = 5 * time.Minute
)

// Sweep is the share of the reducer that has the objects of ended jobs deleted. The holder of the duty for usage does
// so: it is one host, and deleting twice does no harm. Its exported fields are set before the first Step.
type Sweep struct {
	Trust       event.Trust
	KeepResults time.Duration // for which a job's results must be readable after its submission

	started bool
	next    time.Duration
	busy    bool
}

// Step applies one event. It must not be called concurrently.
func (s *Sweep) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.Tick:
		s.tick(now, out)
	case event.JobsSwept:
		s.swept(e, out)
	}
}

func (s *Sweep) tick(now time.Duration, out *event.Batch) {
	if !s.started {
		s.started, s.next = true, now+sweepEvery
	}
	if s.busy || now < s.next {
		return
	}
	s.next = now + sweepEvery
	if _, _, held := s.Trust.Holds(event.DutyUsage, now); !held {
		return
	}
	s.busy = true
	out.Emit(event.SweepJobs{Keep: max(keepLeast, keepTimes*s.KeepResults)})
}

func (s *Sweep) swept(e event.JobsSwept, out *event.Batch) {
	s.busy = false
	out.Emit(event.Count{Name: "JobsSwept", N: int64(e.Jobs)})
	out.Emit(event.Log{Level: "info", Event: "JobsSwept", Fields: []event.Field{
		{Key: "Jobs", Value: strconv.Itoa(e.Jobs)}, {Key: "Kind", Value: string(e.Kind)},
	}})
}
