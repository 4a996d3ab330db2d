package batch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/ranks"
)

const (
	// startupGrace is the time after the start within which the first heartbeats of the other hosts arrive. During it a
	// job is taken over only when its owner's process is known to be gone.
	startupGrace = 1200 * time.Millisecond
	// takeoverRetry is the pause between two attempts to take a job over.
	takeoverRetry = 500 * time.Millisecond
	// rankDelay is how much longer each host waits before a takeover than the host before it in the order of preference.
	rankDelay = 300 * time.Millisecond
	// minConnectedHosts is the number of connected hosts, this one included, below which a host in a large fleet counts as
	// cut off: each host has several neighbours. A host that is cut off takes no jobs over, since their owners may be alive.
	minConnectedHosts = 3
	// maxRank bounds a host's rank in that order in a large fleet. Hosts of the same rank try a takeover at the same time,
	// which costs one call to the store each.
	maxRank = 3
	// disconnectGrace is the time without a connection to a host after which it counts as gone. A process that ends closes
	// its connections, and one that is alive opens them again.
	disconnectGrace = 400 * time.Millisecond
	// forgetAfter is the time after the last news of an ended job after which it is forgotten.
	forgetAfter = 3 * time.Minute
	// textRetention is the time for which the texts of an ended job stay in memory; later reads go to the store.
	textRetention = 45 * time.Second
)

// ownerAlive reports whether the process that owns a job is alive.
func (p *Component) ownerAlive(now time.Duration, k *knownJob) bool {
	for _, h := range p.Membership.Alive(now) {
		if h.Name == k.Host {
			since, down := p.disconnectedAt[h.Name]
			return h.Incarnation == k.Incarnation && (!down || now-since < disconnectGrace)
		}
	}
	return false
}

// takeOrphans takes over the jobs without a live owner that fall to this host, and forgets jobs that ended long ago.
func (p *Component) takeOrphans(now time.Duration, out *event.Batch) {
	if p.stopping {
		return
	}
	incarnations := map[string]string{}
	for _, h := range p.Membership.Alive(now) {
		if since, down := p.disconnectedAt[h.Name]; !down || now-since < disconnectGrace {
			incarnations[h.Name] = h.Incarnation
		}
	}
	names := p.availableHosts(now)
	starting := now-p.startedAt < startupGrace
	if starting {
		names = p.listedHosts() // most of which have not been heard yet
	}
	cutOff := p.largeFleet && len(names) < minConnectedHosts
	for _, id := range slices.Sorted(maps.Keys(p.known)) {
		k := p.known[id]
		if k.Ended && now-k.newsAt > forgetAfter {
			delete(p.known, id)
			continue
		}
		if k.Ended && !k.textsDropped && now-k.newsAt > textRetention && p.jobs[id] == nil {
			k.textsDropped = true
			out.Emit(event.DropJob{Job: id})
		}
		if !cutOff && (!starting || p.ownerRestarted(k)) {
			p.takeOrphan(now, k, incarnations, names, out)
		}
	}
	p.dropEndedJobs(now, out)
}

// listedHosts returns the names of the hosts in the host list, sorted.
func (p *Component) listedHosts() []string {
	var names []string
	for _, h := range p.hosts {
		names = append(names, h.Name)
	}
	slices.Sort(names)
	return names
}

// ownerRestarted reports whether the host list names a later process on the host of a job's owner, so that the owner's
// process is gone although this host has heard of no other host yet.
func (p *Component) ownerRestarted(k *knownJob) bool {
	return slices.ContainsFunc(p.hosts, func(h event.Host) bool { return h.Name == k.Host && h.Incarnation != k.Incarnation })
}

// takeOrphan starts a takeover of a job without a live owner when it is this host's turn.
func (p *Component) takeOrphan(now time.Duration, k *knownJob, incarnations map[string]string, names []string, out *event.Batch) {
	if k.Ended || k.takingOver || p.jobs[k.Job] != nil || now < k.nextTakeover || p.largeFleet && !k.mayTakeOver {
		return
	}
	// A takeover whose answer was lost may have made this host the owner.
	mine := k.Host == p.Self.Name && k.Incarnation == p.Self.Incarnation
	if !mine && k.Host != "" && incarnations[k.Host] == k.Incarnation && k.orphanedAt == 0 {
		return
	}
	if k.orphanedAt == 0 {
		k.orphanedAt = now
	}
	p.offerJob(k, names, out)
	rank := p.takeoverRank(k, names)
	if mine {
		rank = 0
	}
	if rank < 0 || now-k.orphanedAt < time.Duration(rank)*rankDelay {
		return
	}
	k.takingOver = true
	out.Emit(event.TakeJob{Job: k.Job, Host: k.Host, Epoch: k.Epoch})
	out.Emit(event.Log{Level: "info", Event: "JobTaking", Fields: []event.Field{
		{Key: "Job", Value: k.Job}, {Key: "From", Value: k.Host}, {Key: "Epoch", Value: strconv.FormatUint(k.Epoch, 10)},
	}})
}

