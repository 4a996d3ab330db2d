// Package seen records the requests that a simulated endpoint received, so that tests can check that something did not
// reach it.
package seen

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// Path is the URL path at which a simulated endpoint serves its Record to GET requests.
const Path = "/seen"

const maxRequests = 20000 // in a Recorder

// Request is one request as it was received.
type Request struct {
	At           time.Time
	Method       string
	Path         string
	Query        string
	Headers      map[string][]string
	Trailers     map[string][]string `json:",omitempty"`
	Body         string
	Request      string // value of wire.HeaderRequest
	Attempt      string // value of wire.HeaderAttempt
	Organisation string // value of wire.HeaderOrganisation
}

// Record holds the requests that were received, oldest first. When a Recorder is full, it drops the older half of them.
type Record struct {
	Requests []Request
	Runs     map[string]int // number of runs that were started, by request id
}

// Contains returns the requests whose JSON encoding contains text, as in a header, the query, a trailer or the body.
func (r Record) Contains(text string) []Request {
	var matches []Request
	for _, request := range r.Requests {
		data, _ := json.Marshal(request)
		if strings.Contains(string(data), text) {
			matches = append(matches, request)
		}
	}
	return matches
}

// Recorder collects a Record. The zero value is ready to use. It may be used concurrently.
type Recorder struct {
	mu     sync.Mutex
	record Record
}

// Add records a request with its body, which the caller has already read.
func (r *Recorder) Add(req *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.record.Requests) >= maxRequests {
		r.record.Requests = r.record.Requests[maxRequests/2:]
	}
	r.record.Requests = append(r.record.Requests, Request{
		At:           time.Now(),
		Method:       req.Method,
		Path:         req.URL.Path,
		Query:        req.URL.RawQuery,
		Headers:      req.Header.Clone(),
		Trailers:     req.Trailer.Clone(),
		Body:         string(body),
		Request:      req.Header.Get(wire.HeaderRequest),
		Attempt:      req.Header.Get(wire.HeaderAttempt),
		Organisation: req.Header.Get(wire.HeaderOrganisation),
	})
}

// CountRun counts the start of a run for a request id and returns the number of starts so far.
func (r *Recorder) CountRun(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record.Runs == nil {
		r.record.Runs = map[string]int{}
	}
	r.record.Runs[id]++
	return r.record.Runs[id]
}

// Record returns a copy of the record so far.
func (r *Recorder) Record() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	snapshot := Record{Requests: append([]Request(nil), r.record.Requests...), Runs: map[string]int{}}
	for id, n := range r.record.Runs {
		snapshot.Runs[id] = n
	}
	return snapshot
}

// ServeHTTP answers with the Record as JSON.
func (r *Recorder) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(r.Record())
}
