package usage

import (
	"fmt"

	"github.com/figshift/figshift/internal/wire"
)

const (
	maxFrozenWindows = 1000 // closed windows that the platform has not confirmed
	maxOpenWindows   = 8
	maxRecentWindows = 2 // confirmed windows, and as many frozen ones, in a status report
)

// Outcome is the result of Fold.
type Outcome int

// The outcomes of Fold.
const (
	Folded     Outcome = iota
	FoldedLate         // its window was closed; added to an open one as late tokens
	Duplicate          // its sequence number was folded before; not added
)

// Fold adds a delta to the open windows, once for each sequence number of its daemon incarnation. A delta of a closed
// window is added to the current window, or to the first one that is not closed, and marked as late. A delta of a
// window after current, from a daemon whose clock runs ahead, is added to current.
func (l *Ledger) Fold(d wire.UsageDelta, current uint64) Outcome {
	stream := StreamOf(d.Host, d.Incarnation)
	if uint64(l.Streams[stream]) >= d.Seq {
		return Duplicate
	}
	if l.Streams == nil {
		l.Streams = Streams{}
	}
	l.Streams[stream] = uint32(d.Seq)
	number := min(d.Window, max(current, l.Closed+1))
	if number > l.Closed {
		l.addToWindow(number, d.Figures, false)
		return Folded
	}
	l.addToWindow(max(current, l.Closed+1), d.Figures, true)
	return FoldedLate
}

// addToWindow adds figures to an open window, which it creates if needed.
func (l *Ledger) addToWindow(number uint64, figures []wire.UsageFigure, late bool) {
	i := 0
	for i < len(l.Open) && l.Open[i].Number < number {
		i++
	}
	if i == len(l.Open) || l.Open[i].Number != number {
		l.Open = append(l.Open, Window{})
		copy(l.Open[i+1:], l.Open[i:])
		l.Open[i] = Window{Number: number}
	}
	l.Open[i].Figures = addAll(l.Open[i].Figures, figures, late)
}

// Close freezes every window up to last, in order, and returns how many. The first call starts with the oldest open
// window, or with last if that is older. Windows stay open while maxFrozenWindows closed ones are unconfirmed.
func (l *Ledger) Close(last uint64) int {
	if l.Closed == 0 && last > 0 {
		l.Closed = l.numberBeforeFirst(last)
	}
	closed := 0
	for l.Closed < last && len(l.Frozen) < maxFrozenWindows {
		l.Closed++
		closed++
		l.Frozen = append(l.Frozen, wire.UsageReport{
			ReportID: fmt.Sprintf("usage-%d", l.Closed),
			Window:   l.Closed,
			Figures:  l.removeOpen(l.Closed),
		})
	}
	l.mergeExcessOpen()
	return closed
}

// numberBeforeFirst returns the number before the first window to close.
func (l *Ledger) numberBeforeFirst(last uint64) uint64 {
	if len(l.Open) > 0 {
		last = min(last, l.Open[0].Number)
	}
	return last - 1
}

// removeOpen removes the oldest open window if it has the given number, and returns its figures.
func (l *Ledger) removeOpen(number uint64) []wire.UsageFigure {
	if len(l.Open) == 0 || l.Open[0].Number != number {
		return nil
	}
	figures := l.Open[0].Figures
	l.Open = l.Open[1:]
	return figures
}

// mergeExcessOpen bounds the number of open windows while none can be closed: it adds the oldest windows' figures to
// the next one as late.
func (l *Ledger) mergeExcessOpen() {
	for len(l.Open) > maxOpenWindows {
		oldest := l.Open[0]
		l.Open = l.Open[1:]
		l.Open[0].Figures = addAll(l.Open[0].Figures, oldest.Figures, true)
	}
}

// Confirm records that the platform has accepted a report, and returns false if the report was not frozen.
func (l *Ledger) Confirm(reportID string) bool {
	for i, r := range l.Frozen {
		if r.ReportID != reportID {
			continue
		}
		l.Frozen = append(l.Frozen[:i:i], l.Frozen[i+1:]...)
		l.Recent = append(l.Recent, r)
		if len(l.Recent) > maxRecentWindows {
			l.Recent = l.Recent[len(l.Recent)-maxRecentWindows:]
		}
		return true
	}
	return false
}
