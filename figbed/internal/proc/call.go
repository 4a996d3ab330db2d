package proc

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/seen"
	"github.com/figshift/figshift/figbed/internal/servc"
	"github.com/figshift/figshift/internal/wire"
)

// Answer is the response that a caller received. Err is set when the response is missing or incomplete; Status is 0 when
// there is no response.
type Answer struct {
	Status   int
	Header   http.Header
	Body     string
	Segments []wire.Segment
	Err      error
	Took     time.Duration
}

// Tokens returns the tokens of all segments.
func (a Answer) Tokens() []string {
	var tokens []string
	for _, segment := range a.Segments {
		tokens = append(tokens, segment.Tokens...)
	}
	return tokens
}

// Whole reports whether the answer to a generation request is complete, that is, ends with a segment marked Done.
func (a Answer) Whole() bool {
	n := len(a.Segments)
	return a.Err == nil && a.Status == http.StatusOK && n > 0 && a.Segments[n-1].Done
}

// Echo decodes the response body of a plain service.
func (a Answer) Echo() servc.Echo {
	var echo servc.Echo
	_ = json.Unmarshal([]byte(a.Body), &echo)
	return echo
}

// Get sends a GET request to the daemon with a key ("" for none).
func (h *Host) Get(path, key string) Answer { return h.Call(http.MethodGet, path, key, "") }

// Post sends a POST request to the daemon with a key ("" for none) and a body.
func (h *Host) Post(path, key, body string) Answer { return h.Call(http.MethodPost, path, key, body) }

// Call sends one request to the daemon and reads the whole response.
func (h *Host) Call(method, path, key, body string) Answer {
	req, err := http.NewRequest(method, h.URL()+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return h.cluster.Do(req)
}

// Do sends a request that the test has built and reads the whole response.
func (c *Cluster) Do(req *http.Request) Answer {
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{Err: err, Took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err, Took: time.Since(start)}
}

// Generate sends a generation request and decodes the segments of the response. The model is Model when none is set.
func (h *Host) Generate(key string, request wire.Generate) Answer {
	if request.Model == "" {
		request.Model = Model
	}
	data, _ := json.Marshal(request)
	answer := h.Post(wire.PathGenerate, key, string(data))
	decoder := json.NewDecoder(bytes.NewReader([]byte(answer.Body)))
	for answer.Status == http.StatusOK {
		var segment wire.Segment
		if decoder.Decode(&segment) != nil {
			break
		}
		answer.Segments = append(answer.Segments, segment)
	}
	return answer
}

// Seen returns the requests that an endpoint received. It bypasses the endpoint's link.
func (r *Running) Seen() seen.Record {
	var record seen.Record
	r.getJSON(seen.Path, &record)
	return record
}

// State returns an engine's actual state. It bypasses the engine's link.
func (r *Running) State() wire.EngineState {
	var state wire.EngineState
	r.getJSON(wire.PathState, &state)
	return state
}

// Faults replaces an engine's faults. It bypasses the engine's link.
func (r *Running) Faults(f engin.Faults) { r.Post(wire.PathFaults, f, nil) }

// ServiceFaults replaces a plain service's faults. It bypasses the service's link.
func (r *Running) ServiceFaults(f servc.Faults) { r.Post(wire.PathFaults, f, nil) }

func (r *Running) getJSON(path string, out any) {
	r.t.Helper()
	resp, err := http.Get(r.URL() + path)
	if err != nil {
		r.t.Fatalf("%s: %v", r.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		r.t.Fatalf("%s: %v", r.Name, err)
	}
}

// Post sends JSON to an endpoint and decodes the response into out unless out is nil. It bypasses the endpoint's link.
func (r *Running) Post(path string, body, out any) {
	r.t.Helper()
	data, _ := json.Marshal(body)
	resp, err := http.Post(r.URL()+path, "application/json", bytes.NewReader(data))
	if err != nil {
		r.t.Logf("%s: %v", r.Name, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		return
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		r.t.Fatalf("%s: %v", r.Name, err)
	}
}
