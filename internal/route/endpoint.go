package route

import (
	"math"
	"time"

	"github.com/figshift/figshift/internal/wire"
)

const (
	ejectAfter   = 3 // consecutive failures
	ejectFirst   = time.Second
	ejectLongest = 5 * time.Second
	// An endpoint that refuses is well and may be full for a moment only.
	ejectRefusing = 500 * time.Millisecond
	loadHalfLife  = 2 * time.Second
)

// Endpoint is one endpoint incarnation with what this daemon knows of it.
type Endpoint struct {
	wire.Endpoint
	Running int    // attempts of this daemon
	Tokens  int    // their estimated tokens
	Version uint64 // true weight version, 0 when it is not known

	load      int // reported tokens
	loadAt    time.Duration
	versionAt time.Duration
	failures  int
	openAt    time.Duration // time at which an ejected endpoint gets one trial
	trial     bool
	listed    bool
	left      bool          // has a leave mark
	missing   time.Duration // time since which the list lacks it
}

// Key returns the endpoint's name.
func (e *Endpoint) Key() string { return e.Name }

// Work returns the tokens of this daemon's attempts and the reported ones, aged by the report's lag.
func (e *Endpoint) Work(now time.Duration) float64 {
	age := now - e.loadAt
	return float64(e.Tokens) + float64(e.load)*math.Exp2(-float64(age)/float64(loadHalfLife))
}

// Idle reports whether no attempt of this daemon runs there and its last one succeeded.
func (e *Endpoint) Idle() bool { return e.Running == 0 && e.failures == 0 }

// Ejected reports whether consecutive failures keep the endpoint from work at time now.
func (e *Endpoint) Ejected(now time.Duration) bool {
	return e.failures >= ejectAfter && (now < e.openAt || e.trial)
}

// Load returns the last reported load in tokens.
func (e *Endpoint) Load() int { return e.load }

func (e *Endpoint) start(tokens int) {
	e.Running++
	e.Tokens += tokens
	e.trial = e.failures >= ejectAfter
}

func (e *Endpoint) end(now time.Duration, tokens int, result Result) {
	e.Running--
	e.Tokens -= tokens
	e.trial = false
	switch result {
	case Succeeded:
		e.failures = 0
	case Failed:
		e.failures++
		e.openAt = now + ejectFor(e.failures-ejectAfter)
	case Refusing:
		e.failures = min(e.failures+1, ejectAfter)
		e.openAt = now + ejectRefusing
	case Undecided:
	}
}

func ejectFor(extra int) time.Duration {
	d := ejectFirst
	for i := 0; i < extra && d < ejectLongest; i++ {
		d *= 2
	}
	return min(d, ejectLongest)
}

// Result says what an attempt showed of its endpoint's health.
type Result int

// The results of an attempt.
const (
	Succeeded Result = iota
	Failed
	Refusing // said that it did not run the request
	Undecided
)
