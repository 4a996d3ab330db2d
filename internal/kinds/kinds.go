// Package kinds holds the closed list of error kinds and the table from a kind to its answer.
package kinds

import "net/http"

// Kind names one way in which figshift refuses or fails a request.
type Kind string

// The closed list of kinds.
const (
	BadRequest        Kind = "BadRequest"
	BadCursor         Kind = "BadCursor"
	BodyTooLarge      Kind = "BodyTooLarge"
	KeyMissing        Kind = "KeyMissing"
	KeyUnknown        Kind = "KeyUnknown"
	KeyWithdrawn      Kind = "KeyWithdrawn"
	Forbidden         Kind = "Forbidden"
	RouteUnknown      Kind = "RouteUnknown"
	AuthorityStale    Kind = "AuthorityStale"
	QueueFull         Kind = "QueueFull"
	DeadlineTooShort  Kind = "DeadlineTooShort"
	DeadlineExceeded  Kind = "DeadlineExceeded"
	NoEndpoint        Kind = "NoEndpoint"
	EndpointRefused   Kind = "EndpointRefused"
	OutcomeUnknown    Kind = "OutcomeUnknown"
	StreamCut         Kind = "StreamCut"
	Stopping          Kind = "Stopping"
	StoreUnavailable  Kind = "StoreUnavailable"
	StoreRefused      Kind = "StoreRefused"
	HistoryGone       Kind = "HistoryGone"
	Conflict          Kind = "Conflict"
	NotFound          Kind = "NotFound"
	NotHolder         Kind = "NotHolder"
	NotReady          Kind = "NotReady"
	ConsumerHeld      Kind = "ConsumerHeld"
	LotNotReady       Kind = "LotNotReady"
	ConfigInvalid     Kind = "ConfigInvalid"
	CredentialInvalid Kind = "CredentialInvalid"
	RateLimited       Kind = "RateLimited"
	Internal          Kind = "Internal"
)

// Run says what is known about the request's run on an endpoint.
type Run string

// The three truths about a run.
const (
	NotRun  Run = "NotRun"
	Unknown Run = "Unknown"
	Ran     Run = "Ran"
)

// Answer is what a caller is told for a kind.
type Answer struct {
	Status     int
	Run        Run
	RetryAfter bool
}

var table = map[Kind]Answer{
	BadRequest:        {http.StatusBadRequest, NotRun, false},
	BadCursor:         {http.StatusBadRequest, NotRun, false},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, NotRun, false},
	KeyMissing:        {http.StatusUnauthorized, NotRun, false},
	KeyUnknown:        {http.StatusUnauthorized, NotRun, false},
	KeyWithdrawn:      {http.StatusUnauthorized, NotRun, false},
	Forbidden:         {http.StatusForbidden, NotRun, false},
	RouteUnknown:      {http.StatusNotFound, NotRun, false},
	AuthorityStale:    {http.StatusServiceUnavailable, NotRun, true},
	QueueFull:         {http.StatusTooManyRequests, NotRun, true},
	DeadlineTooShort:  {http.StatusServiceUnavailable, NotRun, true},
	DeadlineExceeded:  {http.StatusGatewayTimeout, NotRun, true},
	NoEndpoint:        {http.StatusServiceUnavailable, NotRun, true},
	EndpointRefused:   {http.StatusServiceUnavailable, NotRun, true},
	OutcomeUnknown:    {http.StatusBadGateway, Unknown, false},
	StreamCut:         {http.StatusBadGateway, Unknown, false},
	Stopping:          {http.StatusServiceUnavailable, NotRun, true},
	StoreUnavailable:  {http.StatusServiceUnavailable, NotRun, true},
	StoreRefused:      {http.StatusServiceUnavailable, NotRun, true},
	HistoryGone:       {http.StatusGone, NotRun, false},
	Conflict:          {http.StatusConflict, NotRun, false},
	NotFound:          {http.StatusNotFound, NotRun, false},
	NotHolder:         {http.StatusServiceUnavailable, NotRun, true},
	NotReady:          {http.StatusServiceUnavailable, NotRun, true},
	ConsumerHeld:      {http.StatusConflict, NotRun, true},
	LotNotReady:       {http.StatusServiceUnavailable, NotRun, true},
	ConfigInvalid:     {http.StatusUnprocessableEntity, NotRun, false},
	CredentialInvalid: {http.StatusUnauthorized, NotRun, false},
	RateLimited:       {http.StatusTooManyRequests, NotRun, true},
	Internal:          {http.StatusInternalServerError, Unknown, false},
}

// Of returns the answer for k; a kind outside the list gets the answer of Internal.
// It may be called concurrently.
func Of(k Kind) Answer {
	if a, ok := table[k]; ok {
		return a
	}
	return table[Internal]
}

// All returns every kind of the closed list, in no set order.
// It may be called concurrently.
func All() []Kind {
	all := make([]Kind, 0, len(table))
	for k := range table {
		all = append(all, k)
	}
	return all
}
