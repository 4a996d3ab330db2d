package proofs

import (
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/drill"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/lease"
	"github.com/figshift/figshift/internal/usage"
	"github.com/figshift/figshift/internal/wire"
)

func TestUsageIsReportedInFull(t *testing.T) {
	t.Parallel()
	m := drill.NewMeter(t, 3)
	for range 4 {
		for _, h := range m.Hosts {
			m.Spend(h, 2)
		}
		time.Sleep(drill.Window / 2)
	}
	m.WaitReported()
}

func TestUsageAnswersLost(t *testing.T) {
	t.Parallel()
	m := drill.NewMeter(t, 2)
	m.SetFaults(wire.Faults{LoseAnswers: 4, LosePrefix: "usage"})
	m.Spend(m.Hosts[0], 3)
	m.WaitReported()
	proc.WaitUntil(t, drill.UsageBound, "a window is reported again", func() bool {
		return repeats(m.Calls().Reports) >= 4
	})
	m.Reported()
}

func repeats(reports []wire.UsageReport) int {
	windows := map[uint64]bool{}
	for _, r := range reports {
		windows[r.Window] = true
	}
	return len(reports) - len(windows)
}

// TestUsageHolderKilledBeforeReport kills the holder when its ledger holds a frozen window that no report has told.
func TestUsageHolderKilledBeforeReport(t *testing.T) {
	t.Parallel()
	m := drill.NewMeter(t, 3)
	holder := m.WaitHolder("")
	// The holder learns late that a write of its ledger has taken effect, so that the window to kill it in is long.
	m.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + drill.UsageDuty})
	m.Spend(m.Other(holder), 4)
	var window uint64
	proc.WaitUntil(t, drill.UsageBound, "a window with figures is frozen and not reported", func() bool {
		window = unreported(m.Ledger().Frozen, m.Calls().Reports)
		return window > 0
	})
	holder.Kill()
	if drill.Told(m.Calls().Reports, window) {
		t.Fatalf("window %d was reported before the kill", window)
	}
	m.SetFaults(wire.Faults{})
	m.WaitHolder(holder.Name)
	m.WaitReported()
}

func unreported(frozen, reports []wire.UsageReport) uint64 {
	for _, f := range frozen {
		if len(f.Figures) > 0 && !drill.Told(reports, f.Window) {
			return f.Window
		}
	}
	return 0
}

// TestUsageHolderKilledAfterReport kills the holder when a report has taken effect and its answer is lost.
func TestUsageHolderKilledAfterReport(t *testing.T) {
	t.Parallel()
	m := drill.NewMeter(t, 3)
	holder := m.WaitHolder("")
	m.Spend(m.Other(holder), 4)
	proc.WaitUntil(t, drill.UsageBound, "the counts are in the ledger and no report is under way", func() bool {
		return m.InLedger() == m.Counted && len(m.Ledger().Frozen) == 0
	})
	m.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: "usage"})
	proc.WaitUntil(t, drill.UsageBound, "the figures are reported", func() bool { return m.Reported() == m.Counted })
	record, _ := drill.DutyRecord(m.Cluster, drill.UsageDuty)
	holder.Kill()
	m.SetFaults(wire.Faults{})
	m.WaitHolder(holder.Name)
	proc.WaitUntil(t, drill.UsageBound, "the next holder repeats them", func() bool { return repeatedBy(m.Calls().Reports, record.Epoch+1) })
	m.WaitReported()
}

// repeatedBy reports whether a window with figures was reported before an epoch and again in it.
func repeatedBy(reports []wire.UsageReport, epoch uint64) bool {
	before := map[uint64]bool{}
	for _, r := range reports {
		if r.Epoch < epoch {
			before[r.Window] = before[r.Window] || len(r.Figures) > 0
			continue
		}
		if before[r.Window] {
			return true
		}
	}
	return false
}

// TestUsageNothingReportedBeforeItIsStored counts and closes a window while the store is down and kills the holder.
// A report that went out before its figure was stored would be followed by another figure: the counts come again, late.
func TestUsageNothingReportedBeforeItIsStored(t *testing.T) {
	t.Parallel()
	m := drill.NewMeter(t, 3)
	holder := m.WaitHolder("")
	sender := m.Other(holder)
	window, end := spendInOutage(m, sender)
	sleepUntil(end.Add(drill.Grace + 600*time.Millisecond))
	if drill.Told(m.Calls().Reports, window) {
		t.Errorf("window %d was reported during the outage", window)
	}
	holder.Kill()
	m.SetFaults(wire.Faults{})
	m.WaitHolder(holder.Name)
	m.WaitReported()
}

// spendInOutage takes the store down shortly before a window's end and counts within the window. A machine that is
// too busy for that gets another window.
func spendInOutage(m *drill.Meter, sender *proc.Host) (window uint64, end time.Time) {
	m.T.Helper()
	for range 5 {
		window = untilShortlyBefore(drill.Window - 400*time.Millisecond)
		end = time.Unix(0, int64(window+1)*int64(drill.Window))
		m.SetFaults(wire.Faults{Outage: true})
		m.Spend(sender, 4)
		if time.Now().Before(end) {
			return window, end
		}
		m.SetFaults(wire.Faults{})
	}
	m.T.Fatal("four requests take longer than the end of a window")
	return 0, end
}

