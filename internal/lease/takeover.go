package lease

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/ranks"
)

const (
	// maxTakeoverReadAge is the maximum age of the read that a takeover is based on.
	maxTakeoverReadAge = time.Second
	// readInterval is the interval at which a waiting candidate reads a duty's object. In a large fleet it grows with
	// the candidate's rank.
	readInterval = 2 * time.Second
)

// tryAcquire takes over a duty that no host holds. Only candidates read the duty's object, and only while no heartbeat
// claims the duty, so that the calls grow with the number of duties and not with the number of hosts.
func (p *Component) tryAcquire(now time.Duration, d *duty, out *event.Batch) {
	if p.stopping || p.acquireFrom == 0 || now < p.acquireFrom || d.callPending || now < d.nextCallAt {
		return
	}
	rank, interval, ok := p.candidateRank(d, now)
	if !ok {
		return
	}
	if holder, _ := p.Membership.Holder(d.name, now); holder != "" && holder != p.Self.Name {
		d.known = false
		return
	}
	if !d.known && now-max(d.lastReadAt, p.acquireFrom) < interval-readInterval {
		return
	}
	if !d.known || d.uncertain {
		p.startRead(d, out)
		return
	}
	age := now - d.lastReadAt
	due := now >= p.takeoverTime(d, p.rankOfTurn(now, d, rank))
	if age > interval || due && age > maxTakeoverReadAge {
		p.startRead(d, out)
		return
	}
	if due {
		p.writeTakeover(d, out)
	}
}

// candidates returns the names of the hosts that are alive, without those that are cut off from the endpoints unless all are.
func (p *Component) candidates(now time.Duration) []string {
	alive := hostNames(p.Membership.Alive(now))
	if p.Links == nil {
		return alive
	}
	reaching := slices.DeleteFunc(slices.Clone(alive), func(host string) bool {
		return p.Links.HostCutOff(host) || host == p.Self.Name && p.Links.CutOff(now)
	})
	if len(reaching) == 0 {
		return alive
	}
	return reaching
}

// candidateRank returns this daemon's rank among the candidates for a duty and the interval of its reads; ok is false
// when it is not a candidate. In a fully connected fleet the first few hosts that are alive are candidates. In a larger
// fleet no host knows which hosts are alive, and few receive heartbeats from the holder: there each host is a candidate
// and its read interval grows with its rank, so that the reads of one duty grow with the logarithm of the number of
// hosts.
func (p *Component) candidateRank(d *duty, now time.Duration) (rank int, interval time.Duration, ok bool) {
	known := p.Membership.Known()
	if len(known) <= p.meshUpTo {
		rank = ranks.Rank(d.name, p.candidates(now), p.Self.Name)
		return rank, readInterval, rank >= 0 && rank < maxCandidates
	}
	if !d.rankValid {
		d.rank = ranks.Rank(d.name, hostNames(known), p.Self.Name)
		d.rankValid = true
	}
	return d.rank, readInterval * time.Duration(d.rank+1), d.rank >= 0
}

func hostNames(hosts []event.Host) []string {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	return names
}

// takeoverTime returns the time from which this daemon may take over a duty. Endpoints that check no fencing numbers must not
// see holders take turns within a lease.
func (p *Component) takeoverTime(d *duty, rank int) time.Duration {
	at := p.leaseFreeTime(d, rank)
	if d.record.heldSince(p.Self.Name) {
		last := max(p.startedAt, p.lostAt[d.name]) // this host, or an earlier process of it, acted no later
		at = max(at, last+d.record.Timing.TTL+d.record.Timing.Margin)
	}
	return at
}

// rankOfTurn returns this daemon's rank without the candidate before it that has to wait since its turn was the last but one.
func (p *Component) rankOfTurn(now time.Duration, d *duty, rank int) int {
	names := p.candidates(now)
	for _, name := range names {
		if d.record.heldSince(name) && name != p.Self.Name && rank > 0 && ranks.Rank(d.name, names, name) < rank {
			return rank - 1
		}
	}
	return rank
}

// leaseFreeTime returns the time from which nobody holds a duty. A daemon need not wait for an expired lease of its own
// process, which gave up the duty before.
func (p *Component) leaseFreeTime(d *duty, rank int) time.Duration {
	rankDelay := time.Duration(rank) * takeoverStagger
	switch {
	case d.record.Holder == "":
		return d.firstSeenAt + rankDelay
	case d.record.Holder == p.Self.Name && d.record.Incarnation == p.Self.Incarnation:
		return d.firstSeenAt
	case p.holderReplaced(d):
		return d.firstSeenAt + rankDelay // the process that held it has ended
	default:
		return d.firstSeenAt + d.record.Timing.TTL + d.record.Timing.Margin + rankDelay
	}
}

func (p *Component) writeTakeover(d *duty, out *event.Batch) {
	record := d.record
	record.addTurn(p.Self.Name)
	record.Holder = p.Self.Name
	record.Incarnation = p.Self.Incarnation
	record.Epoch++
	record.Renewals = 0
	record.Timing = p.timing
	p.startWrite(d, record, 0, out)
	d.pendingWrite.takeover = true
	d.pendingWrite.orderWait = max(d.record.Timing.OrderFlight, p.timing.OrderFlight)
	if record.Epoch == 1 {
		d.pendingWrite.orderWait = 0
	}
}

// takeoverStored handles a takeover that is known to be stored. If its lease has already run out, the duty stays idle
// and is acquired anew.
func (p *Component) takeoverStored(now time.Duration, d *duty, w recordWrite, out *event.Batch) {
	trustedUntil := leaseEnd(w.sentAt, w.record.Timing)
	if now >= trustedUntil {
		return
	}
	d.phase = waiting
	d.trustedUntil = trustedUntil
	d.renewAt = w.sentAt + p.timing.Renew
	d.gainAt = now + w.orderWait
	p.maintain(now, d, out)
}

// observeRecord records the result of a read of a duty that this daemon does not hold.
func (p *Component) observeRecord(now time.Duration, d *duty, e event.ObjectDone) {
	d.lastReadAt = now
	if e.Kind == kinds.NotFound {
		d.setRecord(now, 0, Record{})
		return
	}
	record, ok := decodeRecord(e.Object.Value)
	if !ok {
		d.nextCallAt = now + retryDelay
		return
	}
	d.setRecord(now, e.Object.Version, record)
	d.revision = e.Object.Revision
	if d.claimed.version == d.version {
		d.firstSeenAt = min(d.firstSeenAt, d.claimed.firstSeenAt)
	}
}

// observeClaims records when a heartbeat first claimed a version. The holder had sent the write of that version before,
// so the wait for an unchanged version may count from then.
func (p *Component) observeClaims(now time.Duration, e event.BeatSeen) {
	for _, claim := range e.Beat.Duties {
		d := p.duties[claim.Duty]
		if d != nil && claim.Version > d.claimed.version {
			d.claimed = claimedVersion{version: claim.Version, firstSeenAt: now}
		}
	}
}
