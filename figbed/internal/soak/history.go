package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// Call is one request of a caller.
type Call struct {
	ID     string
	Path   string
	Key    string
	Host   int
	Unsafe bool // may run once at most
	Sent   time.Time
	Ended  time.Time
	Status int    // 0 without a whole answer
	Body   string // of a success
	Stamp  string // the server's signature
}

// Job is a batch job with the answers to its submissions.
type Job struct {
	ID       string
	Items    []string
	Least    uint64    // oldest version that may make its texts
	Tries    []int     // statuses, 0 without an answer
	Accepted time.Time // of the first 202
}

// Result is one result of a job as a reader got it.
type Result struct {
	ID       string   `json:"id"`
	State    string   `json:"state"`
	Text     string   `json:"text"`
	Versions []uint64 `json:"versions"`
	Score    string   `json:"score"`
}

// Read is a reading of a job's results from position After on.
type Read struct {
	Job     string
	Host    int
	At      time.Time
	Status  int
	After   int
	Total   int
	Results []Result
}

// Run is a run of a request or an item at a server.
type Run struct {
	estate.Run
	Server string
}

// Span is the time of a disruption, or of planned work.
type Span struct {
	Fault Fault
	From  time.Time
	To    time.Time
}

// History is what callers, servers and the platform saw.
type History struct {
	Began   time.Time
	Events  func(item string) int // of an item's stream
	Window  time.Duration         // of usage
	Calls   []Call
	Jobs    []Job
	Reads   []Read
	Runs    []Run
	Reports []estate.Report
	Orders  map[string][]estate.Order // by server
	Spans   []Span
	Gone    map[string]time.Time // withdrawn keys, by when the store acknowledged it
	Drained []Drain
}

// Drain tells that a server was said to leave, and until when.
type Drain struct {
	Server string
	From   time.Time
	To     time.Time
}

// calm reports whether no disruption was under way from span before from until to.
func (h *History) calm(from, to time.Time, span time.Duration) bool {
	return !slices.ContainsFunc(h.Spans, func(s Span) bool {
		return !slices.Contains(planned, s.Fault.Kind) && s.From.Before(to) && s.To.After(from.Add(-span))
	})
}

// book collects a history. Its methods may be called concurrently.
type book struct {
	mu      sync.Mutex
	history History
}

func (b *book) add(f func(h *History)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.history)
}

// copyOf returns the history so far, which is not written any more.
func (b *book) copyOf() History {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history
	h.Calls, h.Reads = slices.Clone(h.Calls), slices.Clone(h.Reads)
	h.Spans, h.Drained = slices.Clone(h.Spans), slices.Clone(h.Drained)
	h.Jobs = slices.Clone(h.Jobs)
	for i := range h.Jobs {
		h.Jobs[i].Tries = slices.Clone(h.Jobs[i].Tries)
	}
	gone := make(map[string]time.Time, len(h.Gone))
	for key, at := range h.Gone {
		gone[key] = at
	}
	h.Gone = gone
	return h
}
