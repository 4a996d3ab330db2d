package batch

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

func (s *simulation) keep(e event.KeepJob, outcome string) event.Event {
	j := s.jobs[e.Job]
	done := event.JobKept{Seq: e.Seq, Job: e.Job, Owner: j.owner}
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreRefused
	case j.stored:
		done.Kind, done.Organisation = kinds.Conflict, j.storedOf
	default:
		j.stored, j.storedOf = true, e.Organisation
		j.owner = event.JobSeen{Job: e.Job, Host: e.Host, Incarnation: e.Incarnation, Ended: j.owner.Ended}
		done.Owner = j.owner
	}
	if outcome == "lost" {
		done.Kind, done.Organisation, done.Owner = kinds.OutcomeUnknown, "", event.JobSeen{Job: e.Job}
	}
	return done
}

func (s *simulation) storeChunk(e event.StoreChunk, outcome string) event.Event {
	j := s.jobs[e.Job]
	done := event.ChunkStored{Job: e.Job, Number: e.Number, Items: e.Items}
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreUnavailable
		return done
	case e.Number < len(j.chunks):
		done.Kind, done.Items = kinds.Conflict, j.chunks[e.Number]
	case e.Number > len(j.chunks):
		s.t.Fatalf("chunk %d of %s before chunk %d", e.Number, e.Job, len(j.chunks))
	default:
		s.listItems(j, e.Items)
	}
	if outcome == "lost" {
		done.Kind = kinds.StoreUnavailable
	}
	return done
}

// listItems appends a chunk of items to the results of a job. No item may be listed twice.
func (s *simulation) listItems(j *simJob, items []int) {
	if !j.stored {
		s.t.Fatalf("results of %s are listed before the job is stored", j.id)
	}
	for _, chunk := range j.chunks {
		for _, i := range items {
			if slices.Contains(chunk, i) {
				s.t.Fatalf("item %d of %s is listed twice", i, j.id)
			}
		}
	}
	j.chunks = append(j.chunks, items)
}

func (s *simulation) takeJob(h *simHost, starts int, e event.TakeJob, outcome string) event.Event {
	j := s.jobs[e.Job]
	done := event.JobTaken{Job: e.Job, Epoch: j.owner.Epoch}
	incarnation := fmt.Sprint(starts)
	own := j.owner.Host == h.name && j.owner.Incarnation == incarnation && j.owner.Epoch > 0
	switch {
	case outcome == "refused":
		done.Kind = kinds.StoreRefused
		return done
	case !s.ensureStored(h, j):
		done.Kind = kinds.NotFound
		return done
	case j.owner.Epoch > e.Epoch && !own:
		done.Kind = kinds.Conflict
		return done
	case j.owner.Ended:
		done.Ended = true
		return done
	case !own:
		j.owner = event.JobSeen{Job: e.Job, Host: h.name, Incarnation: incarnation, Epoch: j.owner.Epoch + 1}
	}
	if outcome == "lost" {
		done.Kind = kinds.StoreUnavailable
		return done
	}
	done.Epoch, done.Head, done.Chunks = j.owner.Epoch, j.head, len(j.chunks)
	done.Head.ID, done.Head.Organisation, done.Head.Route, done.Head.GiveUp = j.id, j.storedOf, "rollouts", s.now+time.Hour
	for _, chunk := range j.chunks {
		done.Listed = append(done.Listed, chunk...)
	}
	return done
}

// ensureStored stores a job that is not in the store and of which a host has a copy, and reports whether the store holds it.
func (s *simulation) ensureStored(h *simHost, j *simJob) bool {
	first, ok := h.copies[j.id]
	if ok && !j.stored {
		j.stored, j.storedOf, j.owner = true, first.organisation, first.owner
	}
	return j.stored
}

// endJob records the end of a job. When the store's answer is lost, the executor goes on until it knows the outcome.
func (s *simulation) endJob(c simCall, e event.EndJob, outcome string) event.Event {
	j := s.jobs[e.Job]
	switch {
	case outcome == "refused":
		return event.JobEnded{Job: e.Job, Kind: kinds.StoreRefused}
	case !s.ensureStored(c.host, j):
		return event.JobEnded{Job: e.Job, Kind: kinds.NotFound}
	case outcome == "lost":
		j.owner.Ended = j.owner.Ended || rapid.Bool().Draw(s.t, "end takes effect")
		c.unknownEnd = true
		s.calls = append(s.calls, c)
		return event.JobEnded{Job: e.Job, Kind: kinds.OutcomeUnknown}
	}
	j.owner.Ended = true
	return event.JobEnded{Job: e.Job}
}

func (s *simulation) checkJob(e event.CheckJob, outcome string) event.Event {
	j := s.jobs[e.Job]
	if outcome != "done" || !j.stored {
		return nil
	}
	news := wire.JobNews(j.owner)
	return event.PeerReceived{Message: wire.Message{News: &news}}
}

func (s *simulation) listJobs(outcome string) event.Event {
	if outcome != "done" {
		return event.JobsListed{Kind: kinds.StoreUnavailable}
	}
	var done event.JobsListed
	for n := range s.jobCount {
		if j := s.jobs[jobOf(uint64(n))]; j.stored {
			done.Jobs = append(done.Jobs, j.owner)
		}
	}
	return done
}
