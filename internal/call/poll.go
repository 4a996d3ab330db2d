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
	pollMost    = 64 << 10 // bytes of an answer
)

// poll reads an endpoint's load and, of an engine, its state.
func (x *Executor) poll(c event.PollEndpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	done := event.EndpointPolled{Endpoint: c.Endpoint, Incarnation: c.Incarnation}
	var load wire.EndpointLoad
	if x.get(ctx, c.Address+wire.PathLoad, &load) {
		done.OK = true
		done.Tokens = load.QueuedTokens + load.RunningTokens
		done.Age = time.Duration(load.AgeMS) * time.Millisecond
		done.Leaving = load.Leaving
	}
	var state wire.EngineState
	if c.Engine && x.get(ctx, c.Address+wire.PathState, &state) && state.Incarnation == c.Incarnation {
		done.Version = state.Version
	}
	x.Post(done)
}

func (x *Executor) get(ctx context.Context, target string, into any) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target, nil)
	if err != nil {
		return false
	}
	resp, err := x.polls.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body := http.MaxBytesReader(nil, resp.Body, pollMost)
	return resp.StatusCode == http.StatusOK && json.NewDecoder(body).Decode(into) == nil
}
