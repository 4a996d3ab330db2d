package soak

import (
	"fmt"
	"maps"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// checkReports checks usage reports: one figure a window, told after the window's end, no more than was asked, and holders
// with tokens of their own.
func checkReports(h *History, runs map[string][]Run) (broken []string) {
	figures := map[uint64]map[string]int{}
	holders := map[uint64]string{}
	reported := 0
	for _, r := range h.Reports {
		if known, ok := figures[r.Window]; ok && !maps.Equal(known, r.Counts) {
			broken = append(broken, fmt.Sprintf("ONE: window %d was reported as %v and as %v", r.Window, known, r.Counts))
		} else if !ok {
			figures[r.Window] = r.Counts
			reported += r.Counts[estate.Tenant]
		}
		if holder, ok := holders[r.Fence]; ok && holder != r.Holder {
			broken = append(broken, fmt.Sprintf("ONE: %s and %s reported usage with token %d", holder, r.Holder, r.Fence))
		}
		holders[r.Fence] = r.Holder
		end := time.Unix(0, int64(r.Window+1)*int64(h.Window))
		if r.At.Before(end.Add(-clockError)) {
			broken = append(broken, fmt.Sprintf("ONE: window %d was reported %.1f s before its end", r.Window, end.Sub(r.At).Seconds()))
		}
	}
	if ran := ranOf(h, runs); reported > ran {
		broken = append(broken, fmt.Sprintf("ONE: %d requests were reported and %d ran", reported, ran))
	}
	return broken
}

// ranOf returns the number of callers' requests that a server began to work on.
func ranOf(h *History, runs map[string][]Run) int {
	ran := 0
	for _, c := range h.Calls {
		if len(runs[c.ID]) > 0 {
			ran++
		}
	}
	return ran
}

// checkOrders checks that the holders that order an engine have tokens of their own, which rise.
func checkOrders(h *History, _ map[string][]Run) (broken []string) {
	holders := map[uint64]string{}
	for server, orders := range h.Orders {
		for i, o := range orders {
			if holder, ok := holders[o.Fence]; ok && holder != o.Holder {
				broken = append(broken, fmt.Sprintf("ONE: %s and %s ordered %s with token %d", holder, o.Holder, server, o.Fence))
			}
			holders[o.Fence] = o.Holder
			if i > 0 && o.Fence < orders[i-1].Fence {
				broken = append(broken, fmt.Sprintf("ONE: %s was ordered with token %d after %d", server, o.Fence, orders[i-1].Fence))
			}
		}
	}
	return broken
}

// checkDrains looks for work that reached a server after it was said to leave.
func checkDrains(h *History, _ map[string][]Run) (broken []string) {
	for _, d := range h.Drained {
		for _, r := range h.Runs {
			bound := d.From.Add(drainWithin)
			if r.Server == d.Server && r.At.After(bound) && r.At.Before(d.To) && h.calm(d.From, r.At, contact) {
				broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.1f s after it was said to leave", r.ID, d.Server, r.At.Sub(d.From).Seconds()))
			}
		}
	}
	return broken
}
