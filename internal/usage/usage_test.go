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
	h := newHarness(t)
	h.runAnsweringReports(6 * time.Second)
	h.requestDone(7)
	h.runAnsweringReports(5 * time.Second)
	h.requestDone(20)
	h.runAnsweringReports(500 * time.Millisecond)
	if diff := cmp.Diff(map[string]uint64{"usage-99998": 0, "usage-99999": 0}, h.reportedTokens()); diff != "" {
		t.Errorf("within the grace period (-want +got):\n%s", diff)
	}
	h.runAnsweringReports(2 * time.Second)
	if diff := cmp.Diff(map[string]uint64{"usage-99998": 0, "usage-99999": 0, "usage-100000": 7}, h.reportedTokens()); diff != "" {
		t.Errorf("after the grace period (-want +got):\n%s", diff)
	}
}

func TestReportWaitsForTheLedger(t *testing.T) {
	h := newHarness(t)
	h.storeSilent = true
	h.run(13 * time.Second)
	if len(h.reports) > 0 {
		t.Fatalf("report %+v is sent before its figures are written", h.reports[0].Report)
	}
	h.storeSilent = false
	h.step(event.LedgerWritten{Duty: event.DutyUsage, Epoch: 1, Seq: uint64(h.writes)})
	h.run(time.Second)
	if len(h.reports) != 1 {
		t.Fatalf("%d reports sent once the ledger is written, want 1 in flight", len(h.reports))
	}
	if remaining := h.reports[0].Before - h.now; remaining > 3*time.Second {
		t.Errorf("the report may be sent for %v, longer than the lease lasts", remaining)
	}
}

func TestReportIsRepeatedAsItWas(t *testing.T) {
	h := newHarness(t)
	h.requestDone(5)
	h.run(12500 * time.Millisecond)
	for range 3 {
		h.answerReport(kinds.OutcomeUnknown)
		h.requestDone(3)
		h.run(4 * time.Second)
	}
	first := h.reports[0].Report
	for _, r := range h.reports {
		if diff := cmp.Diff(first, r.Report); r.Report.Window == first.Window && diff != "" {
			t.Error(diff)
		}
	}
	if len(h.reports) < 4 {
		t.Errorf("%d reports sent, want a retry after each lost answer", len(h.reports))
	}
}

func TestNothingIsReportedWithoutTheLease(t *testing.T) {
	h := newHarness(t)
	h.dutyHeld = false
	h.run(30 * time.Second)
	h.dutyHeld = true
	h.step(event.DutyLost{Duty: event.DutyUsage})
	h.run(30 * time.Second)
	if len(h.reports) > 0 || h.writes > 0 {
		t.Errorf("%d reports and %d writes without the lease, want none", len(h.reports), h.writes)
	}
}

func TestCountedTokens(t *testing.T) {
	sample := &event.SampleRef{Rollout: "r", Lot: 1}
	cases := map[string]struct {
		events []event.RequestDone
		want   uint64
		own    int64
	}{
		"whole answers":                    {events: []event.RequestDone{{HasUsage: true, PromptTokens: 3}, {HasUsage: true, PromptTokens: 4}}, want: 7},
		"no report":                        {events: []event.RequestDone{{PromptTokens: 3}}},
		"not delivered":                    {events: []event.RequestDone{{HasUsage: true, PromptTokens: 3, GeneratedTokens: 2, Kind: kinds.StreamCut}}, own: 5},
		"second answer of a hedged sample": {events: []event.RequestDone{{HasUsage: true, PromptTokens: 3, Sample: sample}, {HasUsage: true, PromptTokens: 4, Sample: sample}}, want: 3, own: 4},
		"other attempt":                    {events: []event.RequestDone{{HasUsage: true, PromptTokens: 3, Sample: sample}, {HasUsage: true, PromptTokens: 4, Sample: &event.SampleRef{Rollout: "r", Lot: 1, Attempt: 2}}}, want: 7},
		"negative count":                   {events: []event.RequestDone{{HasUsage: true, PromptTokens: -3}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for _, e := range c.events {
				h.step(e)
			}
			h.runAnsweringReports(13 * time.Second)
			if got := h.reportedTokens()["usage-100000"]; got != c.want {
				t.Errorf("%d tokens reported, want %d", got, c.want)
			}
			if got := h.counts["UsageOwnTokens"]; got != c.own {
				t.Errorf("%d own tokens, want %d", got, c.own)
			}
		})
	}
}

