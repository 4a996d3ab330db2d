package batch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// settle is the time after the start in which the other hosts are first heard.
	settle = 1200 * time.Millisecond
	// lookAgain is the pause after a failed look for jobs.
	lookAgain = 500 * time.Millisecond
	// takeAgain is the pause between two attempts to take a job over.
	takeAgain = 500 * time.Millisecond
	// rankDelay is what each host waits longer than the one before it in the order of preference.
	rankDelay = 300 * time.Millisecond
	// closedFor is the time for which a host may have no connection to this one before it counts as gone: a process that
	// ends closes its connections, one that lives makes them again.
	closedFor = 400 * time.Millisecond
	// flushFor bounds the wait for the last copies of a stopping host.
	flushFor = 700 * time.Millisecond
	// smallFleet is the number of hosts up to which all hear all.
	smallFleet = 16
	// checkOwnedEvery is the interval at which an owner in a larger fleet reads the record of its job; an end binds it
	// within the platform's bound of seconds.
	checkOwnedEvery = 1500 * time.Millisecond
	// silentOwner is the time without a word from a job's owner after which it is asked.
	silentOwner = 3 * time.Second
	// rememberFor is the time for which a job is remembered after it was last heard of.
	rememberFor = 3 * time.Minute
	// keepTexts is the time for which the texts of an ended job stay in memory; later reads go to the store.
	keepTexts = 45 * time.Second
)

