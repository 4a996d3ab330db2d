package main

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// printSteps prints a row for each job, the runs of the item that closed it, and the sum of the seconds by cause.
func printSteps(o output, lines []logLine) {
	steps := collectSteps(lines)
	gap := fastGap(steps)
	header := []string{"Job", "At", "Engines", "Half", "Most", "Whole", "Closed", "Ended"}
	for _, c := range causes {
		header = append(header, string(c))
	}
	rows := [][]string{header}
	total := map[cause]time.Duration{}
	closed := 0
	for _, s := range steps {
		it := s.closing()
		row := s.summary(steps[0].start(), it)
		if it != nil {
			closed++
			spent := s.chain(it, gap)
			for _, c := range causes {
				total[c] += spent[c]
				row = append(row, seconds(spent[c]))
			}
		}
		rows = append(rows, pad(row, len(header)))
	}
	sum := pad([]string{"Sum"}, len(header)-len(causes))
	for _, c := range causes {
		sum = append(sum, seconds(total[c]))
	}
	o.printTable(append(rows, sum))
	for _, s := range steps {
		if it := s.closing(); it != nil {
			o.printf("%s closed by %s\n", s.job, it.id)
			it.printRuns(o, s.start())
		}
	}
	o.printf("%d of %d jobs closed; %s between two events of a fast run\n", closed, len(steps), gap.Round(100*time.Microsecond))
}

// summary returns the first columns of a job's row: its submission after that of the first job, the engines that took
// items in the first 300 ms, and the seconds after its submission until shares of the items were whole.
func (s *step) summary(first time.Time, closing *stepItem) []string {
	const burst = 300 * time.Millisecond
	start := s.start()
	engines := map[string]bool{}
	for _, it := range s.order {
		for _, r := range it.runs {
			if r.sent.Sub(s.order[0].runs[0].sent) <= burst {
				engines[r.engine] = true
			}
		}
	}
	whole := s.itemsByEnd()
	part := func(share float64) string {
		n := int(math.Ceil(share * float64(len(s.order))))
		if n > len(whole) {
			return ""
		}
		return seconds(whole[n-1].done.Sub(start))
	}
	row := []string{s.job, seconds(start.Sub(first)), strconv.Itoa(len(engines)), part(0.5), part(0.9), part(1), "", ""}
	if closing != nil {
		row[6] = seconds(closing.done.Sub(start))
	}
	if !s.ended.IsZero() {
		row[7] = seconds(s.ended.Sub(start))
	}
	return row
}

func (it *stepItem) printRuns(o output, start time.Time) {
	for _, r := range it.runs {
		if r.ended.IsZero() {
			o.printf("  +%s on %s from event %d, others %s, end not logged\n", seconds(r.sent.Sub(start)), r.engine, r.from, orDash(r.others))
			continue
		}
		took, pace := r.ended.Sub(r.sent), ""
		if n := r.events - r.from; n > 0 {
			pace = fmt.Sprintf(", %.1f ms an event", float64(took.Milliseconds())/float64(n))
		}
		o.printf("  +%s on %s for %s, events %d to %d%s, others %s, ended %s\n",
			seconds(r.sent.Sub(start)), r.engine, seconds(took), r.from, r.events, pace, orDash(r.others), orDash(r.reason))
	}
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// pad appends empty cells until a row has n of them.
func pad(row []string, n int) []string {
	for len(row) < n {
		row = append(row, "")
	}
	return row
}
