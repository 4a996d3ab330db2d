package proofs

import (
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/lease"
	"github.com/figshift/figshift/internal/usage"
	"github.com/figshift/figshift/internal/wire"
)

func TestUsageIsReportedInFull(t *testing.T) {
	t.Parallel()
	m := newMeter(t, 3)
	for range 4 {
		for _, h := range m.Hosts {
			m.spend(h, 2)
		}
		time.Sleep(usageWindow / 2)
	}
	m.waitReported()
}

func TestUsageAnswersLost(t *testing.T) {
	t.Parallel()
	m := newMeter(t, 2)
	m.SetFaults(wire.Faults{LoseAnswers: 4, LosePrefix: "usage"})
	m.spend(m.Hosts[0], 3)
	m.waitReported()
	proc.WaitUntil(t, usageBound, "a window is reported again", func() bool {
		return repeats(m.Calls().Reports) >= 4
	})
	m.reported()
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
	m := newMeter(t, 3)
	holder := m.waitHolder("")
	// The holder learns late that a write of its ledger has taken effect, so that the window to kill it in is long.
	m.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + usageDuty})
	m.spend(m.other(holder), 4)
	var window uint64
	proc.WaitUntil(t, usageBound, "a window with figures is frozen and not reported", func() bool {
		window = unreported(m.ledger().Frozen, m.Calls().Reports)
		return window > 0
	})
	holder.Kill()
	if told(m.Calls().Reports, window) {
		t.Fatalf("window %d was reported before the kill", window)
	}
	m.SetFaults(wire.Faults{})
	m.waitHolder(holder.Name)
	m.waitReported()
}

func unreported(frozen, reports []wire.UsageReport) uint64 {
	for _, f := range frozen {
		if len(f.Figures) > 0 && !told(reports, f.Window) {
			return f.Window
		}
	}
	return 0
}

func told(reports []wire.UsageReport, window uint64) bool {
	for _, r := range reports {
		if r.Window == window {
			return true
		}
	}
	return false
}

// TestUsageHolderKilledAfterReport kills the holder when a report has taken effect and its answer is lost.
func TestUsageHolderKilledAfterReport(t *testing.T) {
	t.Parallel()
	m := newMeter(t, 3)
	holder := m.waitHolder("")
	m.spend(m.other(holder), 4)
	proc.WaitUntil(t, usageBound, "the counts are in the ledger and no report is under way", func() bool {
		return m.inLedger() == m.counted && len(m.ledger().Frozen) == 0
	})
	m.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: "usage"})
	proc.WaitUntil(t, usageBound, "the figures are reported", func() bool { return m.reported() == m.counted })
	record, _ := dutyRecord(m.Cluster, usageDuty)
	holder.Kill()
	m.SetFaults(wire.Faults{})
	m.waitHolder(holder.Name)
	proc.WaitUntil(t, usageBound, "the next holder repeats them", func() bool { return repeatedBy(m.Calls().Reports, record.Epoch+1) })
	m.waitReported()
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
	m := newMeter(t, 3)
	holder := m.waitHolder("")
	sender := m.other(holder)
	window, end := m.spendInOutage(sender)
	sleepUntil(end.Add(usageGrace + 600*time.Millisecond))
	if told(m.Calls().Reports, window) {
		t.Errorf("window %d was reported during the outage", window)
	}
	holder.Kill()
	m.SetFaults(wire.Faults{})
	m.waitHolder(holder.Name)
	m.waitReported()
}

// spendInOutage takes the store down shortly before a window's end and counts within the window. A machine that is
// too busy for that gets another window.
func (m *meter) spendInOutage(sender *proc.Host) (window uint64, end time.Time) {
	m.t.Helper()
	for range 5 {
		window = untilShortlyBefore(usageWindow - 400*time.Millisecond)
		end = time.Unix(0, int64(window+1)*int64(usageWindow))
		m.SetFaults(wire.Faults{Outage: true})
		m.spend(sender, 4)
		if time.Now().Before(end) {
			return window, end
		}
		m.SetFaults(wire.Faults{})
	}
	m.t.Fatal("four requests take longer than the end of a window")
	return 0, end
}