// untilShortlyBefore waits until so much of the present window has passed and returns its number.
func untilShortlyBefore(passed time.Duration) uint64 {
	now := time.Duration(time.Now().UnixNano())
	number := usage.WindowAt(now, drill.Window)
	if now%drill.Window >= passed {
		number++
	}
	sleepUntil(time.Unix(0, int64(number)*int64(drill.Window)+int64(passed)))
	return number
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// TestUsageDuplicateDeltas kills the holder when a delta is in its ledger and its answer has not gone out, so that the
// daemon sends it again to the next holder.
func TestUsageDuplicateDeltas(t *testing.T) {
	t.Parallel()
	m := drill.NewMeter(t, 3)
	holder := m.WaitHolder("")
	sender := m.Other(holder)
	status, _ := sender.Status()
	stream := usage.StreamOf(sender.Name, status.Incarnation)
	m.Spend(sender, 2)
	proc.WaitUntil(t, drill.UsageBound, "the first delta is in the ledger", func() bool { return m.Ledger().Streams[stream] > 0 })
	m.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + drill.UsageDuty})
	before := m.Ledger().Streams[stream]
	m.Spend(sender, 2)
	proc.WaitUntil(t, drill.UsageBound, "the next delta is in the ledger", func() bool { return m.Ledger().Streams[stream] > before })
	holder.Kill()
	m.SetFaults(wire.Faults{})
	next := m.WaitHolder(holder.Name)
	m.Spend(sender, 1) // sent after the repeated delta, so reported no earlier
	m.WaitReported()
	proc.WaitUntil(t, drill.UsageBound, "a delta has come twice", func() bool { return drill.Metric(t, next, "UsageDuplicates") > 0 })
}

// TestUsageCountingDaemonKilled kills a daemon that has counted. What it had sent is reported in full, what it had
// not sent is lost, and nothing is reported twice.
func TestUsageCountingDaemonKilled(t *testing.T) {
	t.Parallel()
	m := drill.NewMeter(t, 3)
	holder := m.WaitHolder("")
	sender := m.Other(holder)
	status, _ := sender.Status()
	stream := usage.StreamOf(sender.Name, status.Incarnation)
	m.Spend(sender, 3)
	proc.WaitUntil(t, drill.UsageBound, "the delta is in the ledger", func() bool { return m.InLedger() >= m.Counted })
	m.Spend(sender, 1)
	sender.Kill()
	m.Spend(holder, 2)
	safe := m.Counted - m.PerRequest() // the killed daemon may not have sent its last request's count
	proc.WaitUntil(t, drill.UsageBound, "what was sent is reported", func() bool { return m.Reported() >= safe })
	sender.Run()
	proc.WaitUntil(t, drill.UsageBound, sender.Name+" is ready", sender.Ready)
	m.Spend(sender, 2)
	safe += 2 * m.PerRequest()
	proc.WaitUntil(t, drill.UsageBound, "the restarted daemon's counts are reported", func() bool { return m.Reported() >= safe })
	if total := m.Reported(); total > m.Counted {
		t.Errorf("%d tokens reported of only %d counted", total, m.Counted)
	}
	if m.Ledger().Streams[stream] == 0 {
		t.Error("the killed daemon's sequence number is forgotten at once")
	}
}

// TestUsageFrozenHolderSendsNothing stops the holder's process past its lease and wakes it when another has reported.
func TestUsageFrozenHolderSendsNothing(t *testing.T) {
	t.Parallel()
	for _, step := range []struct {
		name   string
		faults wire.Faults
		at     func(m *drill.Meter) bool
	}{
		{name: "BetweenWindows", at: func(m *drill.Meter) bool { return len(m.Ledger().Frozen) == 0 }},
		{
			name:   "FigureWritten",
			faults: wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + drill.UsageDuty},
			at:     func(m *drill.Meter) bool { return unreported(m.Ledger().Frozen, m.Calls().Reports) > 0 },
		},
		{
			name:   "ReportSent",
			faults: wire.Faults{LoseAnswers: 1000, LosePrefix: "usage"},
			at:     func(m *drill.Meter) bool { return repeats(m.Calls().Reports) > 0 },
		},
	} {
		t.Run(step.name, func(t *testing.T) {
			m := drill.NewMeter(t, 3)
			holder := m.WaitHolder("")
			record, _ := drill.DutyRecord(m.Cluster, drill.UsageDuty)
			m.SetFaults(step.faults)
			m.Spend(m.Other(holder), 3)
			proc.WaitUntil(t, drill.UsageBound, step.name, func() bool { return step.at(m) })
			holder.Signal(syscall.SIGSTOP)
			m.SetFaults(wire.Faults{})
			proc.WaitUntil(t, drill.UsageBound, "another holder reports", func() bool {
				return lastEpoch(m.Calls().Reports) > record.Epoch
			})
			holder.Signal(syscall.SIGCONT)
			proc.WaitUntil(t, drill.UsageBound, "the woken daemon is ready", holder.Ready)
			m.Spend(m.Other(holder), 1)
			m.WaitReported()
		})
	}
}

func lastEpoch(reports []wire.UsageReport) uint64 {
	if len(reports) == 0 {
		return 0
	}
	return reports[len(reports)-1].Epoch
}
