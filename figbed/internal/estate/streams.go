package estate

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
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

// EventData returns the data of event n of an item's stream.
func EventData(id string, n int) string { return id + "/" + strconv.Itoa(n) }

// EventDataOf returns the data of an event that tells the software version of the server that made it.
func EventDataOf(id string, n int, software string) string { return EventData(id, n) + " " + software }

func (s *Server) streamEvents(w http.ResponseWriter, r *http.Request, runIndex int) {
	lastID, _ := strconv.Atoi(r.Header.Get(HeaderLastEventID)) // 0 if the header is missing
	model := r.Header.Get("Figshift-Model")
	version := s.currentVersion(model)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderWeightVersions, strconv.FormatUint(version, 10))
	eventCount := s.Events
	if s.EventsOf != nil {
		eventCount = s.EventsOf(r.Header.Get(HeaderAttemptID))
	}
	for n := lastID + 1; n <= eventCount; n++ {
		select {
		case <-time.After(s.currentInterval()):
		case <-r.Context().Done():
			return
		}
		current := s.recordEvent(runIndex, model)
		if current != version {
			version = current
			_, _ = fmt.Fprintf(w, "figshift-weight-versions: %d\n", version)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.eventData(runIndex, r.Header.Get(HeaderAttemptID), n))
		w.(http.Flusher).Flush()
	}
}

// eventData returns the data of an event of a run.
func (s *Server) eventData(runIndex int, id string, n int) string {
	if !s.TellsSoftware {
		return EventData(id, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return EventDataOf(id, n, s.runs[runIndex].Software)
}

// recordEvent records and returns the model's weight version for the next event of a run.
func (s *Server) recordEvent(runIndex int, model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[runIndex].EventVersions = append(s.runs[runIndex].EventVersions, s.versions[model])
	return s.versions[model]
}

func (s *Server) currentInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.eventInterval
}

func (s *Server) currentVersion(model string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[model]
}