func TestCountsWaitForAHolder(t *testing.T) {
	h := newHarness(t)
	h.noHolder = true
	h.requestDone(5)
	h.runAnsweringReports(15 * time.Second)
	h.requestDone(6)
	h.noHolder = false
	h.runAnsweringReports(15 * time.Second)
	reported := h.reportedTokens()
	if reported["usage-100000"] != 0 || reported["usage-100001"] != 11 {
		t.Errorf("reports %v, want the late tokens in window 100001", reported)
	}
	if h.counts["UsageResent"] == 0 {
		t.Error("no delta is counted as resent")
	}
}

func TestLargeFleetSendsLessOften(t *testing.T) {
	cases := map[string]struct{ hosts, minDeltas, maxDeltas int }{
		"small": {hosts: 8, minDeltas: 9, maxDeltas: 10},
		"large": {hosts: 1400, minDeltas: 2, maxDeltas: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			site := config.Defaults()
			h.step(event.ConfigInForce{Site: site})
			h.step(event.HostsChanged{Hosts: make([]event.Host, c.hosts)})
			for range 100 {
				h.requestDone(1)
				h.run(100 * time.Millisecond)
			}
			if h.deltas < c.minDeltas || h.deltas > c.maxDeltas {
				t.Errorf("%d deltas in 10 s, want %d to %d", h.deltas, c.minDeltas, c.maxDeltas)
			}
		})
	}
}

func TestDrainFlushesOrReportsLoss(t *testing.T) {
	cases := map[string]struct {
		noHolder bool
		timeout  time.Duration
		lost     int64
	}{
		"holder answers": {timeout: 2500 * time.Millisecond},
		"no holder":      {noHolder: true, timeout: 6 * time.Second, lost: 9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.run(time.Second)
			h.noHolder = c.noHolder
			h.requestDone(4)
			h.step(event.StopAsked{})
			h.step(event.StopAsked{})
			h.run(10 * time.Second)
			h.requestDone(5)
			if h.drainsBegun != 1 || h.drainsEnded != 0 {
				t.Fatalf("%d drains begun, %d ended while requests run", h.drainsBegun, h.drainsEnded)
			}
			h.step(event.Drained{})
			h.run(c.timeout)
			if h.drainsEnded != 1 {
				t.Fatalf("%d drains ended within %v, want 1", h.drainsEnded, c.timeout)
			}
			if lost := h.counts["UsageLostTokens"]; lost != c.lost {
				t.Errorf("%d tokens counted as lost, want %d", lost, c.lost)
			}
		})
	}
}

func TestHolderRejectsInvalidDeltas(t *testing.T) {
	h := newHarness(t)
	for name, body := range map[string][]byte{"no msgpack": []byte("{"), "empty": nil, "of another host": {0x81, 0xa4, 'H', 'o', 's', 't', 0xa2, 'h', '9'}} {
		acks := h.acknowledged
		h.step(event.DutyAsked{From: "h1", ID: 77, Duty: event.DutyUsage, Call: "Delta", Body: body})
		h.run(3 * time.Second)
		if h.acknowledged != acks {
			t.Errorf("%s is acknowledged", name)
		}
	}
}

func TestEndedIncarnationsAreForgotten(t *testing.T) {
	h := newHarness(t)
	hosts := func(incarnation string) event.HostsChanged {
		return event.HostsChanged{Hosts: []event.Host{{Name: "h1", Incarnation: incarnation}}}
	}
	h.step(hosts("i1"))
	h.requestDone(1)
	h.runAnsweringReports(5 * time.Second)
	streams := func() int {
		l, err := usage.Decode(h.ledger)
		if err != nil {
			t.Fatal(err)
		}
		return len(l.Streams)
	}
	h.now += 48 * time.Hour
	h.step(event.WallClock{Unix: epoch + time.Minute}) // so that the skipped time has no windows to close
	h.runAnsweringReports(2 * time.Minute)
	if streams() != 1 {
		t.Fatal("the stream of a live incarnation is dropped")
	}
	h.requestDone(1)
	h.runAnsweringReports(5 * time.Second)
	h.step(hosts("i2"))
	h.runAnsweringReports(5 * time.Minute)
	if streams() != 1 {
		t.Fatal("the stream of a replaced incarnation is dropped too early")
	}
	h.runAnsweringReports(7 * time.Minute)
	if streams() != 0 {
		t.Error("the stream of a replaced incarnation is not dropped")
	}
}

func TestLostPlatformIsLogged(t *testing.T) {
	h := newHarness(t)
	h.run(12500 * time.Millisecond)
	h.answerReport(kinds.OutcomeUnknown)
	h.run(4 * time.Second)
	h.answerReport("")
	var got []string
	for _, name := range h.logs {
		if name == "UsageReportFailed" || name == "UsageReportTaken" {
			got = append(got, name)
		}
	}
	if diff := cmp.Diff([]string{"UsageReportFailed", "UsageReportTaken"}, got); diff != "" {
		t.Errorf("log events (-want +got):\n%s", diff)
	}
}
