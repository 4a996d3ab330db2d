package usage_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/usage"
)

func TestWindowIsReportedAfterItsGrace(t *testing.T) {
	w := newWorld(t)
	w.answerAll(6 * time.Second)
	w.done(7)
	w.answerAll(5 * time.Second)
	w.done(20)
	w.answerAll(500 * time.Millisecond)
	if diff := cmp.Diff(map[string]uint64{"usage-99998": 0, "usage-99999": 0}, w.ids()); diff != "" {
		t.Errorf("within the grace: %s", diff)
	}
	w.answerAll(2 * time.Second)
	if diff := cmp.Diff(map[string]uint64{"usage-99998": 0, "usage-99999": 0, "usage-100000": 7}, w.ids()); diff != "" {
		t.Errorf("after the grace: %s", diff)
	}
}

func TestReportWaitsForTheLedger(t *testing.T) {
	w := newWorld(t)
	w.mute = true
	w.run(13 * time.Second)
	if len(w.reports) > 0 {
		t.Fatalf("report %+v before its figure is written", w.reports[0].Report)
	}
	w.mute = false
	w.step(event.LedgerWritten{Duty: event.DutyUsage, Epoch: 1, Seq: uint64(w.writes)})
	w.run(time.Second)
	if len(w.reports) != 1 {
		t.Fatalf("%d reports once it is written, want 1 under way", len(w.reports))
	}
	if late := w.reports[0].Before - w.now; late > 3*time.Second {
		t.Errorf("the report may be sent for %v, beyond the lease", late)
	}
}

func TestReportIsRepeatedAsItWas(t *testing.T) {
	w := newWorld(t)
	w.done(5)
	w.run(12500 * time.Millisecond)
	for range 3 {
		w.answer(kinds.OutcomeUnknown)
		w.done(3)
		w.run(4 * time.Second)
	}
	first := w.reports[0].Report
	for _, r := range w.reports {
		if diff := cmp.Diff(first, r.Report); r.Report.Window == first.Window && diff != "" {
			t.Error(diff)
		}
	}
	if len(w.reports) < 4 {
		t.Errorf("%d reports, want a repetition after each lost answer", len(w.reports))
	}
}

func TestNothingIsReportedWithoutTheLease(t *testing.T) {
	w := newWorld(t)
	w.held = false
	w.run(30 * time.Second)
	w.held = true
	w.step(event.DutyLost{Duty: event.DutyUsage})
	w.run(30 * time.Second)
	if len(w.reports) > 0 || w.writes > 0 {
		t.Errorf("%d reports and %d writes", len(w.reports), w.writes)
	}
}

func TestWhatIsCounted(t *testing.T) {
	sample := &event.SampleRef{Rollout: "r", Lot: 1}
	cases := map[string]struct {
		events []event.RequestDone
		want   uint64
		own    int64
	}{
		"whole answers":      {events: []event.RequestDone{{HasUsage: true, PromptTokens: 3}, {HasUsage: true, PromptTokens: 4}}, want: 7},
		"no report":          {events: []event.RequestDone{{PromptTokens: 3}}},
		"not delivered":      {events: []event.RequestDone{{HasUsage: true, PromptTokens: 3, GeneratedTokens: 2, Kind: kinds.StreamCut}}, own: 5},
		"hedge's loser":      {events: []event.RequestDone{{HasUsage: true, PromptTokens: 3, Sample: sample}, {HasUsage: true, PromptTokens: 4, Sample: sample}}, want: 3, own: 4},
		"other try":          {events: []event.RequestDone{{HasUsage: true, PromptTokens: 3, Sample: sample}, {HasUsage: true, PromptTokens: 4, Sample: &event.SampleRef{Rollout: "r", Lot: 1, Attempt: 2}}}, want: 7},
		"nonsense of engine": {events: []event.RequestDone{{HasUsage: true, PromptTokens: -3}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			for _, e := range c.events {
				w.step(e)
			}
			w.answerAll(13 * time.Second)
			if got := w.ids()["usage-100000"]; got != c.want {
				t.Errorf("%d tokens reported, want %d", got, c.want)
			}
			if got := w.counts["UsageOwnTokens"]; got != c.own {
				t.Errorf("%d own tokens, want %d", got, c.own)
			}
		})
	}
}