// offerJob offers a job that this host has found in a large fleet to the job's preferred host. Otherwise the few hosts
// that list the jobs would run them all.
func (p *Component) offerJob(k *knownJob, names []string, out *event.Batch) {
	if !p.largeFleet || !k.unoffered || len(names) == 0 {
		return
	}
	k.unoffered = false
	if first := ranks.Order(k.Job, names)[0]; first != p.Self.Name {
		k.Next = first
		p.sendNews(first, event.JobSeen{Job: k.Job, Epoch: k.Epoch, Next: first}, out)
	}
}

// takeoverRank returns this host's rank among those that may take a job over, -1 when it may not. The host that has
// copies of the texts has rank 0. In a large fleet the hosts before this one may not know of the job, so the rank is
// bounded.
func (p *Component) takeoverRank(k *knownJob, names []string) int {
	rank := ranks.Rank(k.Job, names, p.Self.Name)
	switch {
	case rank < 0:
		return rank
	case k.Next == p.Self.Name:
		return 0
	case slices.Contains(names, k.Next):
		rank++
	}
	if p.largeFleet {
		rank = min(rank, maxRank)
	}
	return rank
}

func (p *Component) handleJobTaken(now time.Duration, e event.JobTaken, out *event.Batch) {
	k := p.ensureKnown(e.Job)
	k.takingOver, k.nextTakeover = false, now+takeoverRetry
	out.Emit(event.Log{Level: "info", Event: "JobTaken", Fields: []event.Field{
		{Key: "Job", Value: e.Job},
		{Key: "Kind", Value: string(e.Kind)},
		{Key: "Epoch", Value: strconv.FormatUint(e.Epoch, 10)},
		{Key: "Listed", Value: strconv.Itoa(len(e.Listed))},
		{Key: "Ended", Value: strconv.FormatBool(e.Ended)},
	}})
	out.Emit(event.Count{Name: "JobTakeovers", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	switch {
	case e.Kind == kinds.NotFound && !k.Ended:
		// It may still be stored: by a submission under way, or when its caller submits it again.
		delete(p.known, e.Job)
		if p.jobs[e.Job] == nil && !p.isSubmitted(e.Job) {
			out.Emit(event.KnowJob{Seen: event.JobSeen{Job: e.Job}}) // no host runs it
			out.Emit(event.DropJob{Job: e.Job})
		}
	case e.Kind == kinds.Conflict:
		// Another host owns the job, even if it is not connected to this one.
		k.Epoch, k.nextTakeover, k.newsAt = max(k.Epoch, e.Epoch), now+ownerSilenceTimeout, now
	case e.Kind != "":
		k.Epoch = max(k.Epoch, e.Epoch)
	case e.Ended:
		p.markEnded(e.Job, out)
		out.Emit(event.KnowJob{Seen: k.JobSeen})
	case p.stopping && p.jobs[e.Job] != nil:
	case p.stopping: // the store names this host as the owner
		k.Host, k.Incarnation, k.Epoch, k.newsAt, k.orphanedAt = "", "", e.Epoch, now, now
		p.announce(event.JobSeen{Job: e.Job, Epoch: e.Epoch}, out)
	case p.jobs[e.Job] != nil && p.jobs[e.Job].isOfAnother(e.Head):
		p.dropUnstored(p.jobs[e.Job], out) // the store holds another organisation's job under the id
		p.startOwning(now, e, out)
	case p.jobs[e.Job] != nil:
		p.confirmOwner(now, p.jobs[e.Job], e, out)
	default:
		p.startOwning(now, e, out)
	}
}

// isOfAnother reports whether a job that the store may not hold is another organisation's than the one that it holds.
func (j *job) isOfAnother(stored event.JobHead) bool {
	return j.unstored && stored.Organisation != "" && stored.Organisation != j.head.Organisation
}

// confirmOwner records a takeover of a job that this host has started meanwhile, since the store had not accepted a
// submission of it. Its runs go on: to begin them again would add two runs to one text.
func (p *Component) confirmOwner(now time.Duration, j *job, e event.JobTaken, out *event.Batch) {
	j.epoch, j.unstored, j.chunks = e.Epoch, false, max(j.chunks, e.Chunks)
	for _, i := range e.Listed {
		p.stopListedRun(j, i, out)
		j.markListed(i)
	}
	k := p.ensureKnown(e.Job)
	k.Host, k.Incarnation, k.Epoch, k.newsAt, k.orphanedAt = p.Self.Name, p.Self.Incarnation, e.Epoch, now, 0
	p.announce(k.JobSeen, out)
	p.listResults(now, j, out)
}

// dropEndedJobs forgets owned jobs that have ended or are listed in full, and has their texts dropped, once this host
// has owned them for textRetention, or for twice that while results are not listed.
func (p *Component) dropEndedJobs(now time.Duration, out *event.Batch) {
	for _, j := range p.sortedJobs() {
		if now-j.ownedSince < textRetention || !(j.ended || j.unlisted == 0) || j.storingChunk {
			continue
		}
		if j.unlisted > 0 && now-j.ownedSince < 2*textRetention {
			continue
		}
		delete(p.jobs, j.head.ID)
		out.Emit(event.DropJob{Job: j.head.ID})
	}
}
