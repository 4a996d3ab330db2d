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

// claims returns the jobs that this host runs, for its beats.
func (p *Part) claims() []wire.JobNews {
	var all []wire.JobNews
	for _, j := range p.sorted() {
		if j.left > 0 && !j.ended && !p.drained {
			all = append(all, wire.JobNews{
				Job: j.head.ID, Host: p.Self.Name, Incarnation: p.Self.Incarnation, Epoch: j.epoch,
				Route: j.head.Route, Items: len(j.items), Next: j.copiesTo,
			})
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
func (p *Part) news(now time.Duration, from string, n wire.JobNews, out *event.Batch) {
	k := p.see(n.Job)
	k.heardAt = now
	k.near = k.near || n.Host == "" || n.Host == from
	before := k.JobSeen
	ended := k.Ended || n.Ended
	if n.Host != "" && (n.Epoch > k.Epoch || k.Host == "" || n.Epoch == k.Epoch && isFirstHand(from, n)) {
		k.Host, k.Incarnation, k.Epoch, k.orphan = n.Host, n.Incarnation, n.Epoch, 0
		k.Next, k.Route, k.Items = cmp.Or(n.Next, k.Next), cmp.Or(n.Route, k.Route), max(n.Items, k.Items)
	}
	if n.Host == "" && n.Epoch >= k.Epoch && !ended && k.orphan == 0 {
		k.Epoch, k.orphan, k.Next = n.Epoch, now, cmp.Or(n.Next, k.Next)
	}
	k.Ended = ended
	if before.Host == "" && k.Host != "" {
		p.ran(k.JobSeen)
	}
	if k.JobSeen != before {
		out.Emit(event.KnowJob{Seen: k.JobSeen})
	}
	if k.Epoch != before.Epoch || k.Ended != before.Ended || before.Host == "" && k.Host != "" {
		p.passOn(from, k.JobSeen, out)
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

// isFirstHand reports whether news come from the job's owner or from the store's record. What others pass on may be older
// than what is known, unless its epoch is higher.
func isFirstHand(from string, n wire.JobNews) bool { return from == n.Host || from == "" }

// passOn tells the hosts that do not hear a job's owner who it is, in a large fleet: a hub tells its zone, and the other
// hubs what it has from its zone.
func (p *Part) passOn(from string, s event.JobSeen, out *event.Batch) {
	for _, host := range ranks.PassOn(p.Self.Name, p.hubs, event.ZonesOf(p.Roster.Alive(p.now)), from) {
		p.tellHost(host, s, out)
	}
}
