package batch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

const (
	// retryAfter is the retry delay sent with a refusal. It is short because another host can take the job at once.
	retryAfter = 100 * time.Millisecond
	// storeBudget is the time within which the store's outcome for a submission must be known.
	storeBudget = 3 * time.Second
	// endBudget is the time after which the end of a job is refused while the store refuses to record it.
	endBudget = 3 * time.Second
	// startUnstoredAfter is the time after a submission at which its items start to run even though the job is not
	// stored yet. From then on the submission is no longer refused.
	startUnstoredAfter = 600 * time.Millisecond
)

// handleCall authorises a call, then answers it or starts the submission or the end that it asks for.
func (p *Component) handleCall(now time.Duration, e event.JobCalled, out *event.Batch) {
	if p.site == nil {
		p.answer(e.Seq, e.Job, kinds.NotReady, "", out)
		return
	}
	organisation, kind := p.KeyOwners.OrganisationOf(now, e.KeyHash)
	if kind != "" {
		p.answer(e.Seq, e.Job, kind, "", out)
		return
	}
	switch e.Call {
	case event.JobPlace:
		p.answerPlacement(now, e, organisation, out)
	case event.JobSubmit:
		p.submit(now, e, organisation, out)
	case event.JobEnd:
		p.endJob(e, out)
	default:
		p.answer(e.Seq, e.Job, "", organisation, out)
	}
}

