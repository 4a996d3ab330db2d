package soak

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// Time limits that the platform guarantees, with the values that follow from the settings of the simulated platform.
const (
	disruptionRecovery = 4 * time.Second // from a disruption's end until the limits hold again
	configApplyLimit   = 3 * time.Second // from the acknowledgement of a configuration change until all hosts apply it
	drainLimit         = 3 * time.Second // from a server's registration as draining to the last request that reaches it
	jobVisibleLimit    = time.Second     // from a job's acceptance until every host knows it
	clockTolerance     = 500 * time.Millisecond
)

// notRunStatuses are the response statuses that guarantee that the request has not run and never will.
var notRunStatuses = []int{408, 421, 429, 503}

// CheckHistory returns the violated guarantees of a history, one line each. The run may still be in progress.
func CheckHistory(h History) []string {
	runs := map[string][]Run{}
	for _, r := range h.Runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	var violations []string
	for _, check := range []func(h *History, runs map[string][]Run) []string{
		checkCalls, checkRuns, checkJobs, checkReads, checkSettled, checkReports, checkOrders, checkDrains, checkLimits, checkCrashes, checkSoftware, checkLinks, checkEnds,
	} {
		violations = append(violations, check(&h, runs)...)
	}
	return violations
}

// CheckCompleteness returns a violation for each item of an accepted job that is missing from a finished run's history.
func CheckCompleteness(h History) []string {
	listed := map[string]map[string]bool{}
	for _, r := range h.Reads {
		for _, result := range r.Results {
			if listed[r.Job] == nil {
				listed[r.Job] = map[string]bool{}
			}
			listed[r.Job][result.ID] = true
		}
	}
	var violations []string
	for _, j := range h.Jobs {
		for _, item := range j.Items {
			if !j.Accepted.IsZero() && j.Ending.IsZero() && !listed[j.ID][item] {
				violations = append(violations, fmt.Sprintf("LOST: item %s of the accepted job %s is not listed", item, j.ID))
			}
		}
	}
	return violations
}

func checkCalls(h *History, runs map[string][]Run) (violations []string) {
	for _, c := range h.Calls {
		n := len(runs[c.ID])
		if c.Unsafe && n > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: %s ran %d times, at %s", c.ID, n, serverNames(runs[c.ID])))
		}
		if c.Unsafe && n > 0 && slices.Contains(notRunStatuses, c.Status) {
			violations = append(violations, fmt.Sprintf("REFUSED: %s got status %d from host-%d and ran at %s", c.ID, c.Status, c.Host, serverNames(runs[c.ID])))
		}
		if c.Status == 200 && !matchesRun(c, runs[c.ID]) {
			violations = append(violations, fmt.Sprintf("MIXED: %s got body %q with stamp %q from host-%d", c.ID, c.Body, c.Stamp, c.Host))
		}
		if withdrawn, isWithdrawn := h.WithdrawnKeys[c.Key]; isWithdrawn && n > 0 && c.Sent.After(withdrawn.Add(configApplyLimit)) && h.undisturbed(withdrawn, c.Ended, disruptionRecovery) {
			violations = append(violations, fmt.Sprintf("CONFIG: %s ran via host-%d with a key withdrawn %.1f s earlier", c.ID, c.Host, c.Sent.Sub(withdrawn).Seconds()))
		}
		if c.Status == 0 && !c.Ended.IsZero() && n > 0 && h.hostStopping(c) && h.undisturbed(c.Sent, c.Ended, disruptionRecovery) {
			violations = append(violations, fmt.Sprintf("LOST: %s ran but got no response from host-%d, which was stopped gracefully", c.ID, c.Host))
		}
	}
	return violations
}

// hostStopping reports whether the call's host was gracefully stopped and restarted while the call was in flight.
func (h *History) hostStopping(c Call) bool {
	return slices.ContainsFunc(h.Spans, func(s Span) bool {
		return slices.Contains(stopKinds, s.Fault.Kind) && s.Fault.Target == c.Host && s.From.Before(c.Ended) && s.To.After(c.Sent)
	})
}

func serverNames(runs []Run) string {
	var names []string
	for _, r := range runs {
		names = append(names, r.Server)
	}
	return strings.Join(names, " and ")
}

// matchesRun reports whether a successful response was produced by one of the request's runs.
func matchesRun(c Call, runs []Run) bool {
	return slices.ContainsFunc(runs, func(r Run) bool {
		path, _, _ := strings.Cut(c.Path, "?")
		return c.Stamp == r.Server+"."+c.ID && c.Body == fmt.Sprintf("answer of %s to %s", r.Server, path)
	})
}

// checkRuns checks that servers ran only work that was requested, without the caller's key and for the right organisation.
func checkRuns(h *History, _ map[string][]Run) (violations []string) {
	expectedPaths := map[string]string{} // by id
	for _, c := range h.Calls {
		expectedPaths[c.ID] = c.Path
	}
	for _, j := range h.Jobs {
		for _, item := range j.Items {
			expectedPaths[item] = itemPath(item)
			expectedPaths[scoreCallID(item)] = estate.Scores + item
		}
	}
	for _, r := range h.Runs {
		path, ok := expectedPaths[r.ID]
		switch {
		case !ok || path != r.Path:
			violations = append(violations, fmt.Sprintf("UNASKED: %s ran %q with path %s", r.Server, r.ID, r.Path))
		case r.HasCredential:
			violations = append(violations, fmt.Sprintf("UNASKED: %s received an API key with %s", r.Server, r.ID))
		case r.Tenant != estate.Tenant && !strings.HasPrefix(r.Path, estate.Scores):
			violations = append(violations, fmt.Sprintf("UNASKED: %s ran %s for organisation %q", r.Server, r.ID, r.Tenant))
		}
	}
	return violations
}

