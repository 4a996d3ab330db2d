package event

import (
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// SampleRef names one try at one sample of a rollout; no two lots or tries share one.
type SampleRef struct {
	Rollout string
	Lot     uint64
	Attempt uint64 // of the lot
	Group   int
	Index   int
}

// RequestArrived is a caller's request whose head and body were read, or a sample's request raised by the rollout part.
// Request is unique in this process. KeyHash is the lower-case hex SHA-256 of the key, "" without one.
type RequestArrived struct {
	Request    uint64
	ID         string `json:",omitempty"` // for people and endpoints, "" where there is none
	KeyHash    string
	Host       string // name that the caller asked for
	Path       string
	Method     string
	Class      config.Class // "" takes the route's class
	Prefix     uint64       // hash of the prompt's head, 0 for none
	Tokens     int          // estimated token cost
	Model      string       // "" takes the route's model
	Generation bool         // the body is a wire.Generate, whose answer can be resumed
	Deadline   time.Duration
	Sample     *SampleRef // nil for a caller's request
	// Organisation is set for a sample's request only, from the rollout's specification.
	Organisation string
	Service      string   // plain service to call, "" takes the route's
	Avoid        []string // endpoints to use only when there is no other
	MinVersion   uint64   // only engines whose true version is known and at least this; 0 for any
	Own          bool     // a call of figshift itself, which needs no key
}

// FirstSampleRequest is the lowest Request of a sample; callers' requests stay below it.
const FirstSampleRequest uint64 = 1 << 63

// RequestDone is raised once for each request when its answer has ended.
type RequestDone struct {
	Request         uint64
	Organisation    string
	Class           config.Class
	Sample          *SampleRef
	Kind            kinds.Kind // "" when the whole answer was delivered
	Endpoint        string
	Price           string
	Attempt         uint64
	Versions        []VersionRun // what the engine reported, in order; empty when it reported none
	PromptTokens    int
	CachedTokens    int
	GeneratedTokens int
	HasUsage        bool
	Took            time.Duration
	Own             bool          // a call of figshift itself
	Began           time.Duration // when an endpoint began to work on it, 0 when none is known to have
}

// VersionRun is a run of tokens made by one weight version.
type VersionRun struct {
	Version uint64
	Tokens  int
}

// CancelRequest is raised to give up a request of this daemon, such as a spare sample.
type CancelRequest struct{ Request uint64 }

// CallerGone says that a caller closed its connection before its answer had ended.
type CallerGone struct{ Request uint64 }

// StartAttempt opens a connection to an endpoint for one attempt at a request; nothing is written before SendAttempt.
// Deadline is the request's. Path is empty for the caller's own path.
type StartAttempt struct {
	Request      uint64
	Attempt      uint64 // unique in this process
	Endpoint     string
	Incarnation  string
	Address      string
	Path         string
	Organisation string
	Model        string
	Priority     int
	Idempotent   bool
	Generation   bool
	PassErrors   bool // hand the endpoint's own 5xx answer on instead of reporting it
	Deadline     time.Duration
	Sample       *SampleRef
}

// SendAttempt lets a connected attempt write. Its first byte must leave before the monotonic time Before.
type SendAttempt struct {
	Request uint64
	Attempt uint64
	Before  time.Duration
}

// StopAttempt ends an attempt as soon as possible; AttemptDone follows.
type StopAttempt struct {
	Request uint64
	Attempt uint64
}

// AnswerRequest ends a request. Kind is "" when the answer has been delivered whole.
type AnswerRequest struct {
	Request    uint64
	Kind       kinds.Kind
	Detail     string
	RetryAfter time.Duration
	Sample     *SampleRef
}

// UseSite hands the configuration in force to the executors, which must not change it.
type UseSite struct{ Site *config.Site }

// AttemptConnected says that an attempt has its connection and has written nothing.
type AttemptConnected struct {
	Request uint64
	Attempt uint64
}

// AttemptHead says that an endpoint answered; Load is its reported load in tokens, -1 without one.
type AttemptHead struct {
	Request uint64
	Attempt uint64
	Status  int
	Load    int
	Leaving bool
}

// AttemptDone ends an attempt. Run is what is true of this attempt; Whole says that its answer was handed on whole.
type AttemptDone struct {
	Request         uint64
	Attempt         uint64
	Run             kinds.Run
	Whole           bool
	Reason          string // why it is not whole, one of the Reason constants
	Begun           bool   // part of an answer has reached the caller, of this attempt or an earlier one
	CanResume       bool   // the part that has reached the caller can be continued by another attempt
	Status          int
	Leaving         bool
	Versions        []VersionRun
	PromptTokens    int
	CachedTokens    int
	GeneratedTokens int
	HasUsage        bool
}

// The reasons for an attempt's end other than a whole answer.
const (
	ReasonDial    = "Dial"    // no connection
	ReasonExpired = "Expired" // the evidence or the deadline lapsed before the first byte
	ReasonRefused = "Refused" // the endpoint said that it did not run the request
	ReasonBroken  = "Broken"  // the connection failed before an answer
	ReasonStatus  = "Status"  // the endpoint answered with a 5xx status
	ReasonCut     = "Cut"     // the answer ended early
	ReasonStopped = "Stopped" // by StopAttempt or the request's deadline
	ReasonCaller  = "Caller"  // the caller could not be written to
	ReasonGone    = "Gone"    // the request's body is not known here any more
)

// PollEndpoint reads one endpoint's load and, for an engine, its state.
type PollEndpoint struct {
	Endpoint    string
	Incarnation string
	Address     string
	Engine      bool
}

// EndpointPolled answers a PollEndpoint. Version is 0 when it is not known.
type EndpointPolled struct {
	Endpoint    string
	Incarnation string
	OK          bool
	Version     uint64
	Tokens      int
	Age         time.Duration
	Leaving     bool
}

// EndpointLeaving is raised when an endpoint incarnation is first known to take no new work.
type EndpointLeaving struct{ Mark wire.LeaveMark }

// DemandSeen is raised about once a second with this daemon's own queued and running tokens.
type DemandSeen struct{ Demand []wire.Demand }

// BeginDrain makes the callers' listener report that it is not ready, for good, and go on accepting.
type BeginDrain struct{}

// StopListening closes the callers' listener; ListenerClosed follows when its last answer has ended.
type StopListening struct{}

// ListenerClosed says that the callers' listener has closed and its answers have ended.
type ListenerClosed struct{}

// Drained is raised once, when a stopping daemon has ended every request that it had accepted.
type Drained struct{}

func (RequestArrived) isEvent()   {}
func (RequestDone) isEvent()      {}
func (CancelRequest) isEvent()    {}
func (CallerGone) isEvent()       {}
func (StartAttempt) isEffect()    {}
func (SendAttempt) isEffect()     {}
func (StopAttempt) isEffect()     {}
func (AnswerRequest) isEffect()   {}
func (UseSite) isEffect()         {}
func (AttemptConnected) isEvent() {}
func (AttemptHead) isEvent()      {}
func (AttemptDone) isEvent()      {}
func (PollEndpoint) isEffect()    {}
func (EndpointPolled) isEvent()   {}
func (EndpointLeaving) isEvent()  {}
func (DemandSeen) isEvent()       {}
func (BeginDrain) isEffect()      {}
func (StopListening) isEffect()   {}
func (ListenerClosed) isEvent()   {}
func (Drained) isEvent()          {}

// CallAuthorised answers an AuthoriseCall. Kind is "" when the key is in force.
type CallAuthorised struct {
	Owner        string
	Seq          uint64
	Organisation string
	Kind         kinds.Kind
}

func (CallAuthorised) isEffect() {}
