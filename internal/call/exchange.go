package call

import (
	"context"
	"net/http"
	"sync"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Sink takes an answer on behalf of the requester. Its methods are called by one goroutine, except Interrupt.
type Sink interface {
	// Head starts an answer that is handed on as the endpoint gives it.
	Head(status int, header http.Header) error
	// Body hands on the next bytes of the answer.
	Body(p []byte) error
	// Trailer ends the answer's body with trailing fields.
	Trailer(trailer http.Header)
	// Segment hands on the next segment of a generation.
	Segment(s wire.Segment) error
	// Interrupt unblocks a write that is under way. It may be called concurrently.
	Interrupt()
}

// commandsAhead is the number of commands that can wait for an exchange: a start and an answer.
const commandsAhead = 4

// Exchange is a request with its body and the place for its answer. Its exported fields are set before Open.
type Exchange struct {
	Request  uint64
	ID       string // for people and endpoints; Open sets one where there is none
	Host     string // name that the caller asked for, "" takes the endpoint's address
	Method   string
	Target   string      // path and query, escaped
	Header   http.Header // without key, connection fields and figshift's own
	Body     []byte
	Generate *wire.Generate // in place of Body for a generation
	Sink     Sink

	commands chan event.Effect
	begun    bool     // part of an answer was handed on
	mayRun   bool     // an attempt wrote something that may have run
	failed   int      // attempts that endpoints answered with status 500
	held     []string // tokens handed on
	prompt   int
	cached   int
	made     int

	mu      sync.Mutex
	current *attempt
	stopped uint64 // highest attempt that was told to end
}

// Run carries out the attempts of the exchange until its answer, which it returns. When ctx ends it calls gone
// once and goes on until the answer. One goroutine calls it.
func (e *Exchange) Run(ctx context.Context, x *Executor, gone func()) event.AnswerRequest {
	done := ctx.Done()
	for {
		select {
		case command := <-e.commands:
			switch c := command.(type) {
			case event.StartAttempt:
				report := x.try(ctx, e, c)
				e.mayRun = e.mayRun || report.Run != kinds.NotRun
				e.count(report)
				x.Post(report)
			case event.AnswerRequest:
				return c
			}
		case <-x.ended:
			return event.AnswerRequest{Request: e.Request, Kind: e.cutKind()}
		case <-done:
			done = nil
			gone()
		}
	}
}

// cutKind returns the kind for a request that the end of the process cuts.
func (e *Exchange) cutKind() kinds.Kind {
	if e.mayRun {
		return kinds.OutcomeUnknown
	}
	return kinds.Stopping
}

// Failed returns the number of attempts that endpoints answered with status 500. The goroutine of Run calls it.
func (e *Exchange) Failed() int { return e.failed }

// count notes an endpoint's own failure. Other 5xx statuses tell of a full or leaving endpoint, or of a deadline.
func (e *Exchange) count(report event.AttemptDone) {
	if report.Status == http.StatusInternalServerError && report.Reason != event.ReasonRefused {
		e.failed++
	}
}

// Begun reports whether part of an answer was handed on. The goroutine of Run calls it.
func (e *Exchange) Begun() bool { return e.begun }

// hold makes a the running attempt; it reports false when the attempt was already told to end.
func (e *Exchange) hold(a *attempt) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = a
	return e.stopped < a.start.Attempt
}

// release ends the hold of the running attempt.
func (e *Exchange) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.current = nil
}

// send lets an attempt write before a time.
func (e *Exchange) send(c event.SendAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil && e.current.start.Attempt == c.Attempt {
		e.current.allow(c.Before)
	}
}

// stop ends an attempt, also one that has not started.
func (e *Exchange) stop(c event.StopAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = max(e.stopped, c.Attempt)
	if e.current != nil && e.current.start.Attempt == c.Attempt {
		e.current.cancel()
		if e.current.handing.Load() {
			e.Sink.Interrupt()
		}
	}
}
