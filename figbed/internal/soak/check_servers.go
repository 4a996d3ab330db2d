package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// The platform's rules on limits and on requests that crash servers.
const (
	limitGrace   = 3 * time.Second // from the first answer that names a limit until it holds
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5 // of what a limit allows in limitWindow
	limitExtra   = 5   // requests beyond that
	crashLimit   = 3   // servers that a request may crash
	crashGrace   = 3 * time.Second
	crashRetries = 3 // runs of such a request later than crashGrace after the last of these crashes
)

// checkLimits checks that no server that names a limit gets much more from all hosts together. Each instance of a server
// has named its limit for the first time.
func checkLimits(h *History, _ map[string][]Run) (violations []string) {
	for _, l := range h.Limits {
		first := map[string]time.Time{} // by instance
		var window []estate.Arrival
		for _, a := range h.Arrivals[l.Server] {
			if a.At.Before(l.From) || a.At.After(l.To) {
				continue
			}
			if first[a.Instance].IsZero() {
				first[a.Instance], window = a.At, nil
			}
			if a.At.Before(first[a.Instance].Add(limitGrace)) {
				continue
			}
			window = append(window, a)
			for a.At.Sub(window[0].At) >= limitWindow {
				window = window[1:]
			}
			allowed := limitFactor*l.PerSecond*limitWindow.Seconds() + limitExtra
			if float64(len(window)) > allowed && h.undisturbed(window[0].At, a.At, disruptionRecovery) {
				violations = append(violations, fmt.Sprintf("LIMIT: %s names %v requests a second and got more than %v in %v: %s", a.Instance, l.PerSecond, allowed, limitWindow, arrivalKinds(window)))
				break
			}
		}
	}
	return violations
}

// checkCrashes checks that a request that has crashed crashLimit servers is not sent on.
func checkCrashes(h *History, _ map[string][]Run) (violations []string) {
	crashes := map[string]int{} // by path
	for _, c := range h.Crashes {
		crashes[c.Path]++
		if crashes[c.Path] != crashLimit {
			continue
		}
		later := 0
		for _, r := range h.Runs {
			if r.Path == c.Path && r.At.After(c.At.Add(crashGrace)) && h.undisturbed(c.At, r.At, disruptionRecovery) {
				later++
			}
		}
		if later > crashRetries {
			violations = append(violations, fmt.Sprintf("BUDGET: %s ran more than %d times later than %v after it had crashed %d servers", c.Path, crashRetries, crashGrace, crashLimit))
		}
	}
	return violations
}

// arrivalKinds returns the number of arrivals by the first part of their paths.
func arrivalKinds(arrivals []estate.Arrival) string {
	counts := map[string]int{}
	for _, a := range arrivals {
		kind, _, _ := strings.Cut(strings.TrimPrefix(a.Path, "/"), "/")
		if kind == "api" {
			kind = a.Path
		}
		counts[kind]++
	}
	var parts []string
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", kind, counts[kind]))
	}
	return strings.Join(parts, ", ")
}
