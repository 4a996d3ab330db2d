package wire

// PathPass is the path at which a host takes calls that other hosts pass on.
const PathPass = "/pass"

// Headers of the answers to passed calls.
const (
	// HeaderPassed is "Answer" for the answer of an endpoint, and otherwise the kind of the refusal.
	HeaderPassed = "X-Figshift-Passed"
	// HeaderUnframed is set when the endpoint's answer has no length and ends with its connection.
	HeaderUnframed = "X-Figshift-Unframed"
	PassedAnswer   = "Answer"
)

// PassTerms are what a host that passes a call on has decided about it. It has checked the key, which is not passed on.
type PassTerms struct {
	Service    string
	Class      string
	Idempotent bool
	Streaming  bool
	TargetMS   int64  // time within which an answer is wanted, 0 if it is not known
	Bound      bool   // only endpoints with Software can go on with the call's stream
	Software   string `msgpack:",omitempty"`
	Resumes    string `msgpack:",omitempty"` // as in event.RequestArrived
	Again      bool   `msgpack:",omitempty"` // an attempt was made before, so that the call may wait for an endpoint
	Tokens     int
	Digest     string `msgpack:",omitempty"` // as in event.RequestArrived
}

// PassedCall is a call that a host passes on to another one, since it reaches no endpoint itself. The receiver makes one
// attempt at it.
type PassedCall struct {
	ID           string
	Host         string
	Method       string
	Target       string
	Header       map[string][]string
	Body         []byte
	Organisation string
	DeadlineMS   int64 // time left
	Terms        PassTerms
}