// answer ends a call. It logs and counts a refusal.
func (p *Component) answer(seq uint64, job string, kind kinds.Kind, organisation string, out *event.Batch) {
	answer := event.JobAnswer{Seq: seq, Kind: kind, Organisation: organisation}
	if kinds.AnswerFor(kind).RetryAfter && kind != "" {
		answer.RetryAfter = retryAfter
	}
	if kind != "" {
		out.Emit(event.Log{Level: "info", Event: "JobRefused", Fields: []event.Field{
			{Key: "Job", Value: job}, {Key: "Kind", Value: string(kind)}, {Key: "RetryMS", Value: strconv.FormatInt(answer.RetryAfter.Milliseconds(), 10)},
		}})
		out.Emit(event.Count{Name: "JobRefusals", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	}
	out.Emit(answer)
}

// submit has a job stored, unless this host already runs it as a stored job.
func (p *Component) submit(now time.Duration, e event.JobCalled, organisation string, out *event.Batch) {
	r, ok := p.routes.Match(e.Host, e.Path)
	switch {
	case !ok:
		p.answer(e.Seq, e.Job, kinds.RouteUnknown, "", out)
		return
	case r.Jobs == nil:
		p.answer(e.Seq, e.Job, kinds.BadRequest, "", out)
		return
	case p.stopping:
		p.answer(e.Seq, e.Job, kinds.Stopping, "", out)
		return
	}
	if j, ok := p.jobs[e.Job]; ok && j.head.Organisation != organisation {
		p.answer(e.Seq, e.Job, kinds.Forbidden, "", out)
		return
	} else if ok && !j.unstored {
		p.answer(e.Seq, e.Job, "", organisation, out)
		return
	}
	if p.isSubmittedByAnother(e.Job, organisation) {
		p.answer(e.Seq, e.Job, kinds.StoreRefused, organisation, out) // the store is to decide whose id it is
		return
	}
	head := e.Head
	head.ID, head.Organisation, head.Route, head.Single = e.Job, organisation, r.Name, r.Jobs.SingleVersion
	head.Due, head.GiveUp = now+r.Jobs.Due, now+r.Jobs.GiveUpAfter
	request := event.KeepJob{
		Seq: e.Seq, Job: e.Job, Organisation: organisation, Route: r.Name, Budget: storeBudget,
		Due: r.Jobs.Due, GiveUp: r.Jobs.GiveUpAfter, Single: r.Jobs.SingleVersion,
		Host: p.Self.Name, Incarnation: p.Self.Incarnation,
	}
	if k := p.known[e.Job]; k != nil && k.Host != "" && p.ownerAlive(now, k) {
		request.Host, request.Incarnation = k.Host, k.Incarnation // the job already runs there
	}
	p.submissions[e.Seq] = submission{head: head, since: now, request: request}
	out.Emit(request)
}

// startUnstored starts the items of submissions that the store has not accepted for startUnstoredAfter: the store may be
// unavailable for as long as a training step lasts.
func (p *Component) startUnstored(now time.Duration, out *event.Batch) {
	for _, seq := range slices.Sorted(maps.Keys(p.submissions)) {
		s := p.submissions[seq]
		if now-s.since < startUnstoredAfter || s.request.Host != p.Self.Name || p.jobs[s.head.ID] != nil || p.stopping {
			continue
		}
		out.Emit(event.BeginJob{Keep: s.request})
		p.ownUnstored(now, s, out)
		out.Emit(event.Log{Level: "info", Event: "JobBegun", Fields: []event.Field{{Key: "Job", Value: s.head.ID}, {Key: "Reason", Value: "StoreAway"}}})
	}
}

// handleJobKept logs the outcome of storing a job and finishes its submission.
func (p *Component) handleJobKept(now time.Duration, e event.JobKept, out *event.Batch) {
	s, ok := p.submissions[e.Seq]
	if !ok {
		return
	}
	delete(p.submissions, e.Seq)
	out.Emit(event.Log{Level: "info", Event: "JobKept", Fields: []event.Field{
		{Key: "Job", Value: e.Job},
		{Key: "Kind", Value: string(e.Kind)},
		{Key: "Organisation", Value: s.head.Organisation},
		{Key: "Model", Value: s.head.Model},
		{Key: "MinVersion", Value: strconv.FormatUint(s.head.MinVersion, 10)},
		{Key: "Items", Value: strconv.Itoa(len(s.head.Items))},
		{Key: "Target", Value: strconv.Itoa(s.head.Target)},
		{Key: "TookMS", Value: strconv.FormatInt((now - s.since).Milliseconds(), 10)},
	}})
	if e.Kind == kinds.Conflict && !s.isForeign(e) && e.Owner.Host == p.Self.Name && e.Owner.Incarnation == p.Self.Incarnation && p.jobs[e.Job] != nil {
		// This host or another one stored the job earlier, with this host as its owner. When the job does not run here, a
		// takeover has made it the owner, and the job starts with what is listed when that ends.
		e.Kind, s.request.Host, s.request.Incarnation = "", p.Self.Name, p.Self.Incarnation
	}
	out.Emit(event.Observe{Name: "JobKeepTime", Took: now - s.since})
	p.finishStoring(now, e, s, out)
}

// finishStoring answers a submission by the outcome of storing its job, and runs the job, leaves it to its owner or
// tries again to store it.
func (p *Component) finishStoring(now time.Duration, e event.JobKept, s submission, out *event.Batch) {
	j := p.jobs[e.Job]
	switch {
	case e.Kind == kinds.Conflict && s.isForeign(e):
		p.answerOnce(s, kinds.Forbidden, out) // the id is that of another organisation's job
		p.acceptOwner(now, j, e.Owner, out)
		if j != nil && j.unstored {
			out.Emit(event.DropJob{Job: e.Job})
		}
	case e.Kind == kinds.Conflict:
		p.answerOnce(s, "", out) // another host has accepted the job
		p.acceptOwner(now, j, e.Owner, out)
	case e.Kind == "" && s.request.Host != p.Self.Name:
		p.answerOnce(s, "", out)
		p.noteStoredOwner(now, event.JobSeen{Job: e.Job, Host: s.request.Host, Incarnation: s.request.Incarnation}, out)
	case e.Kind == "" && j == nil:
		p.startOwning(now, event.JobTaken{Job: e.Job, Head: s.head}, out) // announces the job before its caller is answered
		p.answerOnce(s, "", out)
	case e.Kind == "":
		p.answerOnce(s, "", out)
		j.unstored = false
		p.listResults(now, j, out)
	case j != nil && j.unstored:
		p.retryStoring(now, s, out)
	case e.Kind == kinds.OutcomeUnknown && s.request.Host == p.Self.Name && j == nil:
		// The store may hold the job with this host as its owner, in which case no other host would run it.
		p.ownUnstored(now, s, out)
		p.retryStoring(now, s, out)
	default:
		p.answerOnce(s, e.Kind, out)
	}
}

// isForeign reports whether the store holds another organisation's job under the submission's id.
func (s submission) isForeign(e event.JobKept) bool {
	return e.Organisation != "" && e.Organisation != s.head.Organisation
}

// ownUnstored starts to run a job that may not be stored.
func (p *Component) ownUnstored(now time.Duration, s submission, out *event.Batch) {
	p.startOwning(now, event.JobTaken{Job: s.head.ID, Head: s.head}, out)
	p.jobs[s.head.ID].unstored = true
}

// answerOnce answers a submission unless it has been answered.
func (p *Component) answerOnce(s submission, kind kinds.Kind, out *event.Batch) {
	if !s.answered {
		p.answer(s.request.Seq, s.request.Job, kind, s.head.Organisation, out)
	}
}

// retryStoring tries again to store a job whose items already run, until the job's deadline. Its caller is told that the
// outcome is unknown, never that nothing has run.
func (p *Component) retryStoring(now time.Duration, s submission, out *event.Batch) {
	p.answerOnce(s, kinds.OutcomeUnknown, out)
	switch {
	case p.stopping && p.drained:
		p.announce(event.JobSeen{Job: s.head.ID, Epoch: p.jobs[s.head.ID].epoch}, out) // it may be stored, with this host as its owner
		return
	case p.stopping:
		return // it is announced so at the end of the drain
	case now >= s.head.GiveUp:
		p.forgetUnstored(now, p.jobs[s.head.ID], out)
		return
	}
	s.answered = true
	p.submissions[s.request.Seq] = s
	out.Emit(s.request)
}

// acceptOwner records the owner that the store names for a job. When the job's items ran here, it also announces that
// owner to the hosts that took this one for it.
func (p *Component) acceptOwner(now time.Duration, j *job, owner event.JobSeen, out *event.Batch) {
	if j == nil || !j.unstored {
		p.noteStoredOwner(now, owner, out)
		return
	}
	p.dropUnstored(j, out)
	k := p.ensureKnown(owner.Job)
	owner.Ended = owner.Ended || k.Ended
	k.setStored(owner)
	k.JobSeen, k.newsAt, k.orphanedAt = owner, now, 0
	p.announce(k.JobSeen, out)
}

// forgetUnstored drops a job that was not stored until its deadline. The store may hold it all the same, and other hosts have
// copies of it, one of which is to find that out.
func (p *Component) forgetUnstored(now time.Duration, j *job, out *event.Batch) {
	if j == nil || !j.unstored {
		return
	}
	p.dropUnstored(j, out)
	k := p.ensureKnown(j.head.ID)
	k.Host, k.Incarnation, k.orphanedAt, k.newsAt = "", "", now, now
	p.announce(event.JobSeen{Job: j.head.ID, Epoch: j.epoch}, out)
	out.Emit(event.DropJob{Job: j.head.ID})
}

// isSubmitted reports whether a submission of a job is being stored.
func (p *Component) isSubmitted(job string) bool {
	for _, s := range p.submissions {
		if s.head.ID == job {
			return true
		}
	}
	return false
}

// isSubmittedByAnother reports whether another organisation's submission of a job's id is being stored by this host.
func (p *Component) isSubmittedByAnother(job, organisation string) bool {
	for _, s := range p.submissions {
		if s.head.ID == job && s.head.Organisation != organisation {
			return true
		}
	}
	return false
}

// dropUnstored stops and forgets a job that this host started before it was stored, and that another host owns or that
// was never stored.
func (p *Component) dropUnstored(j *job, out *event.Batch) {
	if j == nil || !j.unstored {
		return
	}
	p.stopJob(j, out)
	delete(p.jobs, j.head.ID)
}

// endJob has a job's end stored. Any host accepts the call, not only the owner. The job runs on until its end is stored, since
// an end that is refused must change nothing.
func (p *Component) endJob(e event.JobCalled, out *event.Batch) {
	if k := p.known[e.Job]; k != nil && k.Ended {
		p.logJobEnd(e.Job, "", out)
		p.answer(e.Seq, e.Job, "", "", out)
		if !k.endAsked { // the record may say only that all results are listed
			k.endAsked = true
			out.Emit(event.EndJob{Job: e.Job, Budget: listedEndBudget})
		}
		return
	}
	p.endCalls[e.Job] = append(p.endCalls[e.Job], e.Seq)
	if len(p.endCalls[e.Job]) == 1 {
		out.Emit(event.EndJob{Job: e.Job, Budget: endBudget})
	}
}

// handleJobEnded answers the calls that wait for a job's end to be stored. Once it is stored, it takes effect and is announced;
// it may be stored after its calls were told that the outcome is unknown.
func (p *Component) handleJobEnded(_ time.Duration, e event.JobEnded, out *event.Batch) {
	calls := p.endCalls[e.Job]
	delete(p.endCalls, e.Job)
	for _, seq := range calls {
		p.answer(seq, e.Job, e.Kind, "", out)
	}
	k := p.known[e.Job]
	known := k != nil && k.Ended // as when all results of this host's own job are listed
	if len(calls) > 0 || e.Kind != "" || !known {
		p.logJobEnd(e.Job, e.Kind, out)
	}
	if e.Kind != "" || known {
		return
	}
	p.markEnded(e.Job, out)
	p.announce(p.known[e.Job].JobSeen, out)
}

// markEnded records that a job has ended, which is final, and stops its runs on this host, which may have become the owner
// while the end was being stored.
func (p *Component) markEnded(job string, out *event.Batch) {
	p.ensureKnown(job).Ended = true
	if j := p.jobs[job]; j != nil {
		p.stopJob(j, out)
	}
}

func (p *Component) logJobEnd(job string, kind kinds.Kind, out *event.Batch) {
	out.Emit(event.Log{Level: "info", Event: "JobEnd", Fields: []event.Field{{Key: "Job", Value: job}, {Key: "Kind", Value: string(kind)}}})
}

// stopJob stops all runs of a job and marks it as ended. Results that are already listed stay listed.
func (p *Component) stopJob(j *job, out *event.Batch) {
	if j.ended {
		return
	}
	j.ended = true
	for _, it := range j.items {
		if it.state == running {
			p.stopItem(j, it, out)
		}
	}
}
