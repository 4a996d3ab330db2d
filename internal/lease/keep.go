package lease

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// expire gives a duty up when its lease is no longer trusted.
func (p *Part) expire(now time.Duration, d *duty, out *event.Batch) {
	if d.phase != idle && now >= d.until {
		p.lose(d, "Expired", out)
	}
}

func (p *Part) lose(d *duty, reason string, out *event.Batch) {
	held := d.phase == holding
	d.phase = idle
	d.known = false
	d.suspect = false
	d.unknown = nil
	d.next = 0
	d.ledger = nil
	d.ledgerSeq = 0
	d.writtenSeq = 0
	if held {
		out.Raise(event.DutyLost{Duty: d.name})
	}
	out.Emit(event.Count{Name: "DutiesLost", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
	p.log("DutyLost", d, reason, out)
}

func (p *Part) log(name string, d *duty, reason string, out *event.Batch) {
	out.Emit(event.Log{Level: "info", Event: name, Fields: []event.Field{
		{Key: "Duty", Value: d.name},
		{Key: "Reason", Value: reason},
	}})
}

// keep renews a held lease, writes its ledger and raises DutyGained when the wait is over.
func (p *Part) keep(now time.Duration, d *duty, out *event.Batch) {
	if now >= d.until {
		return // the next tick gives the duty up
	}
	if d.phase == waiting && now >= d.gainAt {
		d.phase = holding
		out.Raise(event.DutyGained{Duty: d.name, Epoch: d.record.Epoch, Ledger: d.record.Ledger})
		out.Emit(event.Count{Name: "DutiesGained", N: 1})
		p.log("DutyGained", d, "", out)
	}
	if d.busy || now < d.next {
		return
	}
	if d.suspect {
		p.read(d, out)
		return
	}
	if d.phase == releasing || d.dirty() || now >= d.renewAt {
		p.renew(d, out)
	}
}

// renew writes the next record of a held lease; in phase releasing one without a holder.
func (p *Part) renew(d *duty, out *event.Batch) {
	record := d.record
	record.Renewals++
	record.Timing = p.timing
	if d.ledgerSeq > 0 {
		record.Ledger = d.ledger
	}
	if d.phase == releasing {
		record.Holder = ""
		record.Incarnation = ""
	}
	p.write(d, record, d.until, out)
}

func (p *Part) write(d *duty, record Record, before time.Duration, out *event.Batch) {
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	w := write{writer: p.writer(), record: record, ledgerSeq: d.ledgerSeq}
	put := event.PutObject{
		Call:    p.call(d),
		Name:    Prefix + d.name,
		Version: d.version,
		Writer:  w.writer,
		Value:   value,
		Urgent:  true,
		Before:  before,
	}
	d.writing = &w
	out.Emit(put)
}

func (p *Part) writeDone(now time.Duration, d *duty, e event.ObjectDone, out *event.Batch) {
	w := *d.writing
	w.sentAt = e.SentAt
	d.writing = nil
	switch e.Kind {
	case "":
		p.stored(now, d, e.Object.Version, w, out)
	case kinds.DeadlineExceeded:
		d.next = now + retryAfter
	default:
		// A conflict may be with an earlier write of this daemon whose answer was lost.
		if e.Kind != kinds.Conflict {
			d.remember(w)
			d.next = now + retryAfter
		}
		d.suspect = true
		out.Emit(event.Count{Name: "LeaseRetries", Tags: []event.Field{{Key: "Reason", Value: string(e.Kind)}}, N: 1})
		if d.phase != idle && e.Kind == kinds.Conflict {
			p.read(d, out)
		}
	}
}

func (d *duty) remember(w write) {
	if d.unknown == nil {
		d.unknown = map[string]write{}
	}
	d.unknown[w.writer] = w
}

// stored goes on from a write that is known to be stored.
func (p *Part) stored(now time.Duration, d *duty, version uint64, w write, out *event.Batch) {
	written := d.writtenSeq
	d.settleWrite(now, version, w)
	if d.phase == idle {
		if w.takeover {
			p.taken(now, d, w, out)
		}
		return // a renewal that came too late: the duty was given up
	}
	if w.record.Holder == "" {
		p.tellFreed(now, d, out)
		p.lose(d, "Released", out)
		return
	}
	d.until = max(d.until, trustUntil(w.sentAt, w.record.Timing))
	d.renewAt = w.sentAt + p.timing.Renew
	if d.phase == holding && d.writtenSeq > written {
		out.Raise(event.LedgerWritten{Duty: d.name, Epoch: d.record.Epoch, Seq: d.writtenSeq})
	}
	if d.dirty() {
		p.keep(now, d, out)
	}
}

func (p *Part) readDone(now time.Duration, d *duty, e event.ObjectDone, out *event.Batch) {
	if e.Kind != "" && e.Kind != kinds.NotFound {
		d.next = now + retryAfter
		return
	}
	if e.Object.Version < d.version && d.phase != idle {
		d.next = now + retryAfter // older than what is known
		return
	}
	if w, ok := d.unknown[e.Object.Writer]; ok && e.Kind == "" {
		p.stored(now, d, e.Object.Version, w, out)
		return
	}
	if d.phase == idle {
		p.sight(now, d, e)
		return
	}
	if e.Object.Version == d.version && strings.HasPrefix(e.Object.Writer, p.writerPrefix()) {
		d.suspect = false
		p.keep(now, d, out)
		return
	}
	p.lose(d, "Taken", out)
}

func (p *Part) writeLedger(now time.Duration, e event.WriteLedger, out *event.Batch) {
	d := p.duties[e.Duty]
	if d == nil || d.phase != holding || d.record.Epoch != e.Epoch || e.Seq <= d.ledgerSeq {
		return
	}
	d.ledger = e.Ledger
	d.ledgerSeq = e.Seq
	if now < d.until {
		p.keep(now, d, out)
	}
}

// release gives up a duty: first within this daemon, then in the store, so that a successor can take it at once.
func (p *Part) release(now time.Duration, d *duty, out *event.Batch) {
	if d == nil || d.phase == idle || d.phase == releasing {
		return
	}
	if d.phase == holding {
		out.Raise(event.DutyLost{Duty: d.name})
	}
	d.phase = releasing
	p.keep(now, d, out)
}
