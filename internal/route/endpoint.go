package route

import (
	"math"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	maxFailures = 3 // consecutive failures after which an endpoint is ejected
	minEjection = time.Second
	maxEjection = 5 * time.Second
	// An endpoint that refuses requests is healthy and may be full for a moment only.
	refusalEjection = 500 * time.Millisecond
	loadHalfLife    = 2 * time.Second // half-life of a load report in Work
)

// Endpoint is an endpoint incarnation with its load and health as this daemon knows them.
type Endpoint struct {
	wire.Endpoint
	Running int    // active attempts of this daemon
	Tokens  int    // estimated tokens of these attempts
	Version uint64 // weight version that the endpoint itself reported, 0 when it is not known

	reportedTokens int           // load in the latest report
	reportedAt     time.Duration // time at which that load was read
	versionAt      time.Duration
	failures       int           // consecutive failures
	trialAt        time.Duration // time from which an ejected endpoint may get one trial attempt
	trialRunning   bool
	listed         bool
	hasLeaveMark   bool
	unlistedSince  time.Duration // time since which the platform's list lacks it
}

// Key returns the endpoint's name.
func (e *Endpoint) Key() string { return e.Name }

// Work returns the tokens of this daemon's attempts plus the reported load, which decays exponentially with the age of
// the report.
func (e *Endpoint) Work(now time.Duration) float64 {
	age := now - e.reportedAt
	return float64(e.Tokens) + float64(e.reportedTokens)*math.Exp2(-float64(age)/float64(loadHalfLife))
}

// Idle reports whether this daemon has no active attempt at the endpoint and no failure since the last success.
func (e *Endpoint) Idle() bool { return e.Running == 0 && e.failures == 0 }

// Ejected reports whether the endpoint gets no requests at time now because of consecutive failures.
func (e *Endpoint) Ejected(now time.Duration) bool {
	return e.failures >= maxFailures && (now < e.trialAt || e.trialRunning)
}

// Load returns the latest reported load in tokens.
func (e *Endpoint) Load() int { return e.reportedTokens }

func (e *Endpoint) start(tokens int) {
	e.Running++
	e.Tokens += tokens
	e.trialRunning = e.failures >= maxFailures
}

func (e *Endpoint) end(now time.Duration, tokens int, result Result) {
	e.Running--
	e.Tokens -= tokens
	e.trialRunning = false
	switch result {
	case Succeeded:
		e.failures = 0
	case Failed:
		e.failures++
		e.trialAt = now + ejectionTime(e.failures-maxFailures)
	case Refused:
		e.failures = min(e.failures+1, maxFailures)
		e.trialAt = now + refusalEjection
	case Inconclusive:
	}
}

// ejectionTime returns the length of an ejection: minEjection, doubled for each further failure, up to maxEjection.
func ejectionTime(doublings int) time.Duration {
	d := minEjection
	for i := 0; i < doublings && d < maxEjection; i++ {
		d *= 2
	}
	return min(d, maxEjection)
}

// Result is what an attempt shows about the health of its endpoint.
type Result int

// The results of an attempt.
const (
	Succeeded    Result = iota // the attempt succeeded
	Failed                     // the endpoint or the connection to it failed
	Refused                    // the endpoint replied that it did not run the request
	Inconclusive               // the attempt says nothing about the endpoint's health
)
