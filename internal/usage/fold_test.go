package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/usage"
	"github.com/figshift/figshift/internal/wire"
)

func TestFold(t *testing.T) {
	delta := func(seq, window, tokens uint64) wire.UsageDelta {
		return wire.UsageDelta{Host: "h1", Incarnation: "i1", Seq: seq, Window: window, Figures: []wire.UsageFigure{figure("a", tokens, 0)}}
	}
	cases := map[string]struct {
		ledger  usage.Ledger
		deltas  []wire.UsageDelta
		current uint64
		want    []usage.Window
		outcome usage.Outcome // of the last delta
	}{
		"open window":           {deltas: []wire.UsageDelta{delta(1, 7, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}},
		"added up":              {deltas: []wire.UsageDelta{delta(1, 7, 5), delta(2, 7, 6)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{multiRequestFigure("a", 2, 11, 0)}}}},
		"duplicate":             {deltas: []wire.UsageDelta{delta(1, 7, 5), delta(1, 7, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}, outcome: usage.Duplicate},
		"older duplicate":       {deltas: []wire.UsageDelta{delta(2, 7, 5), delta(1, 7, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}, outcome: usage.Duplicate},
		"last window in grace":  {ledger: usage.Ledger{Closed: 5}, deltas: []wire.UsageDelta{delta(1, 6, 5)}, current: 7, want: []usage.Window{{Number: 6, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}},
		"closed window":         {ledger: usage.Ledger{Closed: 6}, deltas: []wire.UsageDelta{delta(1, 6, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 5)}}}, outcome: usage.FoldedLate},
		"clock runs ahead":      {ledger: usage.Ledger{Closed: 6}, deltas: []wire.UsageDelta{delta(1, 99, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}},
		"holder's clock behind": {ledger: usage.Ledger{Closed: 6}, deltas: []wire.UsageDelta{delta(1, 7, 5)}, current: 2, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var outcome usage.Outcome
			for _, d := range c.deltas {
				outcome = c.ledger.Fold(d, c.current)
			}
			if diff := cmp.Diff(c.want, c.ledger.Open); diff != "" {
				t.Error(diff)
			}
			if outcome != c.outcome {
				t.Errorf("Fold() = %v, want %v", outcome, c.outcome)
			}
		})
	}
}

func TestCloseLimits(t *testing.T) {
	var l usage.Ledger
	l.Fold(wire.UsageDelta{Host: "h", Incarnation: "i", Seq: 1, Window: 10, Figures: []wire.UsageFigure{figure("a", 1, 0)}}, 10)
	if n := l.Close(9); n != 1 {
		t.Errorf("the first Close froze %d windows, want 1", n)
	}
	if n := l.Close(5000); n != 999 {
		t.Errorf("Close froze %d windows, want 999, up to the limit", n)
	}
	for seq := uint64(2); seq < 30; seq++ {
		l.Fold(wire.UsageDelta{Host: "h", Incarnation: "i", Seq: seq, Window: 5000 + seq, Figures: []wire.UsageFigure{figure("a", 1, 0)}}, 6000)
	}
	l.Close(6000)
	if len(l.Open) != 8 || l.Open[0].Figures[0].Requests != 21 || l.Open[0].Figures[0].LateTokens == 0 {
		t.Errorf("%d open windows, want 8; the oldest has %+v, want 21 requests and late tokens", len(l.Open), l.Open[0].Figures)
	}
	if !l.Confirm("usage-9") || l.Confirm("usage-9") {
		t.Error("Confirm does not return true exactly once for a report")
	}
}

func TestLedgerIsReadBack(t *testing.T) {
	l := &usage.Ledger{Length: time.Minute, Closed: 6}
	l.Fold(wire.UsageDelta{Host: "h", Incarnation: "i", Seq: 1 << 31, Window: 7, Figures: []wire.UsageFigure{multiRequestFigure("a", 1, 1<<40, 3), figure("b", 2, 0)}}, 9)
	l.Fold(wire.UsageDelta{Host: "k", Incarnation: "i", Seq: 7, Window: 9, Figures: []wire.UsageFigure{figure("a", 1, 0)}}, 9)
	l.Close(8)
	l.Confirm("usage-8")
	b, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := usage.Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(l, got); diff != "" {
		t.Error(diff)
	}
	for cut := range b {
		if _, err := usage.Decode(b[:cut]); err == nil && cut > 0 {
			t.Errorf("a ledger truncated to %d bytes is decoded without an error", cut)
		}
	}
}

// TestEveryTokenIsReportedOnce simulates daemons that resend deltas, a holder that crashes at any point and restarts
// from the last ledger written, and a platform whose answers get lost.
func TestEveryTokenIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) {
				m.count(rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.Uint64Range(1, 9).Draw(t, "tokens"))
			},
			"send":   func(t *rapid.T) { m.send(rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.Bool().Draw(t, "answer lost")) },
			"write":  func(*rapid.T) { m.write() },
			"crash":  func(*rapid.T) { m.crash() },
			"pass":   func(*rapid.T) { m.window++ },
			"close":  func(t *rapid.T) { m.close(rapid.Uint64Range(0, 2).Draw(t, "grace")) },
			"report": func(t *rapid.T) { m.report(t, rapid.Bool().Draw(t, "answer lost")) },
			"":       func(t *rapid.T) { m.check(t) },
		})
		m.settle(t)
	})
}

