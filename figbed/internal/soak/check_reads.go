package soak

import (
	"fmt"
	"slices"
	"time"
)

// settleLimit is the time after which a position of a job's results that a reader has got is shown by every host.
const settleLimit = time.Second

// checkSettled checks that no host has nothing at a position later than settleLimit after a reader got it. A host that was
// suspended in between may answer late, and the releases up to afdc893 did at any time.
func checkSettled(h *History, _ map[string][]Run) (violations []string) {
	firstRead := map[position]time.Time{}
	for _, read := range h.Reads {
		for i := range read.Results {
			pos := position{read.Job, read.After + i}
			if first, ok := firstRead[pos]; !ok || read.At.Before(first) {
				firstRead[pos] = read.At
			}
		}
	}
	for _, read := range h.Reads {
		if read.Status != 200 || len(read.Results) > 0 || h.suspended(read.Host, read.At.Add(-settleLimit), read.At) || h.ranOld(read.Host, read.At) {
			continue
		}
		first, ok := firstRead[position{read.Job, read.After}]
		if late := read.At.Sub(first); ok && late > settleLimit {
			violations = append(violations, fmt.Sprintf("LOST: host-%d has nothing at position %d of job %s, which was read %.1f s before", read.Host, read.After, read.Job, late.Seconds()))
		}
	}
	return violations
}

// suspended reports whether a host's process was suspended at some moment of a period.
func (h *History) suspended(host int, from, to time.Time) bool {
	return slices.ContainsFunc(h.Spans, func(s Span) bool {
		return s.Fault.Kind == HostFreeze && s.Fault.Target == host && s.From.Before(to) && s.To.After(from)
	})
}

// ranOld reports whether a host's process at some time was of the other build.
func (h *History) ranOld(host int, at time.Time) (old bool) {
	for _, start := range h.Starts { // in order
		if start.Host == host && !start.At.After(at) {
			old = start.Old
		}
	}
	return old
}
