package batch

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	// minKeep is the shortest time for which the objects of an ended job stay in the store: late readers and the
	// investigation of faults need them.
	minKeep = 10 * time.Minute
	// keepFactor is the multiple of KeepResults for which they stay when that is longer.
	keepFactor = 2
	// keepOpen is the time for which the objects of a job stay that no caller has ended since all its results were listed. It
	// bounds what an organisation can keep.
	keepOpen = 24 * time.Hour
	// sweepInterval is the interval between two sweeps; each lists the records of the ended jobs once.
	sweepInterval = 5 * time.Minute
)

// Sweeper is the component of the reducer that has the objects of ended jobs deleted. It does so on the host that holds
// the duty for usage, since only one host holds it at a time; deleting twice does no harm. Its exported fields are set
// before the first Step.
type Sweeper struct {
	Trust       event.Trust
	KeepResults time.Duration // how long a job's results must be readable after its submission

	started   bool
	nextSweep time.Duration
	sweeping  bool
}

// Step applies one event. It must not be called concurrently.
func (s *Sweeper) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.Tick:
		s.tick(now, out)
	case event.JobsSwept:
		s.handleJobsSwept(e, out)
	}
}

func (s *Sweeper) tick(now time.Duration, out *event.Batch) {
	if !s.started {
		s.started, s.nextSweep = true, now+sweepInterval
	}
	if s.sweeping || now < s.nextSweep {
		return
	}
	s.nextSweep = now + sweepInterval
	if _, _, held := s.Trust.Holds(event.DutyUsage, now); !held {
		return
	}
	s.sweeping = true
	keep := max(minKeep, keepFactor*s.KeepResults)
	out.Emit(event.SweepJobs{Keep: keep, KeepOpen: max(keep, keepOpen)})
}

func (s *Sweeper) handleJobsSwept(e event.JobsSwept, out *event.Batch) {
	s.sweeping = false
	out.Emit(event.Count{Name: "JobsSwept", N: int64(e.Jobs)})
	out.Emit(event.Log{Level: "info", Event: "JobsSwept", Fields: []event.Field{
		{Key: "Jobs", Value: strconv.Itoa(e.Jobs)}, {Key: "Kind", Value: string(e.Kind)},
	}})
}
