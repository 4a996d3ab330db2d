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
		"open window":          {deltas: []wire.UsageDelta{delta(1, 7, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}},
		"added up":             {deltas: []wire.UsageDelta{delta(1, 7, 5), delta(2, 7, 6)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{sum("a", 2, 11, 0)}}}},
		"duplicate":            {deltas: []wire.UsageDelta{delta(1, 7, 5), delta(1, 7, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}, outcome: usage.Duplicate},
		"older duplicate":      {deltas: []wire.UsageDelta{delta(2, 7, 5), delta(1, 7, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}, outcome: usage.Duplicate},
		"last window in grace": {ledger: usage.Ledger{Closed: 5}, deltas: []wire.UsageDelta{delta(1, 6, 5)}, current: 7, want: []usage.Window{{Number: 6, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}},
		"closed window":        {ledger: usage.Ledger{Closed: 6}, deltas: []wire.UsageDelta{delta(1, 6, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 5)}}}, outcome: usage.FoldedLate},
		"clock runs ahead":     {ledger: usage.Ledger{Closed: 6}, deltas: []wire.UsageDelta{delta(1, 99, 5)}, current: 7, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}},
		"holder's clock back":  {ledger: usage.Ledger{Closed: 6}, deltas: []wire.UsageDelta{delta(1, 7, 5)}, current: 2, want: []usage.Window{{Number: 7, Figures: []wire.UsageFigure{figure("a", 5, 0)}}}},
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
		t.Errorf("Close froze %d windows, want those that fit, 999", n)
	}
	for seq := uint64(2); seq < 30; seq++ {
		l.Fold(wire.UsageDelta{Host: "h", Incarnation: "i", Seq: seq, Window: 5000 + seq, Figures: []wire.UsageFigure{figure("a", 1, 0)}}, 6000)
	}
	l.Close(6000)
	if len(l.Open) != 8 || l.Open[0].Figures[0].Requests != 21 || l.Open[0].Figures[0].LateTokens == 0 {
		t.Errorf("%d open windows, the oldest with %+v", len(l.Open), l.Open[0].Figures)
	}
	if !l.Confirm("usage-9") || l.Confirm("usage-9") {
		t.Error("a report is not confirmed just once")
	}
}

func TestLedgerIsReadBack(t *testing.T) {
	l := &usage.Ledger{Length: time.Minute, Closed: 6}
	l.Fold(wire.UsageDelta{Host: "h", Incarnation: "i", Seq: 1 << 31, Window: 7, Figures: []wire.UsageFigure{sum("a", 1, 1<<40, 3), figure("b", 2, 0)}}, 9)
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
			t.Errorf("a ledger cut after %d bytes is read", cut)
		}
	}
}

// TestEveryTokenIsReportedOnce drives daemons that resend, a holder that loses its memory at any point and comes
// back with the last ledger written, and a platform that loses answers.
func TestEveryTokenIsReportedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem()
		t.Repeat(map[string]func(*rapid.T){
			"count": func(t *rapid.T) {
				s.count(rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.Uint64Range(1, 9).Draw(t, "tokens"))
			},
			"send":   func(t *rapid.T) { s.send(rapid.IntRange(0, 2).Draw(t, "daemon"), rapid.Bool().Draw(t, "answer lost")) },
			"write":  func(*rapid.T) { s.write() },
			"crash":  func(*rapid.T) { s.crash() },
			"pass":   func(*rapid.T) { s.window++ },
			"close":  func(t *rapid.T) { s.close(rapid.Uint64Range(0, 2).Draw(t, "grace")) },
			"report": func(t *rapid.T) { s.report(t, rapid.Bool().Draw(t, "answer lost")) },
			"":       func(t *rapid.T) { s.check(t) },
		})
		s.settle(t)
	})
}

// system is a model of the daemons, the holder and the platform around the real ledger.
type system struct {
	window  uint64
	daemons [3]daemon
	memory  usage.Ledger
	stored  []byte
	counted uint64
	reports map[uint64]wire.UsageReport
}

type daemon struct {
	pending []wire.UsageDelta
	seq     uint64
}

func newSystem() *system {
	return &system{window: 100, reports: map[uint64]wire.UsageReport{}}
}

func (s *system) count(i int, tokens uint64) {
	d := &s.daemons[i]
	d.seq++
	s.counted += tokens
	d.pending = append(d.pending, wire.UsageDelta{
		Host: fmt.Sprint(i), Incarnation: "i", Seq: d.seq, Window: s.window, Figures: []wire.UsageFigure{figure("a", tokens, 0)},
	})
}

// send folds a daemon's oldest delta; it is acknowledged only once it is written.
func (s *system) send(i int, lost bool) {
	d := &s.daemons[i]
	if len(d.pending) == 0 {
		return
	}
	s.memory.Fold(d.pending[0], s.window)
	if lost {
		return
	}
	s.write()
	d.pending = d.pending[1:]
}

func (s *system) write() { s.stored, _ = s.memory.Encode() }

func (s *system) crash() {
	l, _ := usage.Decode(s.stored)
	s.memory = *l
}

func (s *system) close(grace uint64) {
	if s.memory.Close(s.window-1-grace) > 0 {
		s.write()
	}
}

func (s *system) report(t *rapid.T, lost bool) {
	if len(s.memory.Frozen) == 0 {
		return
	}
	r := s.memory.Frozen[0]
	if seen, ok := s.reports[r.Window]; ok {
		if diff := cmp.Diff(seen, r); diff != "" {
			t.Fatalf("window %d is reported with different figures: %s", r.Window, diff)
		}
	}
	s.reports[r.Window] = r
	if !lost {
		s.memory.Confirm(r.ReportID)
	}
}

func (s *system) check(t *rapid.T) {
	if total := s.reported(); total > s.counted {
		t.Fatalf("%d tokens reported of %d counted", total, s.counted)
	}
}

func (s *system) reported() uint64 {
	var total uint64
	for _, r := range s.reports {
		for _, f := range r.Figures {
			total += f.PromptTokens
		}
	}
	return total
}

// settle lets everything arrive and close.
func (s *system) settle(t *rapid.T) {
	for i := range s.daemons {
		for len(s.daemons[i].pending) > 0 {
			s.send(i, false)
		}
	}
	s.window += 2
	s.close(0)
	for len(s.memory.Frozen) > 0 {
		s.report(t, false)
	}
	if total := s.reported(); total != s.counted {
		t.Fatalf("%d tokens reported of %d counted", total, s.counted)
	}
}

func figure(organisation string, tokens, late uint64) wire.UsageFigure {
	return sum(organisation, 1, tokens, late)
}

func sum(organisation string, requests, tokens, late uint64) wire.UsageFigure {
	return wire.UsageFigure{Organisation: organisation, Requests: requests, PromptTokens: tokens, LateTokens: late}
}
