package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// Call is a request of a caller.
type Call struct {
	ID     string
	Path   string
	Key    string
	Host   int
	Unsafe bool // not idempotent: may run at most once
	Sent   time.Time
	Ended  time.Time
	Status int    // 0 if no complete response came
	Body   string // of a response with status 200
	Stamp  string // the server's response stamp, if the status is 200
}

// Job is a batch job with the outcomes of its submissions.
type Job struct {
	ID         string
	Items      []string
	MinVersion uint64    // oldest weight version that may generate its texts
	Statuses   []int     // status of each submission, 0 if no response came
	Accepted   time.Time // time of the response with status 202; zero if there was none
	Ending     time.Time // time from which the job may be ended; zero for one that is not
	Ended      time.Time // time of the response with status 200 to its end; zero if there was none
}

// Result is the result of a job's item as a reader received it.
type Result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

// Read is a request for a job's results from position After on.
type Read struct {
	Job     string
	Host    int
	At      time.Time
	Status  int
	After   int
	Total   int
	Results []Result
}

// Run is one processing of a request or an item by a server.
type Run struct {
	estate.Run
	Server string
}

// Span is the period in which a disruption or planned work was active.
type Span struct {
	Fault Fault
	From  time.Time
	To    time.Time
}

// History is what callers, servers and the platform recorded in a run.
type History struct {
	Started       time.Time
	Events        func(item string) int // returns the number of events in an item's stream
	Window        time.Duration         // length of a usage window
	Calls         []Call
	Jobs          []Job
	Reads         []Read
	Runs          []Run
	Reports       []estate.Report
	Orders        map[string][]estate.Order // by server
	Spans         []Span
	WithdrawnKeys map[string]time.Time // withdrawn keys and when the store acknowledged their withdrawal
	Drains        []Drain
	Limits        []Limit
	Arrivals      map[string][]estate.Arrival // by server
	Crashes       []estate.Crash              // of all servers, in order
	Starts        []Start
}

// Limit is the period in which a server named a limit.
type Limit struct {
	Server    string
	PerSecond float64
	From      time.Time
	To        time.Time
}

// Drain is the period in which a server was registered as draining.
type Drain struct {
	Server string
	From   time.Time
	To     time.Time
}

// undisturbed reports whether no disruption was active between from-margin and to.
func (h *History) undisturbed(from, to time.Time, margin time.Duration) bool {
	return !slices.ContainsFunc(h.Spans, func(s Span) bool {
		return !slices.Contains(plannedKinds, s.Fault.Kind) && s.From.Before(to) && s.To.After(from.Add(-margin))
	})
}

// recorder collects a history. Its methods may be called concurrently.
type recorder struct {
	mu      sync.Mutex
	history History
}

func (r *recorder) update(fn func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(&r.history)
}

// clone returns a copy of the history that later updates do not change.
func (r *recorder) clone() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.history
	h.Calls, h.Reads = slices.Clone(h.Calls), slices.Clone(h.Reads)
	h.Spans, h.Drains, h.Limits = slices.Clone(h.Spans), slices.Clone(h.Drains), slices.Clone(h.Limits)
	h.Jobs = slices.Clone(h.Jobs)
	for i := range h.Jobs {
		h.Jobs[i].Statuses = slices.Clone(h.Jobs[i].Statuses)
	}
	withdrawn := make(map[string]time.Time, len(h.WithdrawnKeys))
	for key, at := range h.WithdrawnKeys {
		withdrawn[key] = at
	}
	h.WithdrawnKeys = withdrawn
	return h
}
