package usage

import (
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	// maxLedgerBytesPerSecond limits the rate of ledger writes, which load the store beside the lease renewals.
	maxLedgerBytesPerSecond = 8 << 10
	// writesPerGrace is the minimum number of writes within the grace period of a window, whatever the ledger's size.
	writesPerGrace = 4
)

// Holder is the component of the reducer that performs the Usage duty while this daemon holds it. Its exported fields
// are set before use.
type Holder struct {
	Host  string
	Trust event.Trust

	settings      config.Usage
	clockOffset   time.Duration
	hasClock      bool
	dutyRequested bool
	streamOfHost  map[string]Stream        // by host name, from the hosts' records
	liveStreams   map[Stream]bool          // the values of streamOfHost
	replacedAt    map[Stream]time.Duration // when a host's record named another incarnation
	term          *term                    // nil while the duty is not held
}

// term is the state of one period of holding the duty.
type term struct {
	epoch          uint64
	ledger         *Ledger
	dirty          bool
	writeNow       bool
	writeSeq       uint64
	written        uint64
	nextWrite      time.Duration
	pendingAnswers []pendingAnswer
	freezingWrite  map[string]uint64 // by ReportID: the write with the frozen window, until that is known to be written
	lastDelta      map[Stream]time.Duration
	nextSweep      time.Duration
	report         reportInFlight
	closeAfter     time.Duration // no window is closed earlier, since a new holder has not yet received all daemons' deltas
}

// pendingAnswer is the answer to a delta, delayed until the ledger is written.
type pendingAnswer struct {
	to    string
	id    uint64
	write uint64 // the write to wait for
}

// Step applies one event, if it concerns folding, closing or reporting. It must not be called concurrently.
func (h *Holder) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.ConfigInForce:
		h.settings = e.Site.Usage
	case event.WallClock:
		h.clockOffset = e.Unix - now
		h.hasClock = true
	case event.HostsChanged:
		h.updateHosts(now, e.Hosts)
	case event.DutyGained:
		h.startTerm(now, e, out)
	case event.DutyLost:
		h.endTerm(e)
	case event.DutyAsked:
		h.handleDelta(now, e, out)
	case event.LedgerWritten:
		h.confirmWrite(e, out)
	case event.UsageSent:
		h.confirmReport(now, e, out)
	case event.StatusAsked:
		h.emitStatus(e, out)
	case event.Tick:
		h.tick(now, out)
	}
}

func (h *Holder) startTerm(now time.Duration, e event.DutyGained, out *event.Batch) {
	if e.Duty != event.DutyUsage {
		return
	}
	ledger, err := Decode(e.Ledger)
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "UsageLedgerInvalid", Fields: []event.Field{{Key: "Error", Value: err.Error()}}})
		return
	}
	h.term = &term{epoch: e.Epoch, ledger: ledger, freezingWrite: map[string]uint64{}, lastDelta: map[Stream]time.Duration{}, nextSweep: now}
	if ledger.Closed > 0 {
		h.term.closeAfter = now + flushesPerGrace*h.settings.Flush
	}
	for s := range ledger.Streams {
		h.term.lastDelta[s] = now
	}
}

func (h *Holder) endTerm(e event.DutyLost) {
	if e.Duty == event.DutyUsage {
		h.term = nil
	}
}

// handleDelta folds one delta and answers it once the ledger that contains it is written.
func (h *Holder) handleDelta(now time.Duration, e event.DutyAsked, out *event.Batch) {
	if e.Duty != event.DutyUsage {
		return
	}
	t := h.term
	if t == nil {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kinds.NotHolder})
		return
	}
	var d wire.UsageDelta
	if err := decode(e.Body, &d); err != nil || e.Call != callDelta {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kinds.BadRequest})
		return
	}
	if kind := validateDelta(d, e.From); kind != "" {
		out.Raise(event.AnswerDuty{To: e.From, ID: e.ID, Kind: kind})
		return
	}
	t.lastDelta[StreamOf(d.Host, d.Incarnation)] = now
	h.foldDelta(now, d, out)
	h.answerWhenWritten(e, out)
}