// model simulates the daemons, the holder's storage and the platform around a real ledger.
type model struct {
	window  uint64
	daemons [3]daemon
	ledger  usage.Ledger
	stored  []byte
	counted uint64
	reports map[uint64]wire.UsageReport
}

type daemon struct {
	pending []wire.UsageDelta
	seq     uint64
}

func newModel() *model {
	return &model{window: 100, reports: map[uint64]wire.UsageReport{}}
}

func (m *model) count(i int, tokens uint64) {
	d := &m.daemons[i]
	d.seq++
	m.counted += tokens
	d.pending = append(d.pending, wire.UsageDelta{
		Host: fmt.Sprint(i), Incarnation: "i", Seq: d.seq, Window: m.window, Figures: []wire.UsageFigure{figure("a", tokens, 0)},
	})
}

// send folds a daemon's oldest delta; unless the answer is lost, the ledger is then written and the delta
// acknowledged.
func (m *model) send(i int, lost bool) {
	d := &m.daemons[i]
	if len(d.pending) == 0 {
		return
	}
	m.ledger.Fold(d.pending[0], m.window)
	if lost {
		return
	}
	m.write()
	d.pending = d.pending[1:]
}

func (m *model) write() { m.stored, _ = m.ledger.Encode() }

func (m *model) crash() {
	l, _ := usage.Decode(m.stored)
	m.ledger = *l
}

func (m *model) close(grace uint64) {
	if m.ledger.Close(m.window-1-grace) > 0 {
		m.write()
	}
}

func (m *model) report(t *rapid.T, lost bool) {
	if len(m.ledger.Frozen) == 0 {
		return
	}
	r := m.ledger.Frozen[0]
	if seen, ok := m.reports[r.Window]; ok {
		if diff := cmp.Diff(seen, r); diff != "" {
			t.Fatalf("the reports of window %d differ (-first +later):\n%s", r.Window, diff)
		}
	}
	m.reports[r.Window] = r
	if !lost {
		m.ledger.Confirm(r.ReportID)
	}
}

func (m *model) check(t *rapid.T) {
	if total := m.reported(); total > m.counted {
		t.Fatalf("%d tokens reported, but %d counted", total, m.counted)
	}
}

func (m *model) reported() uint64 {
	var total uint64
	for _, r := range m.reports {
		for _, f := range r.Figures {
			total += f.PromptTokens
		}
	}
	return total
}

// settle delivers all deltas, closes all windows and reports them.
func (m *model) settle(t *rapid.T) {
	for i := range m.daemons {
		for len(m.daemons[i].pending) > 0 {
			m.send(i, false)
		}
	}
	m.window += 2
	m.close(0)
	for len(m.ledger.Frozen) > 0 {
		m.report(t, false)
	}
	if total := m.reported(); total != m.counted {
		t.Fatalf("%d tokens reported, but %d counted", total, m.counted)
	}
}

func figure(organisation string, tokens, late uint64) wire.UsageFigure {
	return multiRequestFigure(organisation, 1, tokens, late)
}

func multiRequestFigure(organisation string, requests, tokens, late uint64) wire.UsageFigure {
	return wire.UsageFigure{Organisation: organisation, Requests: requests, PromptTokens: tokens, LateTokens: late}
}
