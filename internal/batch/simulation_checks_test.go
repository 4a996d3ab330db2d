package batch

import (
	"fmt"
	"slices"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

func (s *simulation) noteAnswer(e event.JobAnswer) {
	j := s.jobs[jobOf(e.Seq)]
	switch {
	case s.endCalls[e.Seq]:
		j.endAcked = j.endAcked || e.Kind == ""
		j.endAsked = j.endAsked || kinds.AnswerFor(e.Kind).Run != kinds.NotRun || e.Kind == ""
		j.endCalls--
	case e.Kind == "":
		j.accepted = true
		if !j.stored || j.storedOf != s.submitters[e.Seq] {
			s.t.Fatalf("job %s of %s was accepted, and the store holds that of %q", j.id, s.submitters[e.Seq], j.storedOf)
		}
	case kinds.AnswerFor(e.Kind).Run == kinds.NotRun:
		j.refused = true
		s.checkRefusal(j)
	default:
		j.unknown = true
	}
}

func (s *simulation) noteRun(job string) {
	j := s.jobs[job]
	j.ran = true
	s.checkRefusal(j)
}

// checkLister fails the test when a host lists results of a stored job while it runs another organisation's job of that id.
func (s *simulation) checkLister(h *simHost, id string) {
	j, run := s.jobs[id], h.p.jobs[id]
	if run != nil && j.stored && run.head.Organisation != j.storedOf {
		s.t.Fatalf("%s runs %s of %s and lists it as that of %s", h.name, id, run.head.Organisation, j.storedOf)
	}
}

// checkRefusal fails the test when a job ran although every answer said that nothing runs.
func (s *simulation) checkRefusal(j *simJob) {
	if j.ran && j.refused && !j.accepted && !j.unknown && !j.stored && !s.storingUnderWay(j) {
		s.t.Fatalf("job %s ran although every answer said that it does not", j.id)
	}
}

// storingUnderWay reports whether a call to store the job has no outcome yet.
func (s *simulation) storingUnderWay(j *simJob) bool {
	return slices.ContainsFunc(s.calls, func(c simCall) bool {
		k, ok := c.effect.(event.KeepJob)
		return ok && k.Job == j.id
	})
}

// incompleteJob describes an accepted job whose results are not all listed, "" for none.
func (s *simulation) incompleteJob() string {
	for n := range s.jobCount {
		j := s.jobs[jobOf(uint64(n))]
		if j.accepted && !j.mayHaveEnded() && j.listed() != simItems {
			text := fmt.Sprintf("%s: %d of %d items are listed, owner %v", j.id, j.listed(), simItems, j.owner)
			for _, h := range s.hosts {
				text += fmt.Sprintf("\n%s process %d: owns it %v, knows %+v", h.name, h.starts, h.p.jobs[j.id] != nil, h.p.known[j.id])
			}
			return text
		}
	}
	return ""
}

// listed returns the number of items in the results. A job that is listed in full has ended, also for a host that took it over
// before the last chunk was stored.
func (j *simJob) listed() int {
	listed := 0
	for _, chunk := range j.chunks {
		listed += len(chunk)
	}
	return listed
}

// mayHaveEnded reports whether an end of the job was acknowledged or may have taken effect. An end that every answer refused
// must change nothing.
func (j *simJob) mayHaveEnded() bool { return j.endAsked || j.endCalls > 0 }

// wrongEnd describes a job whose end was acknowledged and that a host still runs, or whose end was refused and that its host
// has stopped before all its items were listed, "" for none.
func (s *simulation) wrongEnd() string {
	for n := range s.jobCount {
		id := jobOf(uint64(n))
		for _, h := range s.hosts {
			j := h.p.jobs[id]
			switch {
			case j == nil || j.unlisted == 0:
			case s.jobs[id].endAcked && !j.ended:
				return fmt.Sprintf("%s has ended, and %s runs it, which knows %+v; the record is %+v", id, h.name, h.p.known[id], s.jobs[id].owner)
			case !s.jobs[id].mayHaveEnded() && s.jobs[id].listed() < simItems && j.ended:
				return fmt.Sprintf("every end of %s was refused, and %s has stopped it", id, h.name)
			}
		}
	}
	return ""
}