func TestCountsWaitForAHolder(t *testing.T) {
	w := newWorld(t)
	w.nobody = true
	w.done(5)
	w.answerAll(15 * time.Second)
	w.done(6)
	w.nobody = false
	w.answerAll(15 * time.Second)
	ids := w.ids()
	if ids["usage-100000"] != 0 || ids["usage-100001"] != 11 {
		t.Errorf("reports %v, want the late tokens in window 100001", ids)
	}
	if w.counts["UsageResent"] == 0 {
		t.Error("no send is counted as repeated")
	}
}

func TestLargeFleetSendsLessOften(t *testing.T) {
	cases := map[string]struct{ hosts, least, most int }{
		"small": {hosts: 8, least: 9, most: 10},
		"large": {hosts: 1400, least: 2, most: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			site := config.Defaults()
			w.step(event.ConfigInForce{Site: site})
			w.step(event.HostsChanged{Hosts: make([]event.Host, c.hosts)})
			for range 100 {
				w.done(1)
				w.run(100 * time.Millisecond)
			}
			if w.asks < c.least || w.asks > c.most {
				t.Errorf("%d deltas in 10 s, want %d to %d", w.asks, c.least, c.most)
			}
		})
	}
}

func TestDrainFlushesOrTellsTheLoss(t *testing.T) {
	cases := map[string]struct {
		nobody bool
		within time.Duration
		lost   int64
	}{
		"holder answers": {within: 2500 * time.Millisecond},
		"no holder":      {nobody: true, within: 6 * time.Second, lost: 9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.run(time.Second)
			w.nobody = c.nobody
			w.done(4)
			w.step(event.StopAsked{})
			w.step(event.StopAsked{})
			w.run(10 * time.Second)
			w.done(5)
			if w.begun != 1 || w.ended != 0 {
				t.Fatalf("%d drains begun, %d ended while requests run", w.begun, w.ended)
			}
			w.step(event.Drained{})
			w.run(c.within)
			if w.ended != 1 {
				t.Fatalf("%d drains ended within %v", w.ended, c.within)
			}
			if lost := w.counts["UsageLostTokens"]; lost != c.lost {
				t.Errorf("%d tokens lost, want %d", lost, c.lost)
			}
		})
	}
}

func TestHolderRefusesNonsense(t *testing.T) {
	w := newWorld(t)
	for name, body := range map[string][]byte{"no msgpack": []byte("{"), "empty": nil, "of another host": {0x81, 0xa4, 'H', 'o', 's', 't', 0xa2, 'h', '9'}} {
		acks := w.acks
		w.step(event.DutyAsked{From: "h1", ID: 77, Duty: event.DutyUsage, Call: "Delta", Body: body})
		w.run(3 * time.Second)
		if w.acks != acks {
			t.Errorf("%s is acknowledged", name)
		}
	}
}

func TestEndedIncarnationsAreForgotten(t *testing.T) {
	w := newWorld(t)
	hosts := func(incarnation string) event.HostsChanged {
		return event.HostsChanged{Hosts: []event.Host{{Name: "h1", Incarnation: incarnation}}}
	}
	w.step(hosts("i1"))
	w.done(1)
	w.answerAll(5 * time.Second)
	streams := func() int {
		l, err := usage.Decode(w.ledger)
		if err != nil {
			t.Fatal(err)
		}
		return len(l.Streams)
	}
	w.now += 48 * time.Hour
	w.step(event.WallClock{Unix: epoch + time.Minute}) // no windows to close for the time that is skipped
	w.answerAll(2 * time.Minute)
	if streams() != 1 {
		t.Fatal("a live incarnation is forgotten")
	}
	w.done(1)
	w.answerAll(5 * time.Second)
	w.step(hosts("i2"))
	w.answerAll(5 * time.Minute)
	if streams() != 1 {
		t.Fatal("a replaced incarnation is forgotten too early")
	}
	w.answerAll(7 * time.Minute)
	if streams() != 0 {
		t.Error("a replaced incarnation is kept")
	}
}

func TestLostPlatformIsLogged(t *testing.T) {
	w := newWorld(t)
	w.run(12500 * time.Millisecond)
	w.answer(kinds.OutcomeUnknown)
	w.run(4 * time.Second)
	w.answer("")
	var got []string
	for _, name := range w.logs {
		if name == "UsageReportFailed" || name == "UsageReportTaken" {
			got = append(got, name)
		}
	}
	if diff := cmp.Diff([]string{"UsageReportFailed", "UsageReportTaken"}, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
