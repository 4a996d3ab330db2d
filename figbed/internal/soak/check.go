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

// The bounds of the platform's pages, as the stand-in states them in its settings.
const (
	contact     = 4 * time.Second // after a disruption, until bounds hold again
	configApply = 3 * time.Second // from a change's acknowledgement to its being in force
	drainWithin = 3 * time.Second // from a server's leaving to the last request that reaches it
	settle      = time.Second     // from a job's acceptance to its being found at any host
	clockError  = 500 * time.Millisecond
)

// promises is the answer statuses that promise that nothing ran and never will.
var promises = []int{408, 421, 429, 503}

// Check returns every broken promise of a history that may still go on, one line each.
func Check(h History) []string {
	runs := map[string][]Run{}
	for _, r := range h.Runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	var broken []string
	for _, check := range []func(h *History, runs map[string][]Run) []string{
		checkCalls, checkRuns, checkJobs, checkReads, checkReports, checkOrders, checkDrains,
	} {
		broken = append(broken, check(&h, runs)...)
	}
	return broken
}

// CheckEnd returns what a history lacks after the faults have ended and all work was given time.
func CheckEnd(h History) []string {
	listed := map[string]map[string]bool{}
	for _, r := range h.Reads {
		for _, one := range r.Results {
			if listed[r.Job] == nil {
				listed[r.Job] = map[string]bool{}
			}
			listed[r.Job][one.ID] = true
		}
	}
	var broken []string
	for _, j := range h.Jobs {
		for _, item := range j.Items {
			if !j.Accepted.IsZero() && !listed[j.ID][item] {
				broken = append(broken, fmt.Sprintf("LOST: item %s of the accepted job %s is not listed", item, j.ID))
			}
		}
	}
	return broken
}

func checkCalls(h *History, runs map[string][]Run) (broken []string) {
	for _, c := range h.Calls {
		n := len(runs[c.ID])
		if c.Unsafe && n > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times, at %s", c.ID, n, serversOf(runs[c.ID])))
		}
		if c.Unsafe && n > 0 && slices.Contains(promises, c.Status) {
			broken = append(broken, fmt.Sprintf("REFUSED: %s got status %d from host-%d and ran at %s", c.ID, c.Status, c.Host, serversOf(runs[c.ID])))
		}
		if c.Status == 200 && !isAnswer(c, runs[c.ID]) {
			broken = append(broken, fmt.Sprintf("MIXED: %s got body %q with signature %q from host-%d", c.ID, c.Body, c.Stamp, c.Host))
		}
		if at, gone := h.Gone[c.Key]; gone && n > 0 && c.Sent.After(at.Add(configApply)) && h.calm(at, c.Ended, contact) {
			broken = append(broken, fmt.Sprintf("CONFIG: %s ran by host-%d with a key withdrawn %.1f s before", c.ID, c.Host, c.Sent.Sub(at).Seconds()))
		}
		if c.Status == 0 && !c.Ended.IsZero() && n > 0 && h.stopped(c) && h.calm(c.Sent, c.Ended, contact) {
			broken = append(broken, fmt.Sprintf("LOST: %s ran and got no answer from host-%d, which was stopped gracefully", c.ID, c.Host))
		}
	}
	return broken
}

// stopped reports whether the call's host was being stopped gracefully.
func (h *History) stopped(c Call) bool {
	return slices.ContainsFunc(h.Spans, func(s Span) bool {
		return s.Fault.Kind == HostStop && s.Fault.Target == c.Host && s.From.Before(c.Ended) && s.To.After(c.Sent)
	})
}

func serversOf(runs []Run) string {
	var names []string
	for _, r := range runs {
		names = append(names, r.Server)
	}
	return strings.Join(names, " and ")
}

// isAnswer reports whether a success is what one of the request's runs made.
func isAnswer(c Call, runs []Run) bool {
	return slices.ContainsFunc(runs, func(r Run) bool {
		path, _, _ := strings.Cut(c.Path, "?")
		return c.Stamp == r.Server+"."+c.ID && c.Body == fmt.Sprintf("answer of %s to %s", r.Server, path)
	})
}

// checkRuns looks for work that nobody asked for.
func checkRuns(h *History, _ map[string][]Run) (broken []string) {
	asked := map[string]string{} // path by id
	for _, c := range h.Calls {
		asked[c.ID] = c.Path
	}
	for _, j := range h.Jobs {
		for _, item := range j.Items {
			asked[item] = itemPath(item)
			asked[scoreOf(item)] = estate.Scores + item
		}
	}
	for _, r := range h.Runs {
		path, ok := asked[r.ID]
		switch {
		case !ok || path != r.Path:
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran %q under path %s", r.Server, r.ID, r.Path))
		case r.Key:
			broken = append(broken, fmt.Sprintf("UNASKED: %s got a key with %s", r.Server, r.ID))
		case r.Tenant != estate.Tenant && !strings.HasPrefix(r.Path, estate.Scores):
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran %s for organisation %q", r.Server, r.ID, r.Tenant))
		}
	}
	return broken
}