// seen is a job and who runs it as far as this host knows.
type seen struct {
	event.JobSeen
	heardAt time.Duration
	orphan  time.Duration // time since which nobody runs it, 0 while somebody does
	asked   time.Duration // when the owner was last asked
	taking  bool
	dropped bool // the executor holds nothing of it
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
	k.Ended = j.left == 0 // nothing is left to run
	p.tell(k.JobSeen, out)
	p.copyTo(now, j, out)
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
	if to != j.copiesTo {
		j.copiesTo = to
		out.Emit(event.CopyJob{Job: j.head.ID, To: to})
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

// tell sends who runs a job to all hosts and to the executor.
func (p *Part) tell(s event.JobSeen, out *event.Batch) {
	out.Emit(event.KnowJob{Seen: s})
	for _, h := range p.Roster.Alive(p.now) {
		if h.Name != p.Self.Name {
			p.tellHost(h.Name, s, out)
		}
	}
}

func (p *Part) tellHost(host string, s event.JobSeen, out *event.Batch) {
	news := wire.JobNews(s)
	out.Emit(event.SendPeer{Host: host, Message: wire.Message{News: &news}})
}

// tellAll sends the jobs of this host to one that has just connected.
func (p *Part) tellAll(host string, out *event.Batch) {
	for _, id := range slices.Sorted(maps.Keys(p.known)) {
		if k := p.known[id]; k.Host == p.Self.Name || k.Ended {
			p.tellHost(host, k.JobSeen, out)
		}
	}
}

// knowHosts hands the other hosts' addresses to the executors.
func (p *Part) knowHosts(hosts []event.Host, out *event.Batch) {
	p.large = len(hosts) > smallFleet
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

// claims returns the jobs that this host runs, for its beats.
func (p *Part) claims() []wire.JobNews {
	var all []wire.JobNews
	for _, j := range p.sorted() {
		if j.left > 0 && !j.ended && !p.drained {
			all = append(all, wire.JobNews{Job: j.head.ID, Host: p.Self.Name, Incarnation: p.Self.Incarnation, Epoch: j.epoch})
		}
	}
	return all
}

// askOwners tells a host that others take for a job's owner, and that does not say so itself, what is believed of it:
// the answer to its takeover may have been lost.
func (p *Part) askOwners(now time.Duration, out *event.Batch) {
	if p.stopping {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(p.known)) {
		k := p.known[id]
		if k.Ended || k.Host == "" || k.Host == p.Self.Name || p.jobs[id] != nil || now-max(k.heardAt, k.asked) < silentOwner {
			continue
		}
		k.asked = now
		p.tellHost(k.Host, k.JobSeen, out)
	}
}

// news takes what another host tells of a job. A higher epoch ends the own run of it.
func (p *Part) news(now time.Duration, n wire.JobNews, out *event.Batch) {
	k := p.see(n.Job)
	k.heardAt = now
	before := k.JobSeen
	ended := k.Ended || n.Ended
	if n.Epoch >= k.Epoch && n.Host != "" {
		k.Host, k.Incarnation, k.Epoch, k.orphan = n.Host, n.Incarnation, n.Epoch, 0
	}
	if n.Host == "" && n.Epoch >= k.Epoch && !ended && k.orphan == 0 {
		k.Epoch, k.orphan = n.Epoch, now
	}
	k.Ended = ended
	if k.JobSeen != before {
		out.Emit(event.KnowJob{Seen: k.JobSeen})
	}
	j := p.jobs[n.Job]
	if j == nil {
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

// noteOther remembers a job that another host has accepted.
func (p *Part) noteOther(now time.Duration, s event.JobSeen, out *event.Batch) {
	k := p.see(s.Job)
	k.heardAt = now
	if k.Host != "" && k.Epoch >= s.Epoch {
		return
	}
	k.JobSeen = s
	out.Emit(event.KnowJob{Seen: s})
}

// lookForJobs reads once which jobs there are: those of an earlier process of this host and of others may be nobody's.
func (p *Part) lookForJobs(now time.Duration, out *event.Batch) {
	if p.listed || p.listing || now < p.nextList {
		return
	}
	p.listing = true
	out.Emit(event.ListJobs{})
}

func (p *Part) jobsListed(now time.Duration, e event.JobsListed, out *event.Batch) {
	p.listing = false
	if e.Kind != "" {
		p.nextList = now + lookAgain
		return
	}
	p.listed = true
	for _, s := range e.Jobs {
		p.noteOther(now, s, out)
	}
	out.Emit(event.Log{Level: "info", Event: "JobsListed", Fields: []event.Field{{Key: "Jobs", Value: strconv.Itoa(len(e.Jobs))}}})
}

// lives reports whether the process that runs a job is alive.
func (p *Part) lives(now time.Duration, k *seen) bool {
	for _, h := range p.Roster.Alive(now) {
		if h.Name == k.Host {
			since, down := p.down[h.Name]
			return h.Incarnation == k.Incarnation && (!down || now-since < closedFor)
		}
	}
	return false
}

// takeOrphans takes over the jobs that nobody runs and that fall to this host.
func (p *Part) takeOrphans(now time.Duration, out *event.Batch) {
	if p.stopping || now-p.started < settle {
		return
	}
	incarnations := map[string]string{}
	for _, h := range p.Roster.Alive(now) {
		if since, down := p.down[h.Name]; !down || now-since < closedFor {
			incarnations[h.Name] = h.Incarnation
		}
	}
	names := p.stayingHosts(now)
	for _, id := range slices.Sorted(maps.Keys(p.known)) {
		k := p.known[id]
		if k.Ended && now-k.heardAt > rememberFor {
			delete(p.known, id)
			continue
		}
		if k.Ended && !k.dropped && now-k.heardAt > keepTexts && p.jobs[id] == nil {
			k.dropped = true
			out.Emit(event.DropJob{Job: id})
		}
		p.takeOrphan(now, k, incarnations, names, out)
	}
	p.dropEnded(now, out)
}

func (p *Part) takeOrphan(now time.Duration, k *seen, incarnations map[string]string, names []string, out *event.Batch) {
	if k.Ended || k.taking || p.jobs[k.Job] != nil || now < k.next {
		return
	}
	// A takeover whose answer was lost may have made this host the owner.
	mine := k.Host == p.Self.Name && k.Incarnation == p.Self.Incarnation
	if !mine && k.Host != "" && incarnations[k.Host] == k.Incarnation && k.orphan == 0 {
		return
	}
	if k.orphan == 0 {
		k.orphan = now
	}
	rank := ranks.Of(k.Job, names, p.Self.Name)
	if mine {
		rank = 0
	}
	if rank < 0 || now-k.orphan < time.Duration(rank)*rankDelay {
		return
	}
	k.taking = true
	out.Emit(event.TakeJob{Job: k.Job, Epoch: k.Epoch})
	out.Emit(event.Log{Level: "info", Event: "JobTaking", Fields: []event.Field{
		{Key: "Job", Value: k.Job}, {Key: "From", Value: k.Host}, {Key: "Epoch", Value: strconv.FormatUint(k.Epoch, 10)},
	}})
}

func (p *Part) taken(now time.Duration, e event.JobTaken, out *event.Batch) {
	k := p.see(e.Job)
	k.taking, k.next = false, now+takeAgain
	out.Emit(event.Log{Level: "info", Event: "JobTaken", Fields: []event.Field{
		{Key: "Job", Value: e.Job},
		{Key: "Kind", Value: string(e.Kind)},
		{Key: "Epoch", Value: strconv.FormatUint(e.Epoch, 10)},
		{Key: "Listed", Value: strconv.Itoa(len(e.Listed))},
		{Key: "Ended", Value: strconv.FormatBool(e.Ended)},
	}})
	out.Emit(event.Count{Name: "JobTakeovers", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
	switch {
	case e.Kind == kinds.NotFound:
		k.Ended = true
	case e.Kind == kinds.Conflict:
		k.Epoch, k.next, k.heardAt = max(k.Epoch, e.Epoch), now+silentOwner, now // another host has it, heard or not
	case e.Kind != "":
		k.Epoch = max(k.Epoch, e.Epoch)
	case e.Ended:
		k.Ended = true
		out.Emit(event.KnowJob{Seen: k.JobSeen})
	case p.stopping:
	default:
		p.own(now, e, out)
	}
}

// dropEnded forgets the texts of jobs that ended a while ago.
func (p *Part) dropEnded(now time.Duration, out *event.Batch) {
	for _, j := range p.sorted() {
		if now-j.since < keepTexts || !(j.ended || j.left == 0) || j.busy {
			continue
		}
		if j.left > 0 && now-j.since < 2*keepTexts {
			continue
		}
		delete(p.jobs, j.head.ID)
		out.Emit(event.DropJob{Job: j.head.ID})
	}
}

// stop hands the jobs of this host to the others.
func (p *Part) stop(now time.Duration, out *event.Batch) {
	if p.stopping {
		return
	}
	p.stopping = true
	out.Raise(event.DrainBegun{Owner: drainOwner})
	for _, j := range p.sorted() {
		for _, it := range j.items {
			if it.state == running {
				p.stopItem(j, it, out)
			}
		}
		p.list(now, j, out)
	}
}

// endDrain gives the jobs up once their finished results are stored.
func (p *Part) endDrain(out *event.Batch) {
	if !p.stopping || p.drained {
		return
	}
	for _, j := range p.jobs {
		if j.busy || j.pending() {
			return
		}
	}
	if p.flushing == 0 {
		p.flushing = p.now
		out.Emit(event.FlushCopies{})
	}
	if p.now-p.flushing >= flushFor {
		p.handOver(out)
	}
}

// handOver gives the jobs up.
func (p *Part) handOver(out *event.Batch) {
	if p.drained {
		return
	}
	p.drained = true
	for _, j := range p.sorted() {
		if !j.ended && j.left > 0 {
			p.tell(event.JobSeen{Job: j.head.ID, Epoch: j.epoch}, out)
		}
	}
	out.Raise(event.DrainEnded{Owner: drainOwner})
}

// pending reports whether results or ends of runs are still on their way.
func (j *job) pending() bool {
	for _, it := range j.items {
		if it.state == stopping || it.state == scoring || it.state == finished || it.state == listing {
			return true
		}
	}
	return false
}
