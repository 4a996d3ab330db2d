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

const maxRequests = 20000 // in a Log

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

// Record holds the requests that were received, oldest first. When a Log is full, it drops the older half of them.
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

// Log collects a Record. The zero value is ready to use. It may be used concurrently.
type Log struct {
	mu     sync.Mutex
	record Record
}

// Add records a request with its body, which the caller has already read.
func (l *Log) Add(r *http.Request, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.record.Requests) >= maxRequests {
		l.record.Requests = l.record.Requests[maxRequests/2:]
	}
	l.record.Requests = append(l.record.Requests, Request{
		At:           time.Now(),
		Method:       r.Method,
		Path:         r.URL.Path,
		Query:        r.URL.RawQuery,
		Headers:      r.Header.Clone(),
		Trailers:     r.Trailer.Clone(),
		Body:         string(body),
		Request:      r.Header.Get(wire.HeaderRequest),
		Attempt:      r.Header.Get(wire.HeaderAttempt),
		Organisation: r.Header.Get(wire.HeaderOrganisation),
	})
}

// Run counts the start of a run for a request id and returns the number of starts so far.
func (l *Log) Run(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.Runs == nil {
		l.record.Runs = map[string]int{}
	}
	l.record.Runs[id]++
	return l.record.Runs[id]
}

// Record returns a copy of the record so far.
func (l *Log) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	snapshot := Record{Requests: append([]Request(nil), l.record.Requests...), Runs: map[string]int{}}
	for id, n := range l.record.Runs {
		snapshot.Runs[id] = n
	}
	return snapshot
}

// ServeHTTP answers with the Record as JSON.
func (l *Log) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Record())
}
