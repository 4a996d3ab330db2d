package lease

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// expire gives up a duty whose lease has run out.
func (p *Component) expire(now time.Duration, d *duty, out *event.Batch) {
	if d.phase != idle && now >= d.trustedUntil {
		p.lose(now, d, "Expired", out)
	}
}

func (p *Component) lose(now time.Duration, d *duty, reason string, out *event.Batch) {
	p.lostAt[d.name] = now
	held := d.phase == holding
	d.phase = idle
	d.doubtedAt = 0
	d.known = false
	d.uncertain = false
	d.unresolvedWrites = nil
	d.nextCallAt = 0
	d.ledger = nil
	d.ledgerSeq = 0
	d.storedSeq = 0
	if held {
		out.Raise(event.DutyLost{Duty: d.name})
	}
	out.Emit(event.Count{Name: "DutiesLost", Tags: []event.Field{{Key: "Reason", Value: reason}}, N: 1})
	p.logChange("DutyLost", d, reason, out)
}

func (p *Component) logChange(eventName string, d *duty, reason string, out *event.Batch) {
	out.Emit(event.Log{Level: "info", Event: eventName, Fields: []event.Field{
		{Key: "Duty", Value: d.name},
		{Key: "Reason", Value: reason},
	}})
}

// maintain renews a held lease, writes its ledger and raises DutyGained once the orders of the previous holder can no
// longer arrive.
func (p *Component) maintain(now time.Duration, d *duty, out *event.Batch) {
	if now >= d.trustedUntil {
		return // the next tick gives up the duty
	}
	if d.phase == waiting && now >= d.gainAt && d.doubtedAt == 0 {
		d.phase = holding
		out.Raise(event.DutyGained{Duty: d.name, Epoch: d.record.Epoch, Ledger: d.record.Ledger})
		out.Emit(event.Count{Name: "DutiesGained", N: 1})
		p.logChange("DutyGained", d, "", out)
	}
	if d.callPending || now < d.nextCallAt {
		return
	}
	if d.uncertain {
		p.startRead(d, out)
		return
	}
	if d.phase == releasing || d.dirty() || d.doubtedAt > 0 || now >= d.renewAt {
		p.renew(d, out)
	}
}

// renew writes the next record of a held lease. While the duty is being released, the record names no holder.
func (p *Component) renew(d *duty, out *event.Batch) {
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
	p.startWrite(d, record, d.trustedUntil, out)
}

func (p *Component) startWrite(d *duty, record Record, sendBefore time.Duration, out *event.Batch) {
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	w := recordWrite{writer: p.writer(), record: record, ledgerSeq: d.ledgerSeq}
	put := event.PutObject{
		Call:    p.newCall(d),
		Name:    Prefix + d.name,
		Version: d.version,
		Writer:  w.writer,
		Value:   value,
		Urgent:  true,
		Before:  sendBefore,
	}
	d.pendingWrite = &w
	out.Emit(put)
}

func (p *Component) writeDone(now time.Duration, d *duty, e event.ObjectDone, out *event.Batch) {
	w := *d.pendingWrite
	w.sentAt = e.SentAt
	d.pendingWrite = nil
	switch e.Kind {
	case "":
		p.writeStored(now, d, e.Object.Version, w, out)
	case kinds.DeadlineExceeded:
		d.nextCallAt = now + retryDelay
	default:
		// A conflict may be with an earlier write of this daemon whose answer was lost.
		if e.Kind != kinds.Conflict {
			d.rememberUnresolved(w)
			d.nextCallAt = now + retryDelay
		}
		d.uncertain = true
		out.Emit(event.Count{Name: "LeaseRetries", Tags: []event.Field{{Key: "Reason", Value: string(e.Kind)}}, N: 1})
		if d.phase != idle && e.Kind == kinds.Conflict {
			p.startRead(d, out)
		}
	}
}

func (d *duty) rememberUnresolved(w recordWrite) {
	if d.unresolvedWrites == nil {
		d.unresolvedWrites = map[string]recordWrite{}
	}
	d.unresolvedWrites[w.writer] = w
}

// writeStored handles a write that is known to be stored.
func (p *Component) writeStored(now time.Duration, d *duty, version uint64, w recordWrite, out *event.Batch) {
	previousSeq := d.storedSeq
	d.confirmWrite(now, version, w)
	if d.phase == idle {
		if w.takeover {
			p.takeoverStored(now, d, w, out)
		}
		return // a late renewal: the duty has been given up
	}
	if w.record.Holder == "" {
		p.announceRelease(now, d, out)
		p.lose(now, d, "Released", out)
		return
	}
	d.trustedUntil = max(d.trustedUntil, leaseEnd(w.sentAt, w.record.Timing))
	d.renewAt = w.sentAt + p.timing.Renew
	if d.phase == holding && d.storedSeq > previousSeq {
		out.Raise(event.LedgerWritten{Duty: d.name, Epoch: d.record.Epoch, Seq: d.storedSeq})
	}
	if d.dirty() {
		p.maintain(now, d, out)
	}
}

func (p *Component) readDone(now time.Duration, d *duty, e event.ObjectDone, out *event.Batch) {
	if e.Kind != "" && e.Kind != kinds.NotFound {
		d.nextCallAt = now + retryDelay
		return
	}
	if e.Object.Version < d.version && d.phase != idle {
		d.nextCallAt = now + retryDelay // the answer is older than the known version
		return
	}
	if w, ok := d.unresolvedWrites[e.Object.Writer]; ok && e.Kind == "" {
		p.writeStored(now, d, e.Object.Version, w, out)
		return
	}
	if d.phase == idle {
		p.observeRecord(now, d, e)
		return
	}
	if e.Object.Version == d.version && strings.HasPrefix(e.Object.Writer, p.writerPrefix()) {
		d.uncertain = false
		p.maintain(now, d, out)
		return
	}
	p.lose(now, d, "Taken", out)
}

func (p *Component) writeLedger(now time.Duration, e event.WriteLedger, out *event.Batch) {
	d := p.duties[e.Duty]
	if d == nil || d.phase != holding || d.record.Epoch != e.Epoch || e.Seq <= d.ledgerSeq {
		return
	}
	d.ledger = e.Ledger
	d.ledgerSeq = e.Seq
	if now < d.trustedUntil {
		p.maintain(now, d, out)
	}
}

// release gives up a duty, first within this daemon and then in the store, so that a successor can take it over at once.
func (p *Component) release(now time.Duration, d *duty, out *event.Batch) {
	if d == nil || d.phase == idle || d.phase == releasing {
		return
	}
	if d.phase == holding {
		out.Raise(event.DutyLost{Duty: d.name})
	}
	d.phase = releasing
	p.maintain(now, d, out)
}
