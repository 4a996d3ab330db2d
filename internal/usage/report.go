package usage

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	minLeaseLeft  = 100 * time.Millisecond // minimum remaining lease time with which a report is sent
	reportTimeout = 5 * time.Second
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 10 * time.Second
)

// reportInFlight is the report that was sent and is not yet answered, and the state of its retries.
type reportInFlight struct {
	seq     uint64
	id      string // "" if none is in flight
	tries   int
	retryAt time.Duration
}

// sendReport sends the report of the oldest frozen window, or after failures those of the next ones in turn. It sends a
// report only inside the lease and only once the ledger with its figures is known to be written.
func (h *Holder) sendReport(now, until time.Duration, out *event.Batch) {
	t := h.term
	if t.report.id != "" || now < t.report.retryAt || len(t.ledger.Frozen) == 0 || until-now < minLeaseLeft {
		return
	}
	r := t.ledger.Frozen[t.report.tries%len(t.ledger.Frozen)]
	if _, unwritten := t.freezingWrite[r.ReportID]; unwritten {
		return
	}
	r.Holder, r.Epoch = h.Host, t.epoch
	t.report.seq++
	t.report.id = r.ReportID
	t.report.tries++
	t.report.retryAt = now + 2*reportTimeout
	out.Emit(event.SendUsage{Seq: t.report.seq, Report: r, Before: min(until, now+reportTimeout)})
	out.Emit(event.Log{Level: "info", Event: "UsageReport", Fields: []event.Field{
		{Key: "ReportID", Value: r.ReportID},
		{Key: "Try", Value: strconv.Itoa(t.report.tries)},
	}})
}

func (h *Holder) confirmReport(now time.Duration, e event.UsageSent, out *event.Batch) {
	t := h.term
	if t == nil || e.Seq != t.report.seq || e.ReportID != t.report.id {
		return
	}
	t.report.id = ""
	if e.Kind == kinds.Conflict {
		// The platform has seen a higher epoch, so this one must not be used again.
		out.Raise(event.ReleaseDuty{Duty: event.DutyUsage})
		return
	}
	if e.Kind != "" {
		out.Emit(event.Count{Name: "UsageReportRetried", Tags: []event.Field{{Key: "Kind", Value: string(e.Kind)}}, N: 1})
		t.report.retryAt = now + min(minRetryDelay<<min(t.report.tries, 10), maxRetryDelay)
		out.Emit(event.Log{Level: "warn", Event: "UsageReportFailed", Fields: []event.Field{
			{Key: "ReportID", Value: e.ReportID},
			{Key: "Kind", Value: string(e.Kind)},
			{Key: "RetryMS", Value: strconv.FormatInt((t.report.retryAt - now).Milliseconds(), 10)},
		}})
		return
	}
	if t.report.tries > 1 {
		out.Emit(event.Log{Level: "info", Event: "UsageReportTaken", Fields: []event.Field{
			{Key: "ReportID", Value: e.ReportID}, {Key: "Tries", Value: strconv.Itoa(t.report.tries)},
		}})
	}
	t.report.tries = 0
	t.report.retryAt = now
	t.ledger.Confirm(e.ReportID)
	t.dirty = true
	out.Emit(event.Count{Name: "UsageReported", N: 1})
}

// emitStatus adds the last confirmed windows, followed by the oldest unconfirmed ones, to a status report.
func (h *Holder) emitStatus(e event.StatusAsked, out *event.Batch) {
	if h.term == nil {
		return
	}
	l := h.term.ledger
	windows := append([]wire.UsageReport(nil), l.Recent...)
	windows = append(windows, l.Frozen[:min(len(l.Frozen), maxRecentWindows)]...)
	out.Emit(event.StatusPart{Seq: e.Seq, Status: wire.Status{Windows: windows}})
}