func (h *Holder) foldDelta(now time.Duration, d wire.UsageDelta, out *event.Batch) {
	t := h.term
	outcome := t.ledger.Fold(d, WindowAt(now+h.clockOffset, h.windowLength()))
	switch outcome {
	case Duplicate:
		out.Emit(event.Count{Name: "UsageDuplicates", N: 1})
		return
	case FoldedLate:
		out.Emit(event.Count{Name: "UsageLate", N: 1})
	}
	t.dirty = true
}

func (h *Holder) answerWhenWritten(e event.DutyAsked, out *event.Batch) {
	t := h.term
	a := pendingAnswer{to: e.From, id: e.ID, write: t.writeSeq}
	if t.dirty {
		a.write++
	}
	if a.write <= t.written {
		out.Raise(event.AnswerDuty{To: a.to, ID: a.id})
		return
	}
	t.pendingAnswers = append(t.pendingAnswers, a)
}

func (h *Holder) windowLength() time.Duration {
	if h.settings.Window == 0 {
		h.settings = config.Defaults().Usage
	}
	return h.settings.Window
}

func (h *Holder) tick(now time.Duration, out *event.Batch) {
	if !h.dutyRequested {
		h.dutyRequested = true
		out.Raise(event.WantDuties{Owner: owner, Duties: []string{event.DutyUsage}})
	}
	if h.term == nil {
		return
	}
	until, epoch, ok := h.Trust.Holds(event.DutyUsage, now)
	if !ok || epoch != h.term.epoch {
		return
	}
	h.closeWindows(now, out)
	h.sweepStreams(now)
	h.writeLedger(now, out)
	h.sendReport(now, until, out)
}

// closeWindows freezes the windows whose grace period has passed.
func (h *Holder) closeWindows(now time.Duration, out *event.Batch) {
	length := h.windowLength()
	unix := now + h.clockOffset - h.settings.Grace
	if !h.hasClock || now < h.term.closeAfter || WindowAt(unix, length) == 0 {
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
	alreadyFrozen := len(t.ledger.Frozen)
	if t.ledger.Close(WindowAt(unix, length)-1) == 0 {
		return
	}
	t.dirty = true
	t.writeNow = true
	for _, r := range t.ledger.Frozen[alreadyFrozen:] {
		t.freezingWrite[r.ReportID] = t.writeSeq + 1
	}
}

// writeLedger writes a changed ledger: at once if a window was frozen, else at most every writeInterval.
func (h *Holder) writeLedger(now time.Duration, out *event.Batch) {
	t := h.term
	if !t.dirty || !t.writeNow && now < t.nextWrite {
		return
	}
	b, err := t.ledger.Encode()
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "UsageLedgerInvalid", Fields: []event.Field{{Key: "Error", Value: err.Error()}}})
		return
	}
	t.writeSeq++
	t.dirty, t.writeNow = false, false
	t.nextWrite = now + h.writeInterval(len(b))
	out.Raise(event.WriteLedger{Duty: event.DutyUsage, Epoch: t.epoch, Seq: t.writeSeq, Ledger: b})
}

func (h *Holder) writeInterval(bytes int) time.Duration {
	interval := time.Duration(bytes) * time.Second / maxLedgerBytesPerSecond
	return min(max(interval, h.settings.Flush), h.settings.Grace/writesPerGrace)
}

func (h *Holder) confirmWrite(e event.LedgerWritten, out *event.Batch) {
	t := h.term
	if e.Duty != event.DutyUsage || t == nil || e.Epoch != t.epoch {
		return
	}
	t.written = max(t.written, e.Seq)
	kept := t.pendingAnswers[:0]
	for _, a := range t.pendingAnswers {
		if a.write > t.written {
			kept = append(kept, a)
			continue
		}
		out.Raise(event.AnswerDuty{To: a.to, ID: a.id})
	}
	t.pendingAnswers = kept
	for id, seq := range t.freezingWrite {
		if seq <= t.written {
			delete(t.freezingWrite, id)
		}
	}
}
