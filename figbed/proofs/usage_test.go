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

// All daemons serve requests over two windows. The reports must add up to exactly the tokens that were counted.
func TestUsageIsReportedInFull(t *testing.T) {
	t.Parallel()
	u := drill.NewUsageCluster(t, 3)
	for range 4 {
		for _, h := range u.Hosts {
			u.SendRequests(h, 2)
		}
		time.Sleep(drill.Window / 2)
	}
	u.WaitReported()
}

// The platform's responses to usage reports are lost after they took effect. The holder must report the windows again,
// with the same figures.
func TestUsageAnswersLost(t *testing.T) {
	t.Parallel()
	u := drill.NewUsageCluster(t, 2)
	u.SetFaults(wire.Faults{LoseAnswers: 4, LosePrefix: "usage"})
	u.SendRequests(u.Hosts[0], 3)
	u.WaitReported()
	proc.WaitUntil(t, drill.UsageTimeout, "a window is reported again", func() bool {
		return repeatedReports(u.Calls().Reports) >= 4
	})
	u.ReportedTokens()
}

func repeatedReports(reports []wire.UsageReport) int {
	windows := map[uint64]bool{}
	for _, r := range reports {
		windows[r.Window] = true
	}
	return len(reports) - len(windows)
}

// The holder is killed when its ledger holds a frozen window with figures that is not reported yet. Its successor must
// report that window.
func TestUsageHolderKilledBeforeReport(t *testing.T) {
	t.Parallel()
	u := drill.NewUsageCluster(t, 3)
	holder := u.WaitHolder("")
	// The lost responses delay the holder between writing its ledger and reporting, which leaves time to kill it in between.
	u.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + drill.UsageDuty})
	u.SendRequests(u.OtherHost(holder), 4)
	var window uint64
	proc.WaitUntil(t, drill.UsageTimeout, "a window with figures is frozen and not reported", func() bool {
		window = firstUnreported(u.Ledger().Frozen, u.Calls().Reports)
		return window > 0
	})
	holder.Kill()
	if drill.IsReported(u.Calls().Reports, window) {
		t.Fatalf("window %d was reported before the kill", window)
	}
	u.SetFaults(wire.Faults{})
	u.WaitHolder(holder.Name)
	u.WaitReported()
}

func firstUnreported(frozen, reports []wire.UsageReport) uint64 {
	for _, f := range frozen {
		if len(f.Figures) > 0 && !drill.IsReported(reports, f.Window) {
			return f.Window
		}
	}
	return 0
}

// The holder is killed when a report has taken effect and its response is lost. Its successor must repeat the report
// with the same figures, so that nothing is counted twice.
func TestUsageHolderKilledAfterReport(t *testing.T) {
	t.Parallel()
	u := drill.NewUsageCluster(t, 3)
	holder := u.WaitHolder("")
	u.SendRequests(u.OtherHost(holder), 4)
	proc.WaitUntil(t, drill.UsageTimeout, "the counts are in the ledger and no report is under way", func() bool {
		return u.RecordedTokens() == u.Counted && len(u.Ledger().Frozen) == 0
	})
	u.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: "usage"})
	proc.WaitUntil(t, drill.UsageTimeout, "the figures are reported", func() bool { return u.ReportedTokens() == u.Counted })
	record, _ := drill.DutyRecord(u.Cluster, drill.UsageDuty)
	holder.Kill()
	u.SetFaults(wire.Faults{})
	u.WaitHolder(holder.Name)
	proc.WaitUntil(t, drill.UsageTimeout, "the next holder repeats them", func() bool { return repeatedInEpoch(u.Calls().Reports, record.Epoch+1) })
	u.WaitReported()
}

