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
	// settle is the time after the start in which the other hosts are first heard.
	settle = 1200 * time.Millisecond
	// takeAgain is the pause between two attempts to take a job over.
	takeAgain = 500 * time.Millisecond
	// rankDelay is what each host waits longer than the one before it in the order of preference.
	rankDelay = 300 * time.Millisecond
	// leastHeard is the number of hosts, this one among them, below which a host in a large fleet counts as cut off: each
	// has several neighbours. It leaves the jobs that seem to be nobody's to others.
	leastHeard = 3
	// lastPlace is the last place in that order in a large fleet; two hosts that try at once cost a call each.
	lastPlace = 3
	// closedFor is the time for which a host may have no connection to this one before it counts as gone: a process that
	// ends closes its connections, one that lives makes them again.
	closedFor = 400 * time.Millisecond
	// rememberFor is the time for which a job is remembered after it was last heard of.
	rememberFor = 3 * time.Minute
	// keepTexts is the time for which the texts of an ended job stay in memory; later reads go to the store.
	keepTexts = 45 * time.Second
)

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
	cutOff := p.large && len(names) < leastHeard
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
		if !cutOff {
			p.takeOrphan(now, k, incarnations, names, out)
		}
	}
	p.dropEnded(now, out)
}

func (p *Part) takeOrphan(now time.Duration, k *seen, incarnations map[string]string, names []string, out *event.Batch) {
	if k.Ended || k.taking || p.jobs[k.Job] != nil || now < k.next || p.large && !k.near {
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
	p.offer(k, names, out)
	rank := p.rank(k, names)
	if mine {
		rank = 0
	}
	if rank < 0 || now-k.orphan < time.Duration(rank)*rankDelay {
		return
	}
	k.taking = true
	out.Emit(event.TakeJob{Job: k.Job, Host: k.Host, Epoch: k.Epoch})
	out.Emit(event.Log{Level: "info", Event: "JobTaking", Fields: []event.Field{
		{Key: "Job", Value: k.Job}, {Key: "From", Value: k.Host}, {Key: "Epoch", Value: strconv.FormatUint(k.Epoch, 10)},
	}})
}

// offer tells another host of a job that only this one has found, in a large fleet: the few that look for jobs would
// run them all.
func (p *Part) offer(k *seen, names []string, out *event.Batch) {
	if !p.large || !k.sought || len(names) == 0 {
		return
	}
	k.sought = false
	if first := ranks.Order(k.Job, names)[0]; first != p.Self.Name {
		k.Next = first
		p.tellHost(first, event.JobSeen{Job: k.Job, Epoch: k.Epoch, Next: first}, out)
	}
}

// rank returns this host's place among those that may take a job over, -1 when it may not: the host that has copies of
// the texts goes first. In a large fleet the others may not know of the job, so that no place is far behind.
func (p *Part) rank(k *seen, names []string) int {
	rank := ranks.Of(k.Job, names, p.Self.Name)
	switch {
	case rank < 0:
		return rank
	case k.Next == p.Self.Name:
		return 0
	case slices.Contains(names, k.Next):
		rank++
	}
	if p.large {
		rank = min(rank, lastPlace)
	}
	return rank
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
