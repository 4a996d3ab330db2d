package call

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

// HeaderNames holds the names of the header fields that daemons and endpoints exchange. A field named "" is not used.
type HeaderNames struct {
	Request      string // id of the request
	Attempt      string // id of the attempt
	Organisation string
	Deadline     string // milliseconds left for the request
	Expect       string // name of the intended endpoint; any other refuses the request
	NotRun       string // set when the endpoint refused the request without starting it
	Load         string
	Leaving      string // "true" or "1" on every response of an endpoint that accepts no new work
	Limit        string // requests a second that the endpoint takes from all hosts together, while it is in need
	Stamp        string // set on every response that an endpoint made itself; a 2xx response without it is rejected
	Own          func(name string) bool
	// Identity is how an endpoint is asked which incarnation it is, nil when endpoints don't tell.
	Identity *conns.Identity
	// ParseLoad returns the load in tokens from the value of a Load field, -1 for an invalid value.
	ParseLoad func(value string) int
}

// DefaultHeaderNames returns the names of figshift's own protocol.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		Request:      wire.HeaderRequest,
		Attempt:      wire.HeaderAttempt,
		Organisation: wire.HeaderOrganisation,
		NotRun:       wire.HeaderNotRun,
		Load:         wire.HeaderLoad,
		Leaving:      wire.HeaderLeaving,
		Limit:        wire.HeaderLimit,
		ParseLoad:    parseLoad,
		Identity:     &conns.Identity{Path: wire.PathState, Parse: parseIncarnation},
	}
}

// parseIncarnation returns the incarnation of an engine from its state.
func parseIncarnation(state []byte) (string, error) {
	var s wire.EngineState
	err := json.Unmarshal(state, &s)
	return s.Incarnation, err
}

func parseLoad(value string) int {
	load, err := strconv.Atoi(value)
	if err != nil || load < 0 {
		return -1
	}
	return load
}

// refused reports whether the endpoint declares that it did not run the request and that another endpoint might.
func (n *HeaderNames) refused(resp *http.Response) bool {
	if n.Expect != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	retriable := resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests
	notRun := resp.Header.Get(n.NotRun)
	return retriable && notRun != "" && notRun != "false"
}

// IsResponseTo reports whether the endpoint sent resp for the request with this id. On a connection that was in use before
// (reused), a late second response to an earlier request can arrive in its place, with any status. Endpoints that stamp their
// responses repeat the id, at least in those that can come late.
func (n *HeaderNames) IsResponseTo(resp *http.Response, id string, reused bool) bool {
	repeated := resp.Header.Get(n.Request)
	if repeated != "" && repeated != id || repeated == "" && reused && n.Stamp != "" {
		return false
	}
	return n.Stamp == "" || resp.StatusCode/100 != 2 || resp.Header.Get(n.Stamp) != ""
}

// ForeignReason returns the reason of an attempt whose connection delivered a response that is not its own. On a connection
// that was in use before, that says nothing about the endpoint.
func ForeignReason(reused bool) string {
	if reused {
		return event.ReasonForeign
	}
	return event.ReasonBroken
}

// Answered returns the event for the head of an endpoint's answer to a request that was sent at the time sent. An answer
// of another endpoint says nothing of this one, and ok is then false.
func (n *HeaderNames) Answered(endpoint wire.LeaveMark, sent time.Duration, resp *http.Response) (answered event.EndpointAnswered, ok bool) {
	if n.Limit == "" && n.Leaving == "" || n.Expect != "" && resp.StatusCode == http.StatusMisdirectedRequest {
		return answered, false
	}
	answered = limit.Answered(endpoint, sent, resp.Header.Get(n.Limit))
	answered.Leaving = n.leaving(resp.Header)
	return answered, true
}

// leaving reports whether the head of an answer says that the endpoint accepts no new work. Any other value than that says nothing,
// and of several fields one is enough.
func (n *HeaderNames) leaving(h http.Header) bool {
	if n.Leaving == "" {
		return false
	}
	return slices.ContainsFunc(h.Values(n.Leaving), func(value string) bool {
		value = strings.TrimSpace(value)
		return value == headerTrue || value == headerOne
	})
}

func (n *HeaderNames) load(h http.Header) int {
	if n.Load == "" || n.ParseLoad == nil {
		return -1
	}
	return n.ParseLoad(h.Get(n.Load))
}
