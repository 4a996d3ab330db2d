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

// Response is the response that a caller received. Err is set when it is missing or incomplete; Status is 0 when it is
// missing.
type Response struct {
	Status   int
	Header   http.Header
	Body     string
	Segments []wire.Segment
	Err      error
	Duration time.Duration
}

// Tokens returns the tokens of all segments.
func (r Response) Tokens() []string {
	var tokens []string
	for _, segment := range r.Segments {
		tokens = append(tokens, segment.Tokens...)
	}
	return tokens
}

// Complete reports whether the response to a generation request is complete, that is, ends with a segment marked Done.
func (r Response) Complete() bool {
	n := len(r.Segments)
	return r.Err == nil && r.Status == http.StatusOK && n > 0 && r.Segments[n-1].Done
}

// Echo decodes the response body of a plain service.
func (r Response) Echo() servc.Echo {
	var echo servc.Echo
	_ = json.Unmarshal([]byte(r.Body), &echo)
	return echo
}

// Get sends a GET request to the daemon with a key ("" for none).
func (h *Host) Get(path, key string) Response { return h.Call(http.MethodGet, path, key, "") }

// Post sends a POST request to the daemon with a key ("" for none) and a body.
func (h *Host) Post(path, key, body string) Response { return h.Call(http.MethodPost, path, key, body) }

// Call sends one request to the daemon and reads the whole response.
func (h *Host) Call(method, path, key, body string) Response {
	req, err := http.NewRequest(method, h.URL()+path, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	return h.cluster.Do(req)
}

// Do sends a request that the test has built and reads the whole response.
func (c *Cluster) Do(req *http.Request) Response {
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{Err: err, Duration: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err, Duration: time.Since(start)}
}

// Generate sends a generation request and decodes the segments of the response. The model is Model when none is set.
func (h *Host) Generate(key string, request wire.Generate) Response {
	if request.Model == "" {
		request.Model = Model
	}
	data, _ := json.Marshal(request)
	response := h.Post(wire.PathGenerate, key, string(data))
	decoder := json.NewDecoder(bytes.NewReader([]byte(response.Body)))
	for response.Status == http.StatusOK {
		var segment wire.Segment
		if decoder.Decode(&segment) != nil {
			break
		}
		response.Segments = append(response.Segments, segment)
	}
	return response
}

// Received returns the requests that an endpoint received. It bypasses the endpoint's link.
func (r *RunningEndpoint) Received() seen.Record {
	var record seen.Record
	r.getJSON(seen.Path, &record)
	return record
}

// State returns an engine's actual state. It bypasses the engine's link.
func (r *RunningEndpoint) State() wire.EngineState {
	var state wire.EngineState
	r.getJSON(wire.PathState, &state)
	return state
}

// SetFaults replaces an engine's faults. It bypasses the engine's link.
func (r *RunningEndpoint) SetFaults(f engin.Faults) { r.Post(wire.PathFaults, f, nil) }

// SetServiceFaults replaces a plain service's faults. It bypasses the service's link.
func (r *RunningEndpoint) SetServiceFaults(f servc.Faults) { r.Post(wire.PathFaults, f, nil) }

func (r *RunningEndpoint) getJSON(path string, out any) {
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
func (r *RunningEndpoint) Post(path string, body, out any) {
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
