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
	// retryIn is the time after which a refused caller should come back: another host takes the job at once.
	retryIn = 100 * time.Millisecond
	// keepBudget is the time within which a submission is answered.
	keepBudget = 3 * time.Second
	// beginAfter is the time after which the items of a job begin to run though the store has not taken it yet. From
	// then on its submission is not refused any more.
	beginAfter = 600 * time.Millisecond
)

// called authorises a call and begins a submission or an end.
func (p *Part) called(now time.Duration, e event.JobCalled, out *event.Batch) {
	if p.site == nil {
		p.answer(e.Seq, e.Job, kinds.NotReady, "", out)
		return
	}
	organisation, kind := p.Holders.Holder(now, e.KeyHash)
	if kind != "" {
		p.answer(e.Seq, e.Job, kind, "", out)
		return
	}
	switch e.Call {
	case event.JobPlace:
		p.place(now, e, organisation, out)
	case event.JobSubmit:
		p.submit(now, e, organisation, out)
	case event.JobEnd:
		p.end(e, out)
	default:
		p.answer(e.Seq, e.Job, "", organisation, out)
	}
}

func (p *Part) answer(seq uint64, job string, kind kinds.Kind, organisation string, out *event.Batch) {
	answer := event.JobAnswer{Seq: seq, Kind: kind, Organisation: organisation}
	if kinds.Of(kind).RetryAfter && kind != "" {
		answer.RetryAfter = retryIn
	}
	if kind != "" {
		out.Emit(event.Log{Level: "info", Event: "JobRefused", Fields: []event.Field{
			{Key: "Job", Value: job}, {Key: "Kind", Value: string(kind)}, {Key: "RetryMS", Value: strconv.FormatInt(answer.RetryAfter.Milliseconds(), 10)},
		}})
		out.Emit(event.Count{Name: "JobRefusals", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	}
	out.Emit(answer)
}

func (p *Part) submit(now time.Duration, e event.JobCalled, organisation string, out *event.Batch) {
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
	if j, ok := p.jobs[e.Job]; ok && !j.unkept {
		p.answer(e.Seq, e.Job, "", organisation, out)
		return
	}
	head := e.Head
	head.ID, head.Organisation, head.Route, head.Single = e.Job, organisation, r.Name, r.Jobs.SingleVersion
	head.Due, head.GiveUp = now+r.Jobs.Due, now+r.Jobs.GiveUpAfter
	keep := event.KeepJob{
		Seq: e.Seq, Job: e.Job, Organisation: organisation, Route: r.Name, Budget: keepBudget,
		Due: r.Jobs.Due, GiveUp: r.Jobs.GiveUpAfter, Single: r.Jobs.SingleVersion,
		Host: p.Self.Name, Incarnation: p.Self.Incarnation,
	}
	if k := p.known[e.Job]; k != nil && k.Host != "" && p.lives(now, k) {
		keep.Host, keep.Incarnation = k.Host, k.Incarnation // it runs there already
	}
	p.calls[e.Seq] = submission{head: head, since: now, keep: keep}
	out.Emit(keep)
}

// begin runs the items of submissions that the store has not taken for a while: it may be away for as long as a step.
func (p *Part) begin(now time.Duration, out *event.Batch) {
	for _, seq := range slices.Sorted(maps.Keys(p.calls)) {
		s := p.calls[seq]
		if now-s.since < beginAfter || s.keep.Host != p.Self.Name || p.jobs[s.head.ID] != nil || p.stopping {
			continue
		}
		out.Emit(event.BeginJob{Keep: s.keep})
		p.beginUnkept(now, s, out)
		out.Emit(event.Log{Level: "info", Event: "JobBegun", Fields: []event.Field{{Key: "Job", Value: s.head.ID}, {Key: "Reason", Value: "StoreAway"}}})
	}
}

// kept answers a submission once the store has the job.
func (p *Part) kept(now time.Duration, e event.JobKept, out *event.Batch) {
	s, ok := p.calls[e.Seq]
	if !ok {
		return
	}
	delete(p.calls, e.Seq)
	out.Emit(event.Log{Level: "info", Event: "JobKept", Fields: []event.Field{
		{Key: "Job", Value: e.Job},
		{Key: "Kind", Value: string(e.Kind)},
		{Key: "Organisation", Value: s.head.Organisation},
		{Key: "Model", Value: s.head.Model},
		{Key: "MinVersion", Value: strconv.FormatUint(s.head.MinVersion, 10)},
		{Key: "Items", Value: strconv.Itoa(len(s.head.Items))},
		{Key: "TookMS", Value: strconv.FormatInt((now - s.since).Milliseconds(), 10)},
	}})
	if e.Kind == kinds.Conflict && e.Owner.Host == p.Self.Name && e.Owner.Incarnation == p.Self.Incarnation {
		e.Kind = "" // another host stored it in this one's name
	}
	out.Emit(event.Observe{Name: "JobKeepTime", Took: now - s.since})
	p.keptAs(now, e, s, out)
}

// keptAs goes on from the end of a submission's storing.
func (p *Part) keptAs(now time.Duration, e event.JobKept, s submission, out *event.Batch) {
	j := p.jobs[e.Job]
	switch {
	case e.Kind == kinds.Conflict:
		p.answerOnce(s, "", out) // another host accepted it
		p.yieldTo(now, j, e.Owner, out)
	case e.Kind == "" && s.keep.Host != p.Self.Name:
		p.answerOnce(s, "", out)
		p.noteOther(now, event.JobSeen{Job: e.Job, Host: s.keep.Host, Incarnation: s.keep.Incarnation}, out)
	case e.Kind == "" && j == nil:
		p.answerOnce(s, "", out)
		p.own(now, event.JobTaken{Job: e.Job, Head: s.head}, out)
	case e.Kind == "":
		p.answerOnce(s, "", out)
		j.unkept = false
		p.list(now, j, out)
	case j != nil && j.unkept:
		p.keepOn(now, s, out)
	case e.Kind == kinds.OutcomeUnknown && s.keep.Host == p.Self.Name && j == nil:
		// The store may have it in this host's name, so that nobody else would run it.
		p.beginUnkept(now, s, out)
		p.keepOn(now, s, out)
	default:
		p.answerOnce(s, e.Kind, out)
	}
}

func (p *Part) beginUnkept(now time.Duration, s submission, out *event.Batch) {
	p.own(now, event.JobTaken{Job: s.head.ID, Head: s.head}, out)
	p.jobs[s.head.ID].unkept = true
}

// answerOnce answers a submission that has no answer yet.
func (p *Part) answerOnce(s submission, kind kinds.Kind, out *event.Batch) {
	if !s.answered {
		p.answer(s.keep.Seq, s.keep.Job, kind, s.head.Organisation, out)
	}
}

// keepOn tries on to store a job whose items run already. Its submission is not said not to have run.
func (p *Part) keepOn(now time.Duration, s submission, out *event.Batch) {
	p.answerOnce(s, kinds.OutcomeUnknown, out)
	if now >= s.head.GiveUp || p.stopping {
		p.yield(p.jobs[s.head.ID], out)
		return
	}
	s.answered = true
	p.calls[s.keep.Seq] = s
	out.Emit(s.keep)
}

// yieldTo notes whose a job is and, when its items ran here, tells the hosts that heard so.
func (p *Part) yieldTo(now time.Duration, j *job, owner event.JobSeen, out *event.Batch) {
	if j == nil || !j.unkept {
		p.noteOther(now, owner, out)
		return
	}
	p.yield(j, out)
	k := p.see(owner.Job)
	k.JobSeen, k.heardAt, k.orphan = owner, now, 0
	p.tell(k.JobSeen, out)
}

// yield gives up a job that this host began and that is another's, or nobody's.
func (p *Part) yield(j *job, out *event.Batch) {
	if j == nil || !j.unkept {
		return
	}
	p.stopJob(j, out)
	delete(p.jobs, j.head.ID)
}

// end stops a job here and records its end; any host may be asked.
func (p *Part) end(e event.JobCalled, out *event.Batch) {
	if k := p.known[e.Job]; k != nil && k.Ended {
		p.answer(e.Seq, e.Job, "", "", out)
		return
	}
	if j := p.jobs[e.Job]; j != nil {
		p.stopJob(j, out)
	}
	p.ends[e.Job] = append(p.ends[e.Job], e.Seq)
	if len(p.ends[e.Job]) == 1 {
		out.Emit(event.EndJob{Job: e.Job})
	}
}

func (p *Part) endStored(_ time.Duration, e event.JobEnded, out *event.Batch) {
	seqs := p.ends[e.Job]
	delete(p.ends, e.Job)
	for _, seq := range seqs {
		p.answer(seq, e.Job, e.Kind, "", out)
	}
	out.Emit(event.Log{Level: "info", Event: "JobEnd", Fields: []event.Field{{Key: "Job", Value: e.Job}, {Key: "Kind", Value: string(e.Kind)}}})
	if e.Kind != "" {
		return
	}
	k := p.see(e.Job)
	k.Ended = true
	p.tell(k.JobSeen, out)
}

// stopJob ends the runs of a job. What is listed stays listed.
func (p *Part) stopJob(j *job, out *event.Batch) {
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
