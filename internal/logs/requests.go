package logs

import (
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// RequestLogger is the component that logs finished requests: all at level debug, and at level warn the callers' requests
// that may or may not have run. Its fields are set before use.
type RequestLogger struct {
	Incarnation string
	Debug       bool // level debug is enabled
}

// Step applies one event; RequestDone may emit a Log effect. It must not be called concurrently.
func (p *RequestLogger) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	e, ok := ev.(event.RequestDone)
	if !ok {
		return
	}
	outcomeUnknown := e.Sample == nil && e.Kind != "" && kinds.AnswerFor(e.Kind).Run == kinds.Unknown
	if !outcomeUnknown && !p.Debug {
		return
	}
	level := "debug"
	if outcomeUnknown {
		level = "warn"
	}
	out.Emit(event.Log{Level: level, Event: "RequestDone", Fields: []event.Field{
		{Key: "Request", Value: p.Incarnation + "-" + strconv.FormatUint(e.Request, 10)},
		{Key: "Organisation", Value: e.Organisation},
		{Key: "Class", Value: string(e.Class)},
		{Key: "Kind", Value: string(e.Kind)},
		{Key: "Endpoint", Value: e.Endpoint},
		{Key: "Attempt", Value: strconv.FormatUint(e.Attempt, 10)},
		{Key: "Took", Value: e.Took.String()},
	}})
}
