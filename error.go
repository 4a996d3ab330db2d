package figshift

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Kind names a way in which a request is refused or fails.
type Kind = kinds.Kind

// Run is what is known about whether a request ran on an endpoint.
type Run = kinds.Run

// Values of Run.
const (
	NotRun  = kinds.NotRun
	Unknown = kinds.Unknown
	Ran     = kinds.Ran
)

// Error is a refusal or failure reported by the service.
type Error struct {
	Status     int // HTTP status
	Kind       Kind
	Run        Run
	Detail     string
	Request    string        // request id, to be quoted to the operators
	RetryAfter time.Duration // 0 if the service gives none
}

// Error returns the kind, what is known about the run, and the detail on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Kind, e.Run, e.Detail)
}

// maxErrorBytes bounds how much of a refusal's body is read.
const maxErrorBytes = 64 << 10

// readError decodes a refusal. For an answer that is not the service's own, such as a load balancer's, Run is
// Unknown.
func readError(resp *http.Response) error {
	var body wire.Refusal
	payload, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err := json.Unmarshal(payload, &body); err != nil || body.Kind == "" {
		return &Error{Status: resp.StatusCode, Kind: kinds.Internal, Run: Unknown, Detail: resp.Status}
	}
	return &Error{
		Status:     resp.StatusCode,
		Kind:       Kind(body.Kind),
		Run:        Run(body.Run),
		Detail:     body.Detail,
		Request:    body.Request,
		RetryAfter: time.Duration(body.RetryAfterMS) * time.Millisecond,
	}
}