func itemPath(item string) string { return estate.Rollouts + "x/" + item }

func scoreCallID(item string) string { return "score-" + item }

func checkJobs(h *History, runs map[string][]Run) (violations []string) {
	for _, j := range h.Jobs {
		if len(j.Statuses) == 0 || slices.ContainsFunc(j.Statuses, func(status int) bool { return !slices.Contains(notRunStatuses, status) }) {
			continue
		}
		for _, item := range j.Items {
			if len(runs[item]) > 0 {
				violations = append(violations, fmt.Sprintf("REFUSED: item %s ran at %s although its job got only the statuses %v", item, serverNames(runs[item]), j.Statuses))
			}
		}
	}
	return violations
}

// position is an index in a job's list of results.
type position struct {
	job   string
	index int
}

func checkReads(h *History, runs map[string][]Run) (violations []string) {
	jobs := map[string]Job{}
	for _, j := range h.Jobs {
		jobs[j.ID] = j
	}
	firstRead := map[position]Result{}
	positions := map[string]position{} // by item
	for _, read := range h.Reads {
		j := jobs[read.Job]
		if read.Status == 404 && !j.Accepted.IsZero() && read.At.After(j.Accepted.Add(jobVisibleLimit)) {
			violations = append(violations, fmt.Sprintf("LOST: host-%d does not know the accepted job %s", read.Host, j.ID))
		}
		if read.Status == 200 && read.Total != len(j.Items) {
			violations = append(violations, fmt.Sprintf("MIXED: job %s has %d items, host-%d reports %d", j.ID, len(j.Items), read.Host, read.Total))
		}
		for i, result := range read.Results {
			pos := position{j.ID, read.After + i}
			known, ok := firstRead[pos]
			if !ok {
				firstRead[pos] = result
				violations = append(violations, checkResult(h, j, result, runs)...)
			} else if known.ID != result.ID || known.State != result.State || known.Text != result.Text || known.Score != result.Score {
				violations = append(violations, fmt.Sprintf("TWICE: position %d of job %s changed from a result of item %s to another result of item %s at host-%d", pos.index, j.ID, known.ID, result.ID, read.Host))
			}
			if other, ok := positions[result.ID]; ok && other != pos {
				violations = append(violations, fmt.Sprintf("TWICE: item %s is listed at positions %d and %d", result.ID, other.index, pos.index))
			}
			positions[result.ID] = pos
		}
	}
	return violations
}

// checkResult checks a completed result against the runs of its item and of its scoring call.
func checkResult(h *History, j Job, result Result, runs map[string][]Run) (violations []string) {
	if !slices.Contains(j.Items, result.ID) {
		return []string{fmt.Sprintf("MIXED: job %s lists %q, which is not one of its items", j.ID, result.ID)}
	}
	if result.State != "completed" {
		return nil
	}
	if !isWholeText(result, h.Events(result.ID)) {
		violations = append(violations, fmt.Sprintf("ORDER: the text of item %s is %q", result.ID, result.Text))
	}
	violations = append(violations, checkVersions(j, result, runs[result.ID])...)
	if result.Score != "" && !slices.ContainsFunc(runs[scoreCallID(result.ID)], func(r Run) bool { return result.Score == r.Server+"."+r.ID }) {
		violations = append(violations, fmt.Sprintf("MIXED: the score %q of item %s was not produced by any run", result.Score, result.ID))
	}
	return violations
}

// isWholeText reports whether the text of a result has each event once and in order, all of one software version.
func isWholeText(result Result, events int) bool {
	_, software, _ := strings.Cut(strings.SplitN(result.Text, "\n", 2)[0], " ")
	var want []string
	for n := 1; n <= events; n++ {
		want = append(want, estate.EventDataOf(result.ID, n, software))
	}
	return software != "" && result.Text == strings.Join(want, "\n")
}

// checkVersions checks the weight versions of a result. An event that was streamed more than once, possibly under different
// versions, does not show which of them the result used. The result must thus list every version that is the only one of
// some event, and no version under which no event was generated.
func checkVersions(j Job, result Result, runs []Run) (violations []string) {
	byEvent := versionsByEvent(runs)
	possible, certain := map[uint64]bool{}, map[uint64]bool{}
	for _, versions := range byEvent {
		for _, v := range versions {
			possible[v] = true
			certain[v] = certain[v] || len(versions) == 1
		}
	}
	for _, v := range result.Versions {
		if !possible[v] {
			violations = append(violations, fmt.Sprintf("VERSION: item %s lists version %d, under which none of its events was generated", result.ID, v))
		}
		if v < j.MinVersion {
			violations = append(violations, fmt.Sprintf("VERSION: item %s lists version %d, the oldest allowed is %d", result.ID, v, j.MinVersion))
		}
	}
	for _, v := range slices.Sorted(maps.Keys(certain)) {
		if certain[v] && !slices.Contains(result.Versions, v) {
			violations = append(violations, fmt.Sprintf("VERSION: item %s does not list version %d, under which an event was generated", result.ID, v))
		}
	}
	return violations
}

// versionsByEvent returns the versions under which each event of an item was generated, by event number.
func versionsByEvent(runs []Run) map[int][]uint64 {
	byEvent := map[int][]uint64{}
	for _, r := range runs {
		lastEvent, _ := strconv.Atoi(r.LastEventID) // 0 if LastEventID is empty
		for i, v := range r.EventVersions {
			if n := lastEvent + 1 + i; !slices.Contains(byEvent[n], v) {
				byEvent[n] = append(byEvent[n], v)
			}
		}
	}
	return byEvent
}
