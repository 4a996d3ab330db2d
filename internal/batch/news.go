package batch

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

// announce sends a job's owner and state to all hosts and to the executor.
func (p *Component) announce(s event.JobSeen, out *event.Batch) {
	out.Emit(event.KnowJob{Seen: s})
	for _, h := range p.Membership.Alive(p.now) {
		if h.Name != p.Self.Name {
			p.sendNews(h.Name, s, out)
		}
	}
}

func (p *Component) sendNews(host string, s event.JobSeen, out *event.Batch) {
	news := wire.JobNews(s)
	out.Emit(event.SendPeer{Host: host, Message: wire.Message{News: &news}})
}

// sendAllNews sends the jobs that this host owns, and those known to have ended, to a host that has just connected.
func (p *Component) sendAllNews(host string, out *event.Batch) {
	for _, id := range slices.Sorted(maps.Keys(p.known)) {
		if k := p.known[id]; k.Host == p.Self.Name || k.Ended {
			p.sendNews(host, k.JobSeen, out)
		}
	}
}

// repeatEnd tells the owner of a job again that the job has ended, when its heartbeat still names the job: what was sent before
// may be lost with a connection.
func (p *Component) repeatEnd(now time.Duration, owner, job string, out *event.Batch) {
	k := p.known[job]
	if !k.Ended || k.endRepeatedAt != 0 && now-k.endRepeatedAt < endRepeatInterval {
		return
	}
	k.endRepeatedAt = now
	p.sendNews(owner, k.JobSeen, out)
}

// ownedJobs returns the unfinished jobs that this host owns, for its heartbeats.
func (p *Component) ownedJobs() []wire.JobNews {
	var all []wire.JobNews
	for _, j := range p.sortedJobs() {
		if j.unlisted > 0 && !j.ended && !p.drained {
			all = append(all, wire.JobNews{
				Job: j.head.ID, Host: p.Self.Name, Incarnation: p.Self.Incarnation, Epoch: j.epoch,
				Route: j.head.Route, Items: len(j.items), Next: j.copyHost,
			})
		}
	}
	return all
}

// queryOwners sends what is known of a job to its supposed owner when that host has not announced the job for
// ownerSilenceTimeout. The host may not know that it is the owner, when the answer to its takeover was lost.
func (p *Component) queryOwners(now time.Duration, out *event.Batch) {
	if p.stopping {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.known)) {
		k := p.known[id]
		if k.Ended || k.Host == "" || k.Host == p.Self.Name || p.jobs[id] != nil || now-max(k.newsAt, k.queriedAt) < ownerSilenceTimeout {
			continue
		}
		k.queriedAt = now
		p.sendNews(k.Host, k.JobSeen, out)
	}
}

// handleNews handles news of a job from another host, or from the store's record when from is "". News of another owner
// with a higher epoch ends this host's ownership.
func (p *Component) handleNews(now time.Duration, from string, n wire.JobNews, out *event.Batch) {
	k := p.ensureKnown(n.Job)
	if from == "" {
		k.setStored(event.JobSeen(n))
	}
	refuted := k.isRefuted(n)
	if !refuted {
		k.newsAt = now
	}
	k.mayTakeOver = k.mayTakeOver || n.Host == "" || n.Host == from
	before := k.JobSeen
	ended := k.Ended || n.Ended
	// Of two hosts that began a job before it was stored, each takes itself for the owner until the store has told. Meanwhile neither
	// may take the other's texts for those of its own runs.
	rival := p.runs(n.Job, n.Epoch) && n.Host != p.Self.Name
	if n.Host != "" && !rival && !refuted && (n.Epoch > k.Epoch || k.Host == "" || n.Epoch == k.Epoch && isAuthoritative(from, n)) {
		k.Host, k.Incarnation, k.Epoch, k.orphanedAt = n.Host, n.Incarnation, n.Epoch, 0
		k.Next, k.Route, k.Items = cmp.Or(n.Next, k.Next), cmp.Or(n.Route, k.Route), max(n.Items, k.Items)
	}
	if n.Host == "" && n.Epoch >= k.Epoch && !ended && k.orphanedAt == 0 {
		k.Epoch, k.orphanedAt, k.Next = n.Epoch, now, cmp.Or(n.Next, k.Next)
	}
	k.Ended = ended
	if before.Host == "" && k.Host != "" {
		p.noteRouteHost(k.JobSeen)
	}
	if k.JobSeen != before {
		out.Emit(event.KnowJob{Seen: k.JobSeen})
	}
	if k.Epoch != before.Epoch || k.Ended != before.Ended || before.Host == "" && k.Host != "" {
		p.forwardNews(from, k.JobSeen, out)
	}
	j := p.jobs[n.Job]
	if j == nil {
		p.checkNamedOwner(now, k, n, out)
		return
	}
	if ended {
		p.stopJob(j, out)
	}
	if n.Host != "" && n.Host != p.Self.Name && n.Epoch > j.epoch {
		p.stopJob(j, out)
		delete(p.jobs, n.Job)
		out.Emit(event.Log{Level: "info", Event: "JobLost", Fields: []event.Field{
			{Key: "Job", Value: n.Job}, {Key: "To", Value: n.Host}, {Key: "Epoch", Value: strconv.FormatUint(n.Epoch, 10)},
		}})
	}
}

// runs reports whether this host runs a job in an epoch, or in a later one.
func (p *Component) runs(job string, epoch uint64) bool {
	j := p.jobs[job]
	return j != nil && !j.ended && j.unlisted > 0 && epoch <= j.epoch
}

// checkNamedOwner reads the store's record of a job that this host does not run although another host takes it for the
// owner. Two hosts that started the job before it was stored may each take the other for its owner, and neither hears of
// the owner that was stored when that one is gone.
func (p *Component) checkNamedOwner(now time.Duration, k *knownJob, n wire.JobNews, out *event.Batch) {
	named := n.Host == p.Self.Name && n.Incarnation == p.Self.Incarnation
	if !named || k.Host == p.Self.Name || k.Ended || k.takingOver || k.checkedAt != 0 && now-k.checkedAt < ownerSilenceTimeout {
		return
	}
	k.checkedAt, k.mayTakeOver = now, true
	out.Emit(event.CheckJob{Job: n.Job})
}

// isAuthoritative reports whether news comes from the job's owner or from the store's record. News that another host
// forwards may be older than what is known, unless their epoch is higher.
func isAuthoritative(from string, n wire.JobNews) bool { return from == n.Host || from == "" }

// isRefuted reports whether the store names another owner for the epoch of news. A host that began a job before it was stored
// claims it until it has heard from the store.
func (k *knownJob) isRefuted(n wire.JobNews) bool {
	s := k.stored
	return n.Host != "" && s.Host != "" && s.Epoch == n.Epoch && (s.Host != n.Host || s.Incarnation != n.Incarnation)
}

// forwardNews forwards news to hosts that are not connected to the job's owner. In a large fleet, a hub forwards news to
// the hosts of its zone, and news from its zone to the other hubs as well.
func (p *Component) forwardNews(from string, s event.JobSeen, out *event.Batch) {
	for _, host := range ranks.ForwardTargets(p.Self.Name, p.hubs, event.ZonesOf(p.Membership.Alive(p.now)), from) {
		p.sendNews(host, s, out)
	}
}
