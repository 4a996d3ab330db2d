package lease

import (
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/ranks"
)

const (
	// freshRead is the greatest age of a read that a takeover goes by.
	freshRead = time.Second
	// readEvery is the interval of the reads while a candidate waits.
	readEvery = 2 * time.Second
)

// compete takes a duty that nobody holds. Only candidates read its object, and only while no beat claims it, so that
// the calls grow with the duties and not with the hosts.
func (p *Part) compete(now time.Duration, d *duty, out *event.Batch) {
	if p.stopping || p.readyAt == 0 || now < p.readyAt || d.busy || now < d.next {
		return
	}
	rank, every, ok := p.candidate(d, now)
	if !ok {
		return
	}
	if holder, _ := p.Roster.Holder(d.name, now); holder != "" && holder != p.Self.Name {
		d.known = false
		return
	}
	if !d.known && now-max(d.readAt, p.readyAt) < every-readEvery {
		return
	}
	if !d.known || d.suspect {
		p.read(d, out)
		return
	}
	age := now - d.readAt
	due := now >= p.takeAt(d, rank)
	if age > every || due && age > freshRead {
		p.read(d, out)
		return
	}
	if due {
		p.takeOver(d, out)
	}
}

// candidate returns this daemon's place among the candidates for a duty and the interval of its reads; false when it
// is none. Where all hosts hear all, the candidates are the first few that are alive. In a larger fleet nobody knows
// who is alive and few hear the holder: there each host is a candidate that reads the more rarely the later its place,
// so that the reads of one duty grow with the logarithm of the hosts.
func (p *Part) candidate(d *duty, now time.Duration) (rank int, every time.Duration, ok bool) {
	known := p.Roster.Known()
	if len(known) <= p.meshUpTo {
		rank = ranks.Of(d.name, names(p.Roster.Alive(now)), p.Self.Name)
		return rank, readEvery, rank >= 0 && rank < candidates
	}
	if !d.ranked {
		d.rank = ranks.Of(d.name, names(known), p.Self.Name)
		d.ranked = true
	}
	return d.rank, readEvery * time.Duration(d.rank+1), d.rank >= 0
}

func names(hosts []event.Host) []string {
	all := make([]string, 0, len(hosts))
	for _, h := range hosts {
		all = append(all, h.Name)
	}
	return all
}

// takeAt returns the time from which this daemon may take a duty over. An expired lease of this very process
// needs no wait: it has given the duty up before.
func (p *Part) takeAt(d *duty, rank int) time.Duration {
	later := time.Duration(rank) * stagger
	switch {
	case d.record.Holder == "":
		return d.since + later
	case d.record.Holder == p.Self.Name && d.record.Incarnation == p.Self.Incarnation:
		return d.since
	case p.replaced(d):
		return d.since + later // the process that held it has ended
	default:
		return d.since + d.record.Timing.TTL + d.record.Timing.Margin + later
	}
}

func (p *Part) takeOver(d *duty, out *event.Batch) {
	record := d.record
	record.Holder = p.Self.Name
	record.Incarnation = p.Self.Incarnation
	record.Epoch++
	record.Renewals = 0
	record.Timing = p.timing
	p.write(d, record, 0, out)
	d.writing.takeover = true
	d.writing.wait = max(d.record.Timing.OrderFlight, p.timing.OrderFlight)
	if record.Epoch == 1 {
		d.writing.wait = 0
	}
}

// taken goes on from a takeover that is known to be stored. A lease that has already run out is taken anew.
func (p *Part) taken(now time.Duration, d *duty, w write, out *event.Batch) {
	until := trustUntil(w.sentAt, w.record.Timing)
	if now >= until {
		return
	}
	d.phase = waiting
	d.until = until
	d.renewAt = w.sentAt + p.timing.Renew
	d.gainAt = now + w.wait
	p.keep(now, d, out)
}

// sight takes what a read showed of a duty that is not held here.
func (p *Part) sight(now time.Duration, d *duty, e event.ObjectDone) {
	d.readAt = now
	if e.Kind == kinds.NotFound {
		d.adopt(now, 0, Record{})
		return
	}
	record, ok := decodeRecord(e.Object.Value)
	if !ok {
		d.next = now + retryAfter
		return
	}
	d.adopt(now, e.Object.Version, record)
	d.revision = e.Object.Revision
	if d.heard.version == d.version {
		d.since = min(d.since, d.heard.since)
	}
}

// hear notes when a beat first claimed a version. The holder had sent the write of that version before, so that
// the wait for an unchanged version may count from there.
func (p *Part) hear(now time.Duration, e event.BeatSeen) {
	for _, claim := range e.Beat.Duties {
		d := p.duties[claim.Duty]
		if d != nil && claim.Version > d.heard.version {
			d.heard = heard{version: claim.Version, since: now}
		}
	}
}
