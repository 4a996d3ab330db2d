package usage

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// ledgerBytesPerSecond bounds what the ledger's writes cost beside the renewals.
	ledgerBytesPerSecond = 8 << 10
	writesInGrace        = 4
)

// Holder is the part that holds the duty Usage. Its exported fields are set before use.
type Holder struct {
	Host  string
	Trust event.Trust

	settings config.Usage
	offset   time.Duration
	hasClock bool
	wanted   bool
	known    map[string]Stream        // by host, of the hosts' own records
	live     map[Stream]bool          // the same streams
	replaced map[Stream]time.Duration // when a host's record named another incarnation
	term     *term                    // nil while the duty is not held
}

// term is one time of holding the duty.
type term struct {
	epoch     uint64
	ledger    *Ledger
	dirty     bool
	urgent    bool
	writeSeq  uint64
	written   uint64
	nextWrite time.Duration
	asks      []waiting
	frozenBy  map[string]uint64 // write that freezes a report, for those not yet known to be written
	heard     map[Stream]time.Duration
	nextSweep time.Duration
	report    sending
	closeFrom time.Duration // no window is closed before: the daemons' counts are on their way to a new holder
}

// waiting is a delta whose answer waits for a write of the ledger.
type waiting struct {
	to  string
	id  uint64
	seq uint64
}

// Step takes the events of folding, closing and reporting. It must not be called concurrently.
func (h *Holder) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ConfigInForce:
		h.settings = e.Site.Usage
	case event.WallClock:
		h.offset = e.Unix - now
		h.hasClock = true
	case event.HostsChanged:
		h.know(now, e.Hosts)
	case event.DutyGained:
		h.gain(now, e, out)
	case event.DutyLost:
		h.lose(e)
	case event.DutyAsked:
		h.fold(now, e, out)
	case event.LedgerWritten:
		h.confirmWrite(e, out)
	case event.UsageSent:
		h.confirmReport(now, e, out)
	case event.StatusAsked:
		h.status(e, out)
	case event.Tick:
		h.tick(now, out)
	}
}

func (h *Holder) gain(now time.Duration, e event.DutyGained, out *event.Batch) {
	if e.Duty != event.DutyUsage {
		return
	}
	ledger, err := Decode(e.Ledger)
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "UsageLedgerInvalid", Fields: []event.Field{{Key: "Error", Value: err.Error()}}})
		return
	}
	h.term = &term{epoch: e.Epoch, ledger: ledger, frozenBy: map[string]uint64{}, heard: map[Stream]time.Duration{}, nextSweep: now}
	if ledger.Closed > 0 {
		h.term.closeFrom = now + flushesInGrace*h.settings.Flush
	}
	for s := range ledger.Streams {
		h.term.heard[s] = now
	}
}

func (h *Holder) lose(e event.DutyLost) {
	if e.Duty == event.DutyUsage {
		h.term = nil
	}
}

// fold takes one delta and answers it once the ledger that holds it is written.
func (h *Holder) fold(now time.Duration, e event.DutyAsked, out *event.Batch) {
	if e.Duty != event.DutyUsage {
		return
	}
	t := h.term
	if t == nil {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kinds.NotHolder})
		return
	}
	var d wire.UsageDelta
	if err := msgpack.Unmarshal(e.Body, &d); err != nil || e.Call != callDelta {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kinds.BadRequest})
		return
	}
	if kind := refusedBy(d, e.From); kind != "" {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kind})
		return
	}
	t.heard[StreamOf(d.Host, d.Incarnation)] = now
	h.take(now, d, out)
	h.answerLater(e, out)
}

func (h *Holder) take(now time.Duration, d wire.UsageDelta, out *event.Batch) {
	t := h.term
	outcome := t.ledger.Fold(d, WindowAt(now+h.offset, h.length()))
	switch outcome {
	case Duplicate:
		out.Emit(event.Count{Name: "UsageDuplicates", N: 1})
		return
	case FoldedLate:
		out.Emit(event.Count{Name: "UsageLate", N: 1})
	}
	t.dirty = true
}

func (h *Holder) answerLater(e event.DutyAsked, out *event.Batch) {
	t := h.term
	w := waiting{to: e.From, id: e.ID, seq: t.writeSeq}
	if t.dirty {
		w.seq++
	}
	if w.seq <= t.written {
		out.Raise(event.AnswerDuty{To: w.to, ID: w.id})
		return
	}
	t.asks = append(t.asks, w)
}

func (h *Holder) length() time.Duration {
	if h.settings.Window == 0 {
		h.settings = config.Defaults().Usage
	}
	return h.settings.Window
}

func (h *Holder) tick(now time.Duration, out *event.Batch) {
	if !h.wanted {
		h.wanted = true
		out.Raise(event.WantDuties{Owner: owner, Duties: []string{event.DutyUsage}})
	}
	if h.term == nil {
		return
	}
	until, epoch, ok := h.Trust.Holds(event.DutyUsage, now)
	if !ok || epoch != h.term.epoch {
		return
	}
	h.close(now, out)
	h.forget(now)
	h.write(now, out)
	h.send(now, until, out)
}

// close freezes the windows whose grace has passed.
func (h *Holder) close(now time.Duration, out *event.Batch) {
	length := h.length()
	unix := now + h.offset - h.settings.Grace
	if !h.hasClock || now < h.term.closeFrom || WindowAt(unix, length) == 0 {
		return
	}
	t := h.term
	if t.ledger.Length == 0 {
		t.ledger.Length = length
	}
	if t.ledger.Length != length {
		out.Emit(event.Count{Name: "UsageWindowChanged", N: 1})
		return
	}
	waiting := len(t.ledger.Frozen)
	if t.ledger.Close(WindowAt(unix, length)-1) == 0 {
		return
	}
	t.dirty = true
	t.urgent = true
	for _, r := range t.ledger.Frozen[waiting:] {
		t.frozenBy[r.ReportID] = t.writeSeq + 1
	}
}

// write records the ledger, at once when a window was frozen and else within the budget of bytes.
func (h *Holder) write(now time.Duration, out *event.Batch) {
	t := h.term
	if !t.dirty || !t.urgent && now < t.nextWrite {
		return
	}
	b, err := t.ledger.Encode()
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "UsageLedgerInvalid", Fields: []event.Field{{Key: "Error", Value: err.Error()}}})
		return
	}
	t.writeSeq++
	t.dirty, t.urgent = false, false
	t.nextWrite = now + h.pause(len(b))
	out.Raise(event.WriteLedger{Duty: event.DutyUsage, Epoch: t.epoch, Seq: t.writeSeq, Ledger: b})
}

func (h *Holder) pause(bytes int) time.Duration {
	pause := time.Duration(bytes) * time.Second / ledgerBytesPerSecond
	return min(max(pause, h.settings.Flush), h.settings.Grace/writesInGrace)
}

func (h *Holder) confirmWrite(e event.LedgerWritten, out *event.Batch) {
	t := h.term
	if e.Duty != event.DutyUsage || t == nil || e.Epoch != t.epoch {
		return
	}
	t.written = max(t.written, e.Seq)
	kept := t.asks[:0]
	for _, w := range t.asks {
		if w.seq > t.written {
			kept = append(kept, w)
			continue
		}
		out.Raise(event.AnswerDuty{To: w.to, ID: w.id})
	}
	t.asks = kept
	for id, seq := range t.frozenBy {
		if seq <= t.written {
			delete(t.frozenBy, id)
		}
	}
}
