package estate

import (
	"maps"
	"slices"
	"strconv"
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

// MixedTexts returns the paths of the texts of which a run went on after an event that no run of its software version had made
// before, sorted. Other than in MixedRuns, a text may be made at two versions side by side.
func MixedTexts(runs []Run) []string {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return a.At.Compare(b.At) })
	type text struct{ path, software string }
	made := map[text]int{} // events from the first one on
	mixed := map[string]bool{}
	for _, r := range runs {
		t := text{r.Path, r.Software}
		last, _ := strconv.Atoi(r.LastEventID) // 0 if it is empty
		switch {
		case len(r.EventVersions) == 0:
		case last > made[t]:
			mixed[r.Path] = true
		default:
			made[t] = max(made[t], last+len(r.EventVersions))
		}
	}
	return slices.Sorted(maps.Keys(mixed))
}
