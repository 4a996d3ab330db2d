package flow

import (
	"time"

	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

type phase int

const (
	queued     phase = iota
	connecting       // an attempt has started and may not write yet
	running          // an attempt may write
	stopping         // StopAttempt was emitted for the running attempt
	backingOff       // waiting for the next attempt
	seeking          // other hosts are asked where the stream began that the request takes up
)

// request is a request that has not been answered yet.
type request struct {
	arrived      event.RequestArrived
	route        config.Route
	organisation string
	class        config.Class
	pool         string
	generation   bool
	idempotent   bool
	deadline     time.Duration
	arrivedAt    time.Duration
	phase        phase
	item         admit.Item[uint64]

	attempt        uint64
	attempts       int
	sentAt         time.Duration
	workStartedAt  time.Duration // send time of the last attempt known to have been processed by an endpoint, 0 for none
	charged        bool          // the queue has charged the estimated cost
	endpoint       string
	incarnation    string
	price          string
	sentTo         wire.Endpoint // endpoint of the last attempt
	software       *string       // the only software version that may go on with the answer, nil for any
	triedEndpoints []string
	service        string // to which the request goes
	relay          string // host through which the last attempt went, "" for none
	triedRelays    []string
	headSeen       bool // the head of the running attempt's answer has arrived
	rerouted       bool // the running attempt was ended because this host is cut off

	isolated        bool       // the running attempt is that of a suspected request
	stopKind        kinds.Kind // why StopAttempt was emitted, "" when it was not
	abandoned       bool       // the caller has disconnected, or the sample is no longer needed
	mayHaveRun      bool       // an attempt wrote a request that an endpoint may have run
	answerStarted   bool       // part of the answer has reached the caller
	versions        []event.VersionRun
	promptTokens    int
	cachedTokens    int
	generatedTokens int
	hasUsage        bool
	status          int // HTTP status of the last attempt, 0 without an answer
}

func (r *request) id() uint64 { return r.arrived.Request }

// waits reports whether no attempt is under way.
func (r *request) waits() bool {
	return r.phase == queued || r.phase == backingOff || r.phase == seeking
}

func (r *request) needsKey() bool { return r.arrived.KeyHash != "" && !r.route.Open }

func (r *request) classTags() []event.Field {
	return []event.Field{{Key: "Class", Value: string(r.class)}}
}

// addResult merges the result of an attempt.
func (r *request) addResult(e event.AttemptDone) {
	r.mayHaveRun = r.mayHaveRun || e.Run != kinds.NotRun
	r.answerStarted = r.answerStarted || e.Begun
	for _, v := range e.Versions {
		r.addVersion(v)
	}
	r.promptTokens = max(r.promptTokens, e.PromptTokens)
	r.cachedTokens = max(r.cachedTokens, e.CachedTokens)
	r.generatedTokens += e.GeneratedTokens
	r.hasUsage = r.hasUsage || e.HasUsage
	r.status = e.Status
}

func (r *request) addVersion(v event.VersionRun) {
	if n := len(r.versions); n > 0 && r.versions[n-1].Version == v.Version {
		r.versions[n-1].Tokens += v.Tokens
		return
	}
	r.versions = append(r.versions, v)
}

// correctKind returns StreamCut once part of the answer has reached the caller, and OutcomeUnknown in place of a kind
// that would tell the caller that a request was not run although it may have.
func (r *request) correctKind(kind kinds.Kind) kinds.Kind {
	if r.answerStarted {
		return kinds.StreamCut
	}
	if r.mayHaveRun && kinds.AnswerFor(kind).Run == kinds.NotRun {
		return kinds.OutcomeUnknown
	}
	return kind
}
