package flow

import (
	"time"

	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

type phase int

const (
	queued     phase = iota
	connecting       // an attempt has started and has not been let to write
	running          // an attempt may write
	stopping         // an attempt was told to end
	backingOff
)

// request is one request that has no answer yet.
type request struct {
	arrived      event.RequestArrived
	route        config.Route
	organisation string
	class        config.Class
	pool         string
	generation   bool
	idempotent   bool
	deadline     time.Duration
	started      time.Duration
	phase        phase
	item         admit.Item[uint64]

	attempt     uint64
	tries       int
	sentAt      time.Duration
	began       time.Duration // when the endpoint of the last answer began to work on it, 0 before one
	charged     bool          // the queue counts its cost as served
	endpoint    string
	incarnation string
	price       string
	tried       []string

	stop     kinds.Kind // why it was told to end
	givenUp  bool       // nobody waits for it any more: its caller has gone, or its sample is not needed
	mayRun   bool       // an attempt wrote something that may have run
	begun    bool       // part of the answer has reached the caller
	versions []event.VersionRun
	prompt   int
	cached   int
	made     int
	hasUsage bool
	status   int // of the last answer of an endpoint, 0 without one
}

func (r *request) id() uint64 { return r.arrived.Request }

func (r *request) keyed() bool { return r.arrived.KeyHash != "" && !r.route.Open }

func (r *request) classTag() []event.Field {
	return []event.Field{{Key: "Class", Value: string(r.class)}}
}

// add takes what an attempt reported.
func (r *request) add(e event.AttemptDone) {
	r.mayRun = r.mayRun || e.Run != kinds.NotRun
	r.begun = r.begun || e.Begun
	for _, v := range e.Versions {
		r.addVersion(v)
	}
	r.prompt = max(r.prompt, e.PromptTokens)
	r.cached = max(r.cached, e.CachedTokens)
	r.made += e.GeneratedTokens
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

// truth returns the kind to answer with, so that it never says "not run" of a request that may have run.
func (r *request) truth(kind kinds.Kind) kinds.Kind {
	if r.begun {
		return kinds.StreamCut
	}
	if r.mayRun && kinds.Of(kind).Run == kinds.NotRun {
		return kinds.OutcomeUnknown
	}
	return kind
}
