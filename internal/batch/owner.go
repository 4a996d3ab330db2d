package batch

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// jobListRetry is the pause after the jobs could not be listed.
	jobListRetry = 500 * time.Millisecond
	// listingHubs is the number of hubs of a large fleet that list the jobs after their start; two, since one may be lost.
	listingHubs = 2
	// ownershipCheckInterval is the interval at which an owner that does not hear every host reads the store's record of
	// its job, so that the end of a job takes effect within the few seconds that the platform allows.
	ownershipCheckInterval = 1500 * time.Millisecond
	// hubDiscoveryTime is the time after the start within which this host receives heartbeats from the hubs of its zone,
	// when there are any.
	hubDiscoveryTime = 5 * time.Second
	// ownerSilenceTimeout is the time without news of a job after which its supposed owner is queried.
	ownerSilenceTimeout = 3 * time.Second
	// endRepeatInterval is the shortest time between two messages to an owner that does not know of its job's end.
	endRepeatInterval = 300 * time.Millisecond
)

// knownJob is what this host knows of a job and its owner.
type knownJob struct {
	event.JobSeen
	newsAt        time.Duration
	orphanedAt    time.Duration // since when it has no live owner, 0 while it has one
	queriedAt     time.Duration // when the owner was last queried
	endRepeatedAt time.Duration // when its owner was last told again that it has ended, 0 before
	checkedAt     time.Duration // when the store's record was last read because this host was taken for the owner
	takingOver    bool
	endAsked      bool          // a caller has ended it at this host after it had ended
	textsDropped  bool          // the executor was told to drop its texts
	stored        event.JobSeen // the owner that the store named last, without a host before
	mayTakeOver   bool          // this host may take it over: its owner announced it, or it was found without one
	unoffered     bool          // found in the store or by a reader, and not yet offered to another host, which may not know it
	nextTakeover  time.Duration // no attempt to take it over before
}

// ensureKnown returns the entry of a job and adds an empty one when there is none.
func (p *Component) ensureKnown(id string) *knownJob {
	k := p.known[id]
	if k == nil {
		k = &knownJob{JobSeen: event.JobSeen{Job: id}}
		p.known[id] = k
	}
	return k
}

// startOwning starts to run a job, some items of which may already be listed, and announces this host as its owner.
func (p *Component) startOwning(now time.Duration, taken event.JobTaken, out *event.Batch) {
	j := newJob(now, taken.Head, taken.Epoch)
	p.jobs[taken.Job] = j
	j.chunks = taken.Chunks
	for _, i := range taken.Listed {
		j.markListed(i)
	}
	for _, h := range taken.Held {
		if it := j.items[h.Item]; it.state == waiting {
			it.heldEvents, it.heldVersions, it.heldSoftware, it.stateTime = h.Events, h.Versions, h.Software, now
		}
	}
	k := p.ensureKnown(taken.Job)
	k.Host, k.Incarnation, k.Epoch, k.newsAt, k.orphanedAt = p.Self.Name, p.Self.Incarnation, taken.Epoch, now, 0
	k.Route, k.Items = j.head.Route, len(j.items)
	j.ended = k.Ended                                // it may have been ended while this host was taking it over
	k.Ended, k.Next = k.Ended || j.unlisted == 0, "" // with nothing left to run it counts as ended
	p.noteRouteHost(k.JobSeen)
	p.updateCopyHost(now, j, out)
	if k.Next == "" {
		p.announce(k.JobSeen, out)
	}
	p.dispatch(now, out)
}

// updateCopyHost has the texts of a job copied to the host that is to take it over, and announces that host when it
// changes.
func (p *Component) updateCopyHost(now time.Duration, j *job, out *event.Batch) {
	to := ""
	for _, name := range ranks.Order(j.head.ID, p.availableHosts(now)) {
		if name != p.Self.Name {
			to = name
			break
		}
	}
	if j.unlisted == 0 || j.ended {
		to = ""
	}
	if to == j.copyHost {
		return
	}
	j.copyHost = to
	out.Emit(event.CopyJob{Job: j.head.ID, To: to})
	if k := p.ensureKnown(j.head.ID); to != "" {
		k.Next = to
		p.announce(k.JobSeen, out)
	}
}

// availableHosts returns the hosts that are alive, connected to this one, neither stopping nor cut off from the engines,
// sorted.
func (p *Component) availableHosts(now time.Duration) []string {
	var names []string
	for _, h := range p.Membership.Alive(now) {
		since, down := p.disconnectedAt[h.Name]
		cutOff := p.Links.HostCutOff(h.Name) || h.Name == p.Self.Name && p.Links.CutOff(now)
		if !cutOff && !p.stoppingHosts[h.Name] && (!down || now-since < disconnectGrace) {
			names = append(names, h.Name)
		}
	}
	return names
}

// handleHostsChanged stores the host list and passes the other hosts on to the executors.
func (p *Component) handleHostsChanged(hosts []event.Host, hubs []string, out *event.Batch) {
	p.largeFleet, p.hubs, p.hosts = len(hubs) > 0, hubs, hosts
	others := slices.DeleteFunc(slices.Clone(hosts), func(h event.Host) bool { return h.Name == p.Self.Name })
	out.Emit(event.KnowHosts{Hosts: others})
}

