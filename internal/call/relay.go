package call

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/wire"
)

// passMargin is the part of a request's time that is kept for the way back from the other host, so that an endpoint's answer
// at the deadline arrives.
const passMargin = 10 * time.Millisecond

// Relays finds the hosts that take calls from this one.
type Relays interface {
	// Address returns the address of a host's listener for other hosts, "" for an unknown one. It is called concurrently.
	Address(host string) string
}

// newRelayRequest builds the request to the host that is to make the attempt.
func (a *attempt) newRelayRequest() (*http.Request, error) {
	x := a.executor
	address := ""
	if x.Relays != nil {
		address = x.Relays.Address(a.start.Relay)
	}
	if address == "" {
		return nil, kinds.New(kinds.EndpointsUnreached, "host %s is not known", a.start.Relay)
	}
	body, err := msgpack.Marshal(wire.PassedCall{
		ID: a.exchange.ID, Host: a.exchange.Host, Method: a.exchange.Method, Target: a.exchange.Target, Header: a.exchange.Header, Body: a.exchange.Body,
		Organisation: a.start.Organisation, DeadlineMS: max(1, (a.start.Deadline - x.Now() - passMargin).Milliseconds()), Terms: *a.start.Pass,
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(a.traced(), http.MethodPost, "http://"+address+wire.PathPass, nil)
	if err != nil {
		return nil, err
	}
	req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	req.Header.Set(relay.HeaderSecret, x.Secret)
	return req, nil
}

// handleRelayed handles the answer of the host that made the attempt. A refusal tells whether the request ran.
func (a *attempt) handleRelayed(resp *http.Response) {
	passed := resp.Header.Get(wire.HeaderPassed)
	if passed != wire.PassedAnswer {
		a.report.Refusal = kinds.Kind(passed)
	}
	switch {
	case resp.StatusCode == http.StatusForbidden && passed == "":
		a.fail(event.ReasonRefused) // the host takes no calls from this one
	case passed == "":
		a.fail(event.ReasonBroken)
	case passed != wire.PassedAnswer && kinds.AnswerFor(kinds.Kind(passed)).Run == kinds.NotRun:
		a.fail(event.ReasonRefused)
	case passed != wire.PassedAnswer:
		a.fail(event.ReasonBroken)
	default:
		a.report.Status = resp.StatusCode
		a.executor.Post(event.AttemptHead{Request: a.start.Request, Attempt: a.start.Attempt, Status: resp.StatusCode, Load: -1})
		a.forwardAnswer(resp)
	}
}
