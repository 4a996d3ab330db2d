package soak

import (
	"fmt"
	"maps"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// checkReports checks that all reports of a usage window have the same counts and come after the window's end, that no
// more requests are reported than ran, and that no two duty holders use the same fencing token.
func checkReports(h *History, runs map[string][]Run) (violations []string) {
	counts := map[uint64]map[string]int{}
	holderByToken := map[uint64]string{}
	reported := 0
	for _, r := range h.Reports {
		if known, ok := counts[r.Window]; ok && !maps.Equal(known, r.Counts) {
			violations = append(violations, fmt.Sprintf("ONE: window %d was reported as %v and as %v", r.Window, known, r.Counts))
		} else if !ok {
			counts[r.Window] = r.Counts
			reported += r.Counts[estate.Tenant]
		}
		if holder, ok := holderByToken[r.Fence]; ok && holder != r.Holder {
			violations = append(violations, fmt.Sprintf("ONE: %s and %s reported usage with token %d", holder, r.Holder, r.Fence))
		}
		holderByToken[r.Fence] = r.Holder
		end := time.Unix(0, int64(r.Window+1)*int64(h.Window))
		if r.At.Before(end.Add(-clockTolerance)) {
			violations = append(violations, fmt.Sprintf("ONE: window %d was reported %.1f s before its end", r.Window, end.Sub(r.At).Seconds()))
		}
	}
	if ran := countRequestsRun(h, runs); reported > ran {
		violations = append(violations, fmt.Sprintf("ONE: %d requests were reported and %d ran", reported, ran))
	}
	return violations
}

// countRequestsRun returns the number of callers' requests that a server started to process.
func countRequestsRun(h *History, runs map[string][]Run) int {
	ran := 0
	for _, c := range h.Calls {
		if len(runs[c.ID]) > 0 {
			ran++
		}
	}
	return ran
}

// checkOrders checks that no two duty holders send orders with the same fencing token, and that the tokens of an engine's
// orders never decrease.
func checkOrders(h *History, _ map[string][]Run) (violations []string) {
	holderByToken := map[uint64]string{}
	for server, orders := range h.Orders {
		for i, o := range orders {
			if holder, ok := holderByToken[o.Fence]; ok && holder != o.Holder {
				violations = append(violations, fmt.Sprintf("ONE: %s and %s sent orders to %s with token %d", holder, o.Holder, server, o.Fence))
			}
			holderByToken[o.Fence] = o.Holder
			if i > 0 && o.Fence < orders[i-1].Fence {
				violations = append(violations, fmt.Sprintf("ONE: %s accepted an order with token %d after one with token %d", server, o.Fence, orders[i-1].Fence))
			}
		}
	}
	return violations
}

// checkDrains checks that no work reaches a server that has been draining for longer than drainLimit.
func checkDrains(h *History, _ map[string][]Run) (violations []string) {
	for _, d := range h.Drains {
		for _, r := range h.Runs {
			limit := d.From.Add(drainLimit)
			if r.Server == d.Server && r.At.After(limit) && r.At.Before(d.To) && h.undisturbed(d.From, r.At, disruptionRecovery) {
				violations = append(violations, fmt.Sprintf("DRAIN: %s reached %s %.1f s after the server was registered as draining", r.ID, d.Server, r.At.Sub(d.From).Seconds()))
			}
		}
	}
	return violations
}
