package call

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	pollTimeout = 800 * time.Millisecond
	maxPollBody = 64 << 10 // bytes of a response
)

// poll reads the load of an endpoint and, for an engine, its state, and posts EndpointPolled.
func (x *Executor) poll(c event.PollEndpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	polled := event.EndpointPolled{Endpoint: c.Endpoint, Incarnation: c.Incarnation}
	var load wire.EndpointLoad
	if x.getJSON(ctx, c, wire.PathLoad, &load) {
		polled.OK = true
		polled.Tokens = load.QueuedTokens + load.RunningTokens
		polled.Age = time.Duration(load.AgeMS) * time.Millisecond
		polled.Leaving = load.Leaving
	}
	var state wire.EngineState
	if c.Engine && x.getJSON(ctx, c, wire.PathState, &state) && state.Incarnation == c.Incarnation {
		polled.Version = state.Version
	}
	x.Post(polled)
}

func (x *Executor) getJSON(ctx context.Context, c event.PollEndpoint, path string, result any) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Address+path, nil)
	if err != nil {
		return false
	}
	sent := x.Now()
	resp, err := x.polls.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if answered, ok := x.Names.Answered(wire.LeaveMark{Endpoint: c.Endpoint, Incarnation: c.Incarnation}, sent, resp); ok {
		x.Post(answered)
	}
	body := http.MaxBytesReader(nil, resp.Body, maxPollBody)
	return resp.StatusCode == http.StatusOK && json.NewDecoder(body).Decode(result) == nil
}
