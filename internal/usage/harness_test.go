package usage_test

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/usage"
)

const (
	tick   = 50 * time.Millisecond
	window = 10 * time.Second
	grace  = 2 * time.Second
	epoch  = 1_000_000 * time.Second // wall-clock time at the start, since the Unix epoch
)

// harness runs the Counter and the Holder of one daemon. It simulates the lease, the calls between daemons and the
// store; the tests answer in place of the platform.
type harness struct {
	t            testing.TB
	now          time.Duration
	state        reduce.State
	dutyHeld     bool
	storeSilent  bool // the store does not answer
	noHolder     bool // calls to the holder are refused
	ledger       []byte
	writes       int
	reports      []event.SendUsage
	counts       map[string]int64
	logs         []string
	drainsBegun  int
	drainsEnded  int
	acknowledged uint64
	deltas       int
	deltaBytes   int // size of the last delta
}

func newHarness(t testing.TB) *harness {
	h := &harness{t: t, counts: map[string]int64{}, dutyHeld: true}
	h.state.Components = []event.Part{&usage.Counter{Host: "h1", Incarnation: "i1"}, &usage.Holder{Host: "h1", Trust: h}, h}
	site := config.Defaults()
	site.Usage = config.Usage{Window: window, Grace: grace, Flush: time.Second}
	h.step(event.ConfigInForce{Site: site})
	h.step(event.WallClock{Unix: epoch})
	h.step(event.DutyGained{Duty: event.DutyUsage, Epoch: 1})
	return h
}

// Trusted is not used by the components under test.
func (h *harness) Trusted(time.Duration) (time.Duration, bool) { return time.Hour, true }

// Holds reports whether the test lets the daemon hold the duty.
func (h *harness) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + 3*time.Second, 1, h.dutyHeld
}

// Step simulates the calls between daemons and the store.
func (h *harness) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.AskDuty:
		h.deltas++
		h.deltaBytes = len(e.Body)
		if h.noHolder {
			out.Raise(event.AskDone{Owner: e.Owner, Seq: e.Seq, Kind: kinds.NotHolder})
			return
		}
		out.Raise(event.DutyAsked{From: "h1", ID: e.Seq, Duty: e.Duty, Call: e.Call, Body: e.Body})
	case event.AnswerDuty:
		if e.Kind == "" {
			h.acknowledged++
		}
		out.Raise(event.AskDone{Owner: "usage", Seq: e.ID, Kind: e.Kind})
	case event.WriteLedger:
		h.writes++
		if !h.storeSilent {
			h.ledger = e.Ledger
			out.Raise(event.LedgerWritten{Duty: e.Duty, Epoch: e.Epoch, Seq: e.Seq})
		}
	case event.DrainBegun:
		h.drainsBegun++
	case event.DrainEnded:
		h.drainsEnded++
	}
}

func (h *harness) step(ev event.Event) {
	for _, effect := range h.state.Step(h.now, ev) {
		switch e := effect.(type) {
		case event.SendUsage:
			h.reports = append(h.reports, e)
		case event.Count:
			h.counts[e.Name] += e.N
		case event.Log:
			h.logs = append(h.logs, e.Event)
		}
	}
}

func (h *harness) run(d time.Duration) {
	for end := h.now + d; h.now < end; h.now += tick {
		h.step(event.Tick{})
	}
}

func (h *harness) requestDone(tokens int) {
	h.step(event.RequestDone{Organisation: "a", HasUsage: true, PromptTokens: tokens})
}

// answerReport answers the last report sent.
func (h *harness) answerReport(kind kinds.Kind) {
	last := h.reports[len(h.reports)-1]
	h.step(event.UsageSent{Seq: last.Seq, ReportID: last.Report.ReportID, Kind: kind})
}

// reportedTokens returns the prompt tokens of each report, by ReportID.
func (h *harness) reportedTokens() map[string]uint64 {
	tokens := map[string]uint64{}
	for _, r := range h.reports {
		tokens[r.Report.ReportID] = 0
		for _, f := range r.Report.Figures {
			tokens[r.Report.ReportID] += f.PromptTokens
		}
	}
	return tokens
}

// runAnsweringReports runs for d while the platform accepts every report.
func (h *harness) runAnsweringReports(d time.Duration) {
	for end := h.now + d; h.now < end; h.now += tick {
		n := len(h.reports)
		h.step(event.Tick{})
		if len(h.reports) > n {
			h.answerReport("")
		}
	}
}
