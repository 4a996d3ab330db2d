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
	epoch  = 1_000_000 * time.Second // wall clock at the start
)

// world is one daemon that may hold the duty, with a store and a platform played by the test.
type world struct {
	t       testing.TB
	now     time.Duration
	state   reduce.State
	held    bool
	mute    bool // the store does not answer
	nobody  bool // no holder is known
	ledger  []byte
	writes  int
	reports []event.SendUsage
	counts  map[string]int64
	logs    []string
	begun   int
	ended   int
	acks    uint64
	asks    int
	bytes   int // of the last delta
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, counts: map[string]int64{}, held: true}
	w.state.Parts = []event.Part{&usage.Counter{Host: "h1", Incarnation: "i1"}, &usage.Holder{Host: "h1", Trust: w}, w}
	site := config.Defaults()
	site.Usage = config.Usage{Window: window, Grace: grace, Flush: time.Second}
	w.step(event.ConfigInForce{Site: site})
	w.step(event.WallClock{Unix: epoch})
	w.step(event.DutyGained{Duty: event.DutyUsage, Epoch: 1})
	return w
}

// Trusted is not asked for.
func (w *world) Trusted(time.Duration) (time.Duration, bool) { return time.Hour, true }

// Holds reports whether the test lets the daemon hold the duty.
func (w *world) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + 3*time.Second, 1, w.held
}

// Step plays the calls between daemons and the store.
func (w *world) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.AskDuty:
		w.asks++
		w.bytes = len(e.Body)
		if w.nobody {
			out.Raise(event.AskDone{Owner: e.Owner, Seq: e.Seq, Kind: kinds.NotHolder})
			return
		}
		out.Raise(event.DutyAsked{From: "h1", ID: e.Seq, Duty: e.Duty, Call: e.Call, Body: e.Body})
	case event.AnswerDuty:
		if e.Kind == "" {
			w.acks++
		}
		out.Raise(event.AskDone{Owner: "usage", Seq: e.ID, Kind: e.Kind})
	case event.WriteLedger:
		w.writes++
		if !w.mute {
			w.ledger = e.Ledger
			out.Raise(event.LedgerWritten{Duty: e.Duty, Epoch: e.Epoch, Seq: e.Seq})
		}
	case event.DrainBegun:
		w.begun++
	case event.DrainEnded:
		w.ended++
	}
}

func (w *world) step(ev event.Event) {
	for _, effect := range w.state.Step(w.now, ev) {
		switch e := effect.(type) {
		case event.SendUsage:
			w.reports = append(w.reports, e)
		case event.Count:
			w.counts[e.Name] += e.N
		case event.Log:
			w.logs = append(w.logs, e.Event)
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tick {
		w.step(event.Tick{})
	}
}

func (w *world) done(tokens int) {
	w.step(event.RequestDone{Organisation: "a", HasUsage: true, PromptTokens: tokens})
}

// answer ends the last report.
func (w *world) answer(kind kinds.Kind) {
	last := w.reports[len(w.reports)-1]
	w.step(event.UsageSent{Seq: last.Seq, ReportID: last.Report.ReportID, Kind: kind})
}

// ids returns the reports' ids and tokens.
func (w *world) ids() map[string]uint64 {
	ids := map[string]uint64{}
	for _, r := range w.reports {
		ids[r.Report.ReportID] = 0
		for _, f := range r.Report.Figures {
			ids[r.Report.ReportID] += f.PromptTokens
		}
	}
	return ids
}

// answerAll runs and lets the platform take every report.
func (w *world) answerAll(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tick {
		n := len(w.reports)
		w.step(event.Tick{})
		if len(w.reports) > n {
			w.answer("")
		}
	}
}
