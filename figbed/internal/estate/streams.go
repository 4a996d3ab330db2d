package estate

import (
	"maps"
	"slices"
)

// MixedStreams returns the MixedRuns of servers.
func MixedStreams(servers []*Server) []string {
	var runs []Run
	for _, s := range servers {
		runs = append(runs, s.Runs()...)
	}
	return MixedRuns(runs)
}

// MixedRuns returns the paths of the streams that went on at another software version than the one that began them, sorted. A
// stream is known by its path; a run without a last event begins it anew.
func MixedRuns(runs []Run) []string {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	began := map[string]string{} // software version by path
	mixed := map[string]bool{}
	for _, r := range runs {
		switch {
		case len(r.EventVersions) == 0:
		case r.LastEventID == "":
			began[r.Path] = r.Software
		case began[r.Path] != r.Software:
			mixed[r.Path] = true
		}
	}
	return slices.Sorted(maps.Keys(mixed))
}