// checkOwnership reads the store's record of a job that this host owns. News of its end or of another owner may not reach
// this host in a large fleet, or while there is a host that it does not hear.
func (p *Component) checkOwnership(now time.Duration, j *job, out *event.Batch) {
	if !p.largeFleet && p.hearsAllHosts(now) || j.ended || j.unstored || j.unlisted == 0 || now-max(j.checkedAt, j.ownedSince) < ownershipCheckInterval {
		return
	}
	j.checkedAt = now
	out.Emit(event.CheckJob{Job: j.head.ID})
}

// hearsAllHosts reports whether every host of the host list is alive and connected to this one.
func (p *Component) hearsAllHosts(now time.Duration) bool {
	heard := 1 // this host
	for _, h := range p.Membership.Alive(now) {
		since, down := p.disconnectedAt[h.Name]
		if h.Name != p.Self.Name && (!down || now-since < disconnectGrace) {
			heard++
		}
	}
	return heard >= len(p.hosts)
}

// noteFound records that a job was found in the store's list, or that a caller reads it while its owner does not answer. The
// owner may have died before it announced the job.
func (p *Component) noteFound(job string) {
	k := p.ensureKnown(job)
	k.mayTakeOver, k.unoffered = true, true
}

// noteOwner records the supposed owner of a job. What is known already is no news: the owner itself has not been heard.
func (p *Component) noteOwner(now time.Duration, s event.JobSeen, out *event.Batch) {
	k := p.ensureKnown(s.Job)
	before := k.JobSeen
	if !k.Ended && (k.Host == "" || k.Epoch < s.Epoch) {
		k.JobSeen = s
	}
	p.noteChange(now, k, before, s.Ended, out)
}

// noteStoredOwner records the owner that the store names for a job, which decides between claims of one epoch.
func (p *Component) noteStoredOwner(now time.Duration, s event.JobSeen, out *event.Batch) {
	k := p.ensureKnown(s.Job)
	before := k.JobSeen
	k.setStored(s)
	if !k.Ended && (k.Host == "" || k.Epoch < s.Epoch || k.Epoch == s.Epoch && s.Host != "" && !p.runs(s.Job, s.Epoch)) {
		s.Next, s.Route, s.Items = cmp.Or(s.Next, k.Next), cmp.Or(s.Route, k.Route), max(s.Items, k.Items)
		k.JobSeen = s
	}
	p.noteChange(now, k, before, s.Ended, out)
}

// setStored records the owner that the store has named, unless it has named a later one.
func (k *knownJob) setStored(s event.JobSeen) {
	if s.Host != "" && s.Epoch >= k.stored.Epoch {
		k.stored = s
	}
}

// noteChange records whether a job has ended, and tells the executor what has changed.
func (p *Component) noteChange(now time.Duration, k *knownJob, before event.JobSeen, ended bool, out *event.Batch) {
	if ended {
		p.markEnded(k.Job, out)
	}
	if k.JobSeen != before {
		k.newsAt = now
		out.Emit(event.KnowJob{Seen: k.JobSeen})
	}
}

// listJobsAtStart reads the store's list of jobs once: jobs of an earlier process of this host, and of other hosts, may
// have no owner.
func (p *Component) listJobsAtStart(now time.Duration, out *event.Batch) {
	if p.startupListed || p.listingJobs || now < p.nextJobList || p.leavesJobList(now) {
		return
	}
	p.listingJobs = true
	out.Emit(event.ListJobs{})
}

// leavesJobList reports whether this host leaves the listing of jobs to others for now. In a large fleet only a few hubs
// do it, since the list contains every job in full.
func (p *Component) leavesJobList(now time.Duration) bool {
	if !p.largeFleet {
		return len(p.hosts) <= 1 && now-p.startedAt < startupGrace // the other hosts are not known yet
	}
	if now-p.startedAt < startupGrace {
		return true
	}
	hubs := []string{p.Self.Name}
	for _, h := range p.Membership.Alive(now) {
		if h.Name != p.Self.Name && slices.Contains(p.hubs, h.Name) {
			hubs = append(hubs, h.Name)
		}
	}
	if slices.Contains(p.hubs, p.Self.Name) {
		return ranks.Rank(wire.PrefixJobs, hubs, p.Self.Name) >= listingHubs
	}
	return len(hubs) > 1 || now-p.startedAt < hubDiscoveryTime
}

func (p *Component) handleJobsListed(now time.Duration, e event.JobsListed, out *event.Batch) {
	p.listingJobs = false
	if e.Kind != "" {
		p.nextJobList = now + jobListRetry
		return
	}
	p.startupListed = true
	for _, s := range e.Jobs {
		p.noteStoredOwner(now, s, out)
		p.noteFound(s.Job)
	}
	out.Emit(event.Log{Level: "info", Event: "JobsListed", Fields: []event.Field{{Key: "Jobs", Value: strconv.Itoa(len(e.Jobs))}}})
}