// repeatedInEpoch reports whether a window with figures was reported before an epoch, and again in it or later.
func repeatedInEpoch(reports []wire.UsageReport, epoch uint64) bool {
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

// A window ends while the store is down, and the holder is killed. The window must not be reported before its figures
// are stored: the successor would get the counts again, late, and report other figures for it.
func TestUsageNothingReportedBeforeItIsStored(t *testing.T) {
	t.Parallel()
	u := drill.NewUsageCluster(t, 3)
	holder := u.WaitHolder("")
	sender := u.OtherHost(holder)
	window, end := sendDuringOutage(u, sender)
	sleepUntil(end.Add(drill.Grace + 600*time.Millisecond))
	if drill.IsReported(u.Calls().Reports, window) {
		t.Errorf("window %d was reported during the outage", window)
	}
	holder.Kill()
	u.SetFaults(wire.Faults{})
	u.WaitHolder(holder.Name)
	u.WaitReported()
}

// sendDuringOutage takes the store down shortly before the end of a window and sends requests within the window. When
// the machine is too slow for that, it tries up to 5 windows.
func sendDuringOutage(u *drill.UsageCluster, sender *proc.Host) (window uint64, end time.Time) {
	u.T.Helper()
	for range 5 {
		window = sleepIntoWindow(drill.Window - 400*time.Millisecond)
		end = time.Unix(0, int64(window+1)*int64(drill.Window))
		u.SetFaults(wire.Faults{Outage: true})
		u.SendRequests(sender, 4)
		if time.Now().Before(end) {
			return window, end
		}
		u.SetFaults(wire.Faults{})
	}
	u.T.Fatal("in five attempts, four requests were not served in the last 400 ms of a window")
	return 0, end
}

// sleepIntoWindow sleeps until the given part of the current window has passed, or of the next one when it has passed
// already, and returns the window's number.
func sleepIntoWindow(passed time.Duration) uint64 {
	now := time.Duration(time.Now().UnixNano())
	number := usage.WindowAt(now, drill.Window)
	if now%drill.Window >= passed {
		number++
	}
	sleepUntil(time.Unix(0, int64(number)*int64(drill.Window)+int64(passed)))
	return number
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// The holder is killed when a delta is in its ledger and not acknowledged, so that the sender repeats it to the next
// holder. The delta must be counted once.
func TestUsageDuplicateDeltas(t *testing.T) {
	t.Parallel()
	u := drill.NewUsageCluster(t, 3)
	holder := u.WaitHolder("")
	sender := u.OtherHost(holder)
	status, _ := sender.Status()
	stream := usage.StreamOf(sender.Name, status.Incarnation)
	u.SendRequests(sender, 2)
	proc.WaitUntil(t, drill.UsageTimeout, "the first delta is in the ledger", func() bool { return u.Ledger().Streams[stream] > 0 })
	u.SetFaults(wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + drill.UsageDuty})
	before := u.Ledger().Streams[stream]
	u.SendRequests(sender, 2)
	proc.WaitUntil(t, drill.UsageTimeout, "the next delta is in the ledger", func() bool { return u.Ledger().Streams[stream] > before })
	holder.Kill()
	u.SetFaults(wire.Faults{})
	next := u.WaitHolder(holder.Name)
	u.SendRequests(sender, 1) // sent after the repeated delta, so that WaitReported covers that one too
	u.WaitReported()
	proc.WaitUntil(t, drill.UsageTimeout, "the next holder has discarded a duplicate delta", func() bool { return drill.Metric(t, next, "UsageDuplicates") > 0 })
}

// A daemon with usage counts is killed. What it had sent must be reported in full, what it had not sent is lost, and
// nothing may be reported twice.
func TestUsageCountingDaemonKilled(t *testing.T) {
	t.Parallel()
	u := drill.NewUsageCluster(t, 3)
	holder := u.WaitHolder("")
	sender := u.OtherHost(holder)
	status, _ := sender.Status()
	stream := usage.StreamOf(sender.Name, status.Incarnation)
	u.SendRequests(sender, 3)
	proc.WaitUntil(t, drill.UsageTimeout, "the delta is in the ledger", func() bool { return u.RecordedTokens() >= u.Counted })
	u.SendRequests(sender, 1)
	sender.Kill()
	u.SendRequests(holder, 2)
	safe := u.Counted - u.TokensPerRequest() // the killed daemon may not have sent the count of its last request
	proc.WaitUntil(t, drill.UsageTimeout, "the counts that were sent are reported", func() bool { return u.ReportedTokens() >= safe })
	sender.Start()
	proc.WaitUntil(t, drill.UsageTimeout, sender.Name+" is ready", sender.Ready)
	u.SendRequests(sender, 2)
	safe += 2 * u.TokensPerRequest()
	proc.WaitUntil(t, drill.UsageTimeout, "the restarted daemon's counts are reported", func() bool { return u.ReportedTokens() >= safe })
	if total := u.ReportedTokens(); total > u.Counted {
		t.Errorf("%d tokens reported of only %d counted", total, u.Counted)
	}
	if u.Ledger().Streams[stream] == 0 {
		t.Error("the ledger has no sequence number of the killed daemon any more")
	}
}

// The holder is suspended at each step of a report for longer than its lease, and resumed after another holder has
// reported. It must not report under its old epoch after that, and every token must be reported once.
func TestUsageSuspendedHolderSendsNothing(t *testing.T) {
	t.Parallel()
	for _, step := range []struct {
		name   string
		faults wire.Faults
		at     func(u *drill.UsageCluster) bool
	}{
		{name: "BetweenWindows", at: func(u *drill.UsageCluster) bool { return len(u.Ledger().Frozen) == 0 }},
		{
			name:   "FigureWritten",
			faults: wire.Faults{LoseAnswers: 1000, LosePrefix: lease.Prefix + drill.UsageDuty},
			at:     func(u *drill.UsageCluster) bool { return firstUnreported(u.Ledger().Frozen, u.Calls().Reports) > 0 },
		},
		{
			name:   "ReportSent",
			faults: wire.Faults{LoseAnswers: 1000, LosePrefix: "usage"},
			at:     func(u *drill.UsageCluster) bool { return repeatedReports(u.Calls().Reports) > 0 },
		},
	} {
		t.Run(step.name, func(t *testing.T) {
			u := drill.NewUsageCluster(t, 3)
			holder := u.WaitHolder("")
			record, _ := drill.DutyRecord(u.Cluster, drill.UsageDuty)
			u.SetFaults(step.faults)
			u.SendRequests(u.OtherHost(holder), 3)
			proc.WaitUntil(t, drill.UsageTimeout, step.name, func() bool { return step.at(u) })
			holder.Signal(syscall.SIGSTOP)
			u.SetFaults(wire.Faults{})
			proc.WaitUntil(t, drill.UsageTimeout, "another holder reports", func() bool {
				return lastEpoch(u.Calls().Reports) > record.Epoch
			})
			holder.Signal(syscall.SIGCONT)
			proc.WaitUntil(t, drill.UsageTimeout, "the resumed daemon is ready", holder.Ready)
			u.SendRequests(u.OtherHost(holder), 1)
			u.WaitReported()
		})
	}
}

func lastEpoch(reports []wire.UsageReport) uint64 {
	if len(reports) == 0 {
		return 0
	}
	return reports[len(reports)-1].Epoch
}
