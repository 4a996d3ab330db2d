package batch

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// retryIn is the time after which a refused caller should come back: another host takes the job at once.
const retryIn = 100 * time.Millisecond

// called authorises a call and begins a submission or an end.
func (p *Part) called(now time.Duration, e event.JobCalled, out *event.Batch) {
	if p.site == nil {
		p.answer(e.Seq, kinds.NotReady, "", out)
		return
	}
	organisation, kind := p.Holders.Holder(now, e.KeyHash)
	if kind != "" {
		p.answer(e.Seq, kind, "", out)
		return
	}
	switch e.Call {
	case event.JobSubmit:
		p.submit(now, e, organisation, out)
	case event.JobEnd:
		p.end(e, out)
	default:
		p.answer(e.Seq, "", organisation, out)
	}
}

func (p *Part) answer(seq uint64, kind kinds.Kind, organisation string, out *event.Batch) {
	answer := event.JobAnswer{Seq: seq, Kind: kind, Organisation: organisation}
	if kinds.Of(kind).RetryAfter && kind != "" {
		answer.RetryAfter = retryIn
	}
	if kind != "" {
		out.Emit(event.Count{Name: "JobRefusals", Tags: []event.Field{{Key: "Kind", Value: string(kind)}}, N: 1})
	}
	out.Emit(answer)
}

func (p *Part) submit(now time.Duration, e event.JobCalled, organisation string, out *event.Batch) {
	r, ok := p.routes.Match(e.Host, e.Path)
	switch {
	case !ok:
		p.answer(e.Seq, kinds.RouteUnknown, "", out)
		return
	case r.Jobs == nil:
		p.answer(e.Seq, kinds.BadRequest, "", out)
		return
	case p.stopping:
		p.answer(e.Seq, kinds.Stopping, "", out)
		return
	}
	if _, ok := p.jobs[e.Job]; ok {
		p.answer(e.Seq, "", organisation, out)
		return
	}
	head := e.Head
	head.ID, head.Organisation, head.Route, head.Single = e.Job, organisation, r.Name, r.Jobs.SingleVersion
	head.Due, head.GiveUp = now+r.Jobs.Due, now+r.Jobs.GiveUpAfter
	p.calls[e.Seq] = submission{head: head, since: now}
	out.Emit(event.KeepJob{
		Seq: e.Seq, Job: e.Job, Organisation: organisation, Route: r.Name,
		Due: r.Jobs.Due, GiveUp: r.Jobs.GiveUpAfter, Single: r.Jobs.SingleVersion,
	})
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
	if e.Kind == kinds.Conflict {
		p.answer(e.Seq, "", s.head.Organisation, out) // another host accepted it
		p.noteOther(now, e.Owner, out)
		return
	}
	p.answer(e.Seq, e.Kind, s.head.Organisation, out)
	if e.Kind == "" {
		p.own(now, event.JobTaken{Job: e.Job, Head: s.head}, out)
	}
}

// end stops a job here and records its end; any host may be asked.
func (p *Part) end(e event.JobCalled, out *event.Batch) {
	if k := p.known[e.Job]; k != nil && k.Ended {
		p.answer(e.Seq, "", "", out)
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
		p.answer(seq, e.Kind, "", out)
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
