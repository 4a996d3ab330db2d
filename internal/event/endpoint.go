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
	Leaving   bool // the endpoint accepts no new work
}

// EndpointIdentified reports what the endpoint at the other end of a new connection has told of itself. Found is its
// incarnation, "" when it does not tell it; Incarnation is the one that was meant. With Reused it tells nothing new: Uncounted
// is the number of questions that were asked beyond the one that was counted against the endpoint's limit, -1 when none was.
type EndpointIdentified struct {
	Endpoint    string
	Incarnation string
	Found       string
	Reused      bool
	Uncounted   int
}

// ProbeEndpoint asks an endpoint for a sign of life; EndpointProbed answers within about Timeout.
type ProbeEndpoint struct {
	Endpoint    string
	Incarnation string
	Address     string
	Kept        bool // on a connection that is kept from one probe to the next, otherwise on a new one
	Timeout     time.Duration
}

// EndpointProbed ends a ProbeEndpoint. Answered reports whether anything answered.
type EndpointProbed struct {
	Endpoint    string
	Incarnation string
	Answered    bool
}

// LinksChanged is raised when this host has lost its links to the endpoints, or has them back.
type LinksChanged struct{ CutOff bool }

func (ProbeEndpoint) isEffect()     {}
func (EndpointProbed) isEvent()     {}
func (LinksChanged) isEvent()       {}
func (EndpointAnswered) isEvent()   {}
func (EndpointIdentified) isEvent() {}
