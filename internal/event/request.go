package event

import (
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/kinds"
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
	KeyHash    string
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
}

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
}

// VersionRun is a run of tokens made by one weight version.
type VersionRun struct {
	Version uint64
	Tokens  int
}

// CancelRequest is raised to give up a request of this daemon, such as a spare sample.
type CancelRequest struct{ Request uint64 }

func (RequestArrived) isEvent() {}
func (RequestDone) isEvent()    {}
func (CancelRequest) isEvent()  {}

// CallAuthorised answers an AuthoriseCall. Kind is "" when the key is in force.
type CallAuthorised struct {
	Owner        string
	Seq          uint64
	Organisation string
	Kind         kinds.Kind
}

func (CallAuthorised) isEffect() {}