func itemPath(item string) string { return estate.Rollouts + "x/" + item }

func scoreOf(item string) string { return "score-" + item }

func checkJobs(h *History, runs map[string][]Run) (broken []string) {
	for _, j := range h.Jobs {
		if len(j.Tries) == 0 || slices.ContainsFunc(j.Tries, func(status int) bool { return !slices.Contains(promises, status) }) {
			continue
		}
		for _, item := range j.Items {
			if len(runs[item]) > 0 {
				broken = append(broken, fmt.Sprintf("REFUSED: item %s ran at %s, its job got only %v", item, serversOf(runs[item]), j.Tries))
			}
		}
	}
	return broken
}

// place is a position in a job's list.
type place struct {
	job string
	at  int
}

func checkReads(h *History, runs map[string][]Run) (broken []string) {
	jobs := map[string]Job{}
	for _, j := range h.Jobs {
		jobs[j.ID] = j
	}
	first := map[place]Result{}
	places := map[string]place{} // by item
	for _, read := range h.Reads {
		j := jobs[read.Job]
		if read.Status == 404 && !j.Accepted.IsZero() && read.At.After(j.Accepted.Add(settle)) {
			broken = append(broken, fmt.Sprintf("LOST: host-%d does not know the accepted job %s", read.Host, j.ID))
		}
		if read.Status == 200 && read.Total != len(j.Items) {
			broken = append(broken, fmt.Sprintf("MIXED: job %s has %d items, host-%d tells %d", j.ID, len(j.Items), read.Host, read.Total))
		}
		for i, one := range read.Results {
			at := place{j.ID, read.After + i}
			known, ok := first[at]
			if !ok {
				first[at] = one
				broken = append(broken, checkResult(h, j, one, runs)...)
			} else if known.ID != one.ID || known.State != one.State || known.Text != one.Text || known.Score != one.Score {
				broken = append(broken, fmt.Sprintf("TWICE: position %d of job %s was item %s and is item %s at host-%d", at.at, j.ID, known.ID, one.ID, read.Host))
			}
			if other, ok := places[one.ID]; ok && other != at {
				broken = append(broken, fmt.Sprintf("TWICE: item %s stands at positions %d and %d", one.ID, other.at, at.at))
			}
			places[one.ID] = at
		}
	}
	return broken
}

// checkResult checks a result against the runs of its item.
func checkResult(h *History, j Job, one Result, runs map[string][]Run) (broken []string) {
	if !slices.Contains(j.Items, one.ID) {
		return []string{fmt.Sprintf("MIXED: job %s lists %q, which is no item of it", j.ID, one.ID)}
	}
	if one.State != "completed" {
		return nil
	}
	var want []string
	for n := 1; n <= h.Events(one.ID); n++ {
		want = append(want, estate.Event(one.ID, n))
	}
	if one.Text != strings.Join(want, "\n") {
		broken = append(broken, fmt.Sprintf("ORDER: the text of item %s is %q", one.ID, one.Text))
	}
	broken = append(broken, checkVersions(j, one, runs[one.ID])...)
	if one.Score != "" && !slices.ContainsFunc(runs[scoreOf(one.ID)], func(r Run) bool { return one.Score == r.Server+"."+r.ID }) {
		broken = append(broken, fmt.Sprintf("MIXED: the score %q of item %s was given by no run", one.Score, one.ID))
	}
	return broken
}

// checkVersions checks that a result tells the versions under which its events were made: each of them under which only
// one version made the event, and none that made no event.
func checkVersions(j Job, one Result, runs []Run) (broken []string) {
	made := versionsMade(runs)
	ever, sure := map[uint64]bool{}, map[uint64]bool{}
	for _, of := range made {
		for _, v := range of {
			ever[v] = true
			sure[v] = sure[v] || len(of) == 1
		}
	}
	for _, v := range one.Versions {
		if !ever[v] {
			broken = append(broken, fmt.Sprintf("VERSION: item %s tells version %d, under which none of its events was made", one.ID, v))
		}
		if v < j.Least {
			broken = append(broken, fmt.Sprintf("VERSION: item %s tells version %d, the oldest allowed is %d", one.ID, v, j.Least))
		}
	}
	for _, v := range slices.Sorted(maps.Keys(sure)) {
		if sure[v] && !slices.Contains(one.Versions, v) {
			broken = append(broken, fmt.Sprintf("VERSION: item %s does not tell version %d, under which an event was made", one.ID, v))
		}
	}
	return broken
}

// versionsMade returns the versions under which each event of an item was made, by its number.
func versionsMade(runs []Run) map[int][]uint64 {
	made := map[int][]uint64{}
	for _, r := range runs {
		from, _ := strconv.Atoi(r.From) // none is 0
		for i, v := range r.Made {
			if n := from + 1 + i; !slices.Contains(made[n], v) {
				made[n] = append(made[n], v)
			}
		}
	}
	return made
}
