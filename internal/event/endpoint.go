package event

import "time"

// EndpointAnswered reports the head of an answer of an endpoint to anything that was sent to it: a request, an item, an
// order or a poll.
type EndpointAnswered struct {
	Endpoint    string
	Incarnation string
	Sent        time.Duration // when the request was sent
	// Limited reports whether the answer names a limit, which PerSecond holds: the requests a second that the endpoint
	// takes from all hosts together.
	Limited   bool
	PerSecond float64
	// Malformed is the beginning of a limit that cannot be read, "" without one. The answer then says nothing of limits.
	Malformed string
}

func (EndpointAnswered) isEvent() {}
