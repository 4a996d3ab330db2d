// Package seen records what a stand-in received, so that tests can look for what must not be there.
package seen

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

// Path is where a stand-in gives its Record by GET.
const Path = "/seen"

const maxRequests = 20000

// Request is one request as it came.
type Request struct {
	At           time.Time
	Method       string
	Path         string
	Query        string
	Headers      map[string][]string
	Trailers     map[string][]string `json:",omitempty"`
	Body         string
	Request      string // wire.HeaderRequest
	Attempt      string // wire.HeaderAttempt
	Organisation string // wire.HeaderOrganisation
}

// Record is all that was received, oldest first. Beyond a bound the oldest are dropped.
type Record struct {
	Requests []Request
	Runs     map[string]int // runs that were started, by request id
}

// Contains returns the requests that hold text in a header, the query, a trailer or the body.
func (r Record) Contains(text string) []Request {
	var found []Request
	for _, q := range r.Requests {
		data, _ := json.Marshal(q)
		if strings.Contains(string(data), text) {
			found = append(found, q)
		}
	}
	return found
}

// Log collects a Record. It may be used concurrently; its zero value is ready.
type Log struct {
	mu     sync.Mutex
	record Record
}

// Add records a request whose body has been read.
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

// Run counts the start of a run under an id and returns how many there have been.
func (l *Log) Run(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.Runs == nil {
		l.record.Runs = map[string]int{}
	}
	l.record.Runs[id]++
	return l.record.Runs[id]
}

// Record returns a copy of what was received.
func (l *Log) Record() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Record{Requests: append([]Request(nil), l.record.Requests...), Runs: map[string]int{}}
	for id, n := range l.record.Runs {
		c.Runs[id] = n
	}
	return c
}

// ServeHTTP answers with the Record as JSON.
func (l *Log) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l.Record())
}
