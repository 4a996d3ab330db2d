package usage

import (
	"fmt"

	"github.com/figshift/figshift/internal/wire"
)

const (
	maxFrozen = 1000 // closed windows that wait for the platform
	maxOpen   = 8
	maxRecent = 2 // confirmed windows that the status tells of
)

// Outcome says what became of a delta.
type Outcome int

// The outcomes of Fold.
const (
	Folded Outcome = iota
	FoldedLate
	Duplicate
)

// Fold adds a delta to the open windows, once for each sequence number of its daemon incarnation.
// A delta of a closed window goes into the oldest window that may still be open, marked as late; one of a
// window after current, by a clock that runs ahead, goes into current.
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
		l.add(number, d.Figures, false)
		return Folded
	}
	l.add(max(current, l.Closed+1), d.Figures, true)
	return FoldedLate
}

// add adds figures to an open window.
func (l *Ledger) add(number uint64, figures []wire.UsageFigure, late bool) {
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

// Close freezes every window up to last, in order, and returns how many. The first window ever closed is last itself.
// Windows stay open while too many closed ones wait for the platform.
func (l *Ledger) Close(last uint64) int {
	if l.Closed == 0 && last > 0 {
		l.Closed = l.beforeFirst(last)
	}
	closed := 0
	for l.Closed < last && len(l.Frozen) < maxFrozen {
		l.Closed++
		closed++
		l.Frozen = append(l.Frozen, wire.UsageReport{
			ReportID: fmt.Sprintf("usage-%d", l.Closed),
			Window:   l.Closed,
			Figures:  l.take(l.Closed),
		})
	}
	l.limitOpen()
	return closed
}

func (l *Ledger) beforeFirst(last uint64) uint64 {
	if len(l.Open) > 0 {
		last = min(last, l.Open[0].Number)
	}
	return last - 1
}

// take removes an open window and returns its figures.
func (l *Ledger) take(number uint64) []wire.UsageFigure {
	if len(l.Open) == 0 || l.Open[0].Number != number {
		return nil
	}
	figures := l.Open[0].Figures
	l.Open = l.Open[1:]
	return figures
}

// limitOpen joins the oldest open windows, as late figures of the next one, while no window can be closed.
func (l *Ledger) limitOpen() {
	for len(l.Open) > maxOpen {
		oldest := l.Open[0]
		l.Open = l.Open[1:]
		l.Open[0].Figures = addAll(l.Open[0].Figures, oldest.Figures, true)
	}
}

// Confirm records that the platform has taken a report, and says whether it was waiting.
func (l *Ledger) Confirm(reportID string) bool {
	for i, r := range l.Frozen {
		if r.ReportID != reportID {
			continue
		}
		l.Frozen = append(l.Frozen[:i:i], l.Frozen[i+1:]...)
		l.Recent = append(l.Recent, r)
		if len(l.Recent) > maxRecent {
			l.Recent = l.Recent[len(l.Recent)-maxRecent:]
		}
		return true
	}
	return false
}