// untilShortlyBefore waits until so much of the present window has passed and returns its number.
func untilShortlyBefore(passed time.Duration) uint64 {
	now := time.Duration(time.Now().UnixNano())
	number := usage.WindowAt(now, usageWindow)
	if now%usageWindow >= passed {
		number++
	}
	sleepUntil(time.Unix(0, int64(number)*int64(usageWindow)+int64(passed)))
	return number
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// TestUsageDuplicateDeltas kills the holder when a delta is in its ledger and its answer has not gone out, so that the
// daemon sends it again to the next holder.
func TestUsageDuplicateDeltas(t *testing.T) {
	t.Parallel()
	m := newMeter(t, 3)
	holder := m.waitHolder("")
	sender := m.other(holder)
	status, _ := sender.Status()
	stream := usage.StreamOf(sender.Name, status.Incarnation)
	m.spend(sender, 2)
	proc.WaitUntil(t, usageBound, "the first delta is in the ledger", func() bool { return m.ledger().Streams[stream] > 0 })
	m.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + usageDuty})
	before := m.ledger().Streams[stream]
	m.spend(sender, 2)
	proc.WaitUntil(t, usageBound, "the next delta is in the ledger", func() bool { return m.ledger().Streams[stream] > before })
	holder.Kill()
	m.SetFaults(wire.Faults{})
	next := m.waitHolder(holder.Name)
	m.spend(sender, 1) // sent after the repeated delta, so reported no earlier
	m.waitReported()
	proc.WaitUntil(t, usageBound, "a delta has come twice", func() bool { return metric(t, next, "UsageDuplicates") > 0 })
}

// TestUsageCountingDaemonKilled kills a daemon that has counted. What it had sent is reported in full, what it had
// not sent is lost, and nothing is reported twice.
func TestUsageCountingDaemonKilled(t *testing.T) {
	t.Parallel()
	m := newMeter(t, 3)
	holder := m.waitHolder("")
	sender := m.other(holder)
	status, _ := sender.Status()
	stream := usage.StreamOf(sender.Name, status.Incarnation)
	m.spend(sender, 3)
	proc.WaitUntil(t, usageBound, "the delta is in the ledger", func() bool { return m.inLedger() >= m.counted })
	m.spend(sender, 1)
	sender.Kill()
	m.spend(holder, 2)
	safe := m.counted - m.perRequest() // the killed daemon may not have sent its last request's count
	proc.WaitUntil(t, usageBound, "what was sent is reported", func() bool { return m.reported() >= safe })
	sender.Run()
	proc.WaitUntil(t, usageBound, sender.Name+" is ready", sender.Ready)
	m.spend(sender, 2)
	safe += 2 * m.perRequest()
	proc.WaitUntil(t, usageBound, "the restarted daemon's counts are reported", func() bool { return m.reported() >= safe })
	if total := m.reported(); total > m.counted {
		t.Errorf("%d tokens reported of only %d counted", total, m.counted)
	}
	if m.ledger().Streams[stream] == 0 {
		t.Error("the killed daemon's sequence number is forgotten at once")
	}
}

// TestUsageFrozenHolderSendsNothing stops the holder's process past its lease and wakes it when another has reported.
func TestUsageFrozenHolderSendsNothing(t *testing.T) {
	t.Parallel()
	for _, step := range []struct {
		name   string
		faults wire.Faults
		at     func(m *meter) bool
	}{
		{name: "BetweenWindows", at: func(m *meter) bool { return len(m.ledger().Frozen) == 0 }},
		{
			name:   "FigureWritten",
			faults: wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + usageDuty},
			at:     func(m *meter) bool { return unreported(m.ledger().Frozen, m.Calls().Reports) > 0 },
		},
		{
			name:   "ReportSent",
			faults: wire.Faults{LoseAnswers: 1000, LosePrefix: "usage"},
			at:     func(m *meter) bool { return repeats(m.Calls().Reports) > 0 },
		},
	} {
		t.Run(step.name, func(t *testing.T) {
			m := newMeter(t, 3)
			holder := m.waitHolder("")
			record, _ := dutyRecord(m.Cluster, usageDuty)
			m.SetFaults(step.faults)
			m.spend(m.other(holder), 3)
			proc.WaitUntil(t, usageBound, step.name, func() bool { return step.at(m) })
			holder.Signal(syscall.SIGSTOP)
			m.SetFaults(wire.Faults{})
			proc.WaitUntil(t, usageBound, "another holder reports", func() bool {
				return lastEpoch(m.Calls().Reports) > record.Epoch
			})
			holder.Signal(syscall.SIGCONT)
			proc.WaitUntil(t, usageBound, "the woken daemon is ready", holder.Ready)
			m.spend(m.other(holder), 1)
			m.waitReported()
		})
	}
}

func lastEpoch(reports []wire.UsageReport) uint64 {
	if len(reports) == 0 {
		return 0
	}
	return reports[len(reports)-1].Epoch
}
