package batch

import (
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// lookAgain is the pause after a failed look for jobs.
	lookAgain = 500 * time.Millisecond
	// listers is the number of hubs of a large fleet that look for jobs after their start; two, since one may be lost.
	listers = 2
	// checkOwnedEvery is the interval at which an owner in a larger fleet reads the record of its job; an end binds it
	// within the platform's bound of seconds.
	checkOwnedEvery = 1500 * time.Millisecond
	// hubsWithin is the time after the start in which a zone's hubs are heard, when there are any.
	hubsWithin = 5 * time.Second
	// silentOwner is the time without a word from a job's owner after which it is asked.
	silentOwner = 3 * time.Second
)

// seen is a job and who runs it as far as this host knows.
type seen struct {
	event.JobSeen
	heardAt time.Duration
	orphan  time.Duration // time since which nobody runs it, 0 while somebody does
	asked   time.Duration // when the owner was last asked
	taking  bool
	dropped bool // the executor holds nothing of it
	near    bool // this host would take the job over: its owner tells it, or it found the job without an owner
	sought  bool // found by a list or a reader, so that other hosts may not know of it, and not yet offered to one
	next    time.Duration
}

func (p *Part) see(id string) *seen {
	k := p.known[id]
	if k == nil {
		k = &seen{JobSeen: event.JobSeen{Job: id}}
		p.known[id] = k
	}
	return k
}

// own begins to run a job, of which some items may be listed, and tells the other hosts.
func (p *Part) own(now time.Duration, taken event.JobTaken, out *event.Batch) {
	j := newJob(now, taken.Head, taken.Epoch)
	p.jobs[taken.Job] = j
	j.chunks = taken.Chunks
	for _, i := range taken.Listed {
		j.setListed(i)
	}
	for _, h := range taken.Held {
		if it := j.items[h.Item]; it.state == waiting {
			it.events, it.versions = h.Events, h.Versions
		}
	}
	k := p.see(taken.Job)
	k.Host, k.Incarnation, k.Epoch, k.heardAt, k.orphan = p.Self.Name, p.Self.Incarnation, taken.Epoch, now, 0
	k.Route, k.Items = j.head.Route, len(j.items)
	k.Ended, k.Next = j.left == 0, "" // with nothing left to run it is as good as ended
	p.ran(k.JobSeen)
	p.copyTo(now, j, out)
	if k.Next == "" {
		p.tell(k.JobSeen, out)
	}
	p.dispatch(now, out)
}

// copyTo names the host that gets copies of a job: the one that would take it over.
func (p *Part) copyTo(now time.Duration, j *job, out *event.Batch) {
	to := ""
	for _, name := range ranks.Order(j.head.ID, p.stayingHosts(now)) {
		if name != p.Self.Name {
			to = name
			break
		}
	}
	if j.left == 0 || j.ended {
		to = ""
	}
	if to == j.copiesTo {
		return
	}
	j.copiesTo = to
	out.Emit(event.CopyJob{Job: j.head.ID, To: to})
	if k := p.see(j.head.ID); to != "" {
		k.Next = to
		p.tell(k.JobSeen, out)
	}
}

// stayingHosts returns the hosts that are alive and not stopping, sorted.
func (p *Part) stayingHosts(now time.Duration) []string {
	var names []string
	for _, h := range p.Roster.Alive(now) {
		since, down := p.down[h.Name]
		if !p.leaving[h.Name] && (!down || now-since < closedFor) {
			names = append(names, h.Name)
		}
	}
	return names
}

// knowHosts hands the other hosts' addresses to the executors.
func (p *Part) knowHosts(hosts []event.Host, hubs []string, out *event.Batch) {
	p.large, p.hubs, p.hosts = len(hubs) > 0, hubs, hosts
	others := slices.DeleteFunc(slices.Clone(hosts), func(h event.Host) bool { return h.Name == p.Self.Name })
	out.Emit(event.KnowHosts{Hosts: others})
}

// checkOwned reads the store's record of a job that this host runs: in a large fleet no news may tell of its end or of
// another owner.
func (p *Part) checkOwned(now time.Duration, j *job, out *event.Batch) {
	if !p.large || j.ended || j.unkept || j.left == 0 || now-max(j.checkedAt, j.since) < checkOwnedEvery {
		return
	}
	j.checkedAt = now
	out.Emit(event.CheckJob{Job: j.head.ID})
}

// sought takes a job that a caller asks for and whose owner does not answer. That owner may have died before it told
// anyone.
func (p *Part) sought(now time.Duration, s event.JobSeen, out *event.Batch) {
	p.noteOther(now, s, out)
	k := p.see(s.Job)
	k.near, k.sought = true, true
}

// noteOther remembers a job that another host has accepted.
func (p *Part) noteOther(now time.Duration, s event.JobSeen, out *event.Batch) {
	k := p.see(s.Job)
	k.heardAt = now
	if k.Ended || k.Host != "" && k.Epoch >= s.Epoch {
		return
	}
	k.JobSeen = s
	out.Emit(event.KnowJob{Seen: s})
}

// lookForJobs reads once which jobs there are: those of an earlier process of this host and of others may be nobody's.
func (p *Part) lookForJobs(now time.Duration, out *event.Batch) {
	if p.listed || p.listing || now < p.nextList || p.leavesList(now) {
		return
	}
	p.listing = true
	out.Emit(event.ListJobs{})
}

// leavesList reports whether other hosts look for jobs in this one's place: in a large fleet a few hubs do, since the
// list holds every job whole.
func (p *Part) leavesList(now time.Duration) bool {
	if !p.large {
		return len(p.hosts) <= 1 && now-p.started < settle // the other hosts are not known yet
	}
	if now-p.started < settle {
		return true
	}
	hubs := []string{p.Self.Name}
	for _, h := range p.Roster.Alive(now) {
		if h.Name != p.Self.Name && slices.Contains(p.hubs, h.Name) {
			hubs = append(hubs, h.Name)
		}
	}
	if slices.Contains(p.hubs, p.Self.Name) {
		return ranks.Of(wire.PrefixJobs, hubs, p.Self.Name) >= listers
	}
	return len(hubs) > 1 || now-p.started < hubsWithin
}

func (p *Part) jobsListed(now time.Duration, e event.JobsListed, out *event.Batch) {
	p.listing = false
	if e.Kind != "" {
		p.nextList = now + lookAgain
		return
	}
	p.listed = true
	for _, s := range e.Jobs {
		p.sought(now, s, out)
	}
	out.Emit(event.Log{Level: "info", Event: "JobsListed", Fields: []event.Field{{Key: "Jobs", Value: strconv.Itoa(len(e.Jobs))}}})
}
