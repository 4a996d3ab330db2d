// Package kinds defines the error kinds and the response that a caller gets for each of them.
package kinds

import "net/http"

// Kind is the reason why figshift refused a request or failed to complete it.
type Kind string

// All kinds. Any other value is handled as Internal.
const (
	BadRequest         Kind = "BadRequest"
	BadCursor          Kind = "BadCursor"
	BodyTooLarge       Kind = "BodyTooLarge"
	KeyMissing         Kind = "KeyMissing"
	KeyUnknown         Kind = "KeyUnknown"
	KeyWithdrawn       Kind = "KeyWithdrawn"
	Forbidden          Kind = "Forbidden"
	RouteUnknown       Kind = "RouteUnknown"
	AuthorityStale     Kind = "AuthorityStale"
	QueueFull          Kind = "QueueFull"
	DeadlineTooShort   Kind = "DeadlineTooShort"
	DeadlineExceeded   Kind = "DeadlineExceeded"
	NoEndpoint         Kind = "NoEndpoint"
	EndpointRefused    Kind = "EndpointRefused"
	OutcomeUnknown     Kind = "OutcomeUnknown"
	StreamCut          Kind = "StreamCut"
	Stopping           Kind = "Stopping"
	StoreUnavailable   Kind = "StoreUnavailable"
	StoreRefused       Kind = "StoreRefused"
	HistoryGone        Kind = "HistoryGone"
	Conflict           Kind = "Conflict"
	NotFound           Kind = "NotFound"
	NotHolder          Kind = "NotHolder"
	NotReady           Kind = "NotReady"
	ConsumerHeld       Kind = "ConsumerHeld"
	LotNotReady        Kind = "LotNotReady"
	ConfigInvalid      Kind = "ConfigInvalid"
	CredentialInvalid  Kind = "CredentialInvalid"
	RateLimited        Kind = "RateLimited"
	MemoryShort        Kind = "MemoryShort"
	BodyTooSlow        Kind = "BodyTooSlow"
	EndpointsLimited   Kind = "EndpointsLimited"
	EndpointsCrashed   Kind = "EndpointsCrashed"
	StreamUnresumable  Kind = "StreamUnresumable"
	EndpointsUnreached Kind = "EndpointsUnreached"
	Internal           Kind = "Internal"
)

// Run tells whether an endpoint ran the request.
type Run string

// The values of Run. Unknown means that the request may or may not have run.
const (
	NotRun  Run = "NotRun"
	Unknown Run = "Unknown"
	Ran     Run = "Ran"
)

// Answer is the response to the caller for a kind.
type Answer struct {
	Status     int // HTTP status
	Run        Run
	RetryAfter bool // the response has a Retry-After header
}

var answers = map[Kind]Answer{
	BadRequest:         {http.StatusBadRequest, NotRun, false},
	BadCursor:          {http.StatusBadRequest, NotRun, false},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, NotRun, false},
	KeyMissing:         {http.StatusUnauthorized, NotRun, false},
	KeyUnknown:         {http.StatusUnauthorized, NotRun, false},
	KeyWithdrawn:       {http.StatusUnauthorized, NotRun, false},
	Forbidden:          {http.StatusForbidden, NotRun, false},
	RouteUnknown:       {http.StatusNotFound, NotRun, false},
	AuthorityStale:     {http.StatusServiceUnavailable, NotRun, true},
	QueueFull:          {http.StatusTooManyRequests, NotRun, true},
	DeadlineTooShort:   {http.StatusServiceUnavailable, NotRun, true},
	DeadlineExceeded:   {http.StatusGatewayTimeout, NotRun, true},
	NoEndpoint:         {http.StatusServiceUnavailable, NotRun, true},
	EndpointRefused:    {http.StatusServiceUnavailable, NotRun, true},
	OutcomeUnknown:     {http.StatusBadGateway, Unknown, false},
	StreamCut:          {http.StatusBadGateway, Unknown, false},
	Stopping:           {http.StatusServiceUnavailable, NotRun, true},
	StoreUnavailable:   {http.StatusServiceUnavailable, NotRun, true},
	StoreRefused:       {http.StatusServiceUnavailable, NotRun, true},
	HistoryGone:        {http.StatusGone, NotRun, false},
	Conflict:           {http.StatusConflict, NotRun, false},
	NotFound:           {http.StatusNotFound, NotRun, false},
	NotHolder:          {http.StatusServiceUnavailable, NotRun, true},
	NotReady:           {http.StatusServiceUnavailable, NotRun, true},
	ConsumerHeld:       {http.StatusConflict, NotRun, true},
	LotNotReady:        {http.StatusServiceUnavailable, NotRun, true},
	ConfigInvalid:      {http.StatusUnprocessableEntity, NotRun, false},
	CredentialInvalid:  {http.StatusUnauthorized, NotRun, false},
	RateLimited:        {http.StatusTooManyRequests, NotRun, true},
	MemoryShort:        {http.StatusServiceUnavailable, NotRun, true},
	BodyTooSlow:        {http.StatusRequestTimeout, NotRun, false},
	EndpointsLimited:   {http.StatusServiceUnavailable, NotRun, true},
	EndpointsCrashed:   {http.StatusBadGateway, NotRun, false},
	StreamUnresumable:  {http.StatusServiceUnavailable, NotRun, true},
	EndpointsUnreached: {http.StatusServiceUnavailable, NotRun, true},
	Internal:           {http.StatusInternalServerError, Unknown, false},
}

// AnswerFor returns the answer for k, and the answer for Internal if k is not one of the kinds above. It may be called
// concurrently.
func AnswerFor(k Kind) Answer {
	if a, ok := answers[k]; ok {
		return a
	}
	return answers[Internal]
}

// All returns all kinds in unspecified order. It may be called concurrently.
func All() []Kind {
	all := make([]Kind, 0, len(answers))
	for k := range answers {
		all = append(all, k)
	}
	return all
}
