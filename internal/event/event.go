// Package event defines the inputs (events) and outputs (effects) of the reducer as plain structs. Times are
// monotonic and count from the start of the process.
package event

import "time"

// Event is something that happened. Only this package defines events.
type Event interface{ isEvent() }

// Effect is an action to be carried out outside the reducer. Only this package defines effects.
type Effect interface{ isEffect() }

// Part is one component of the reducer's state. Step applies an event at time now and adds the resulting effects and
// events to out. Step does no I/O, reads no clock and starts no goroutine.
type Part interface {
	Step(now time.Duration, ev Event, out *Batch)
}

// Batch collects the output of one step: effects for the executors and events for the other components.
type Batch struct {
	Effects []Effect
	Raised  []Event
}

// Emit adds an effect.
func (b *Batch) Emit(e Effect) { b.Effects = append(b.Effects, e) }

// Raise queues an event that every component sees in the same reducer step, after the current event.
func (b *Batch) Raise(e Event) { b.Raised = append(b.Raised, e) }

// Tick is raised by the loop at a fixed interval.
type Tick struct{}

// StopAsked reports that the process was asked to stop gracefully.
type StopAsked struct{}

// Log is one line of the process log.
type Log struct {
	Level  string // debug, info, warn, error
	Event  string
	Fields []Field
}

// Field is one key=value pair of a Log.
type Field struct{ Key, Value string }

// Count adds N to a counter.
type Count struct {
	Name string
	Tags []Field
	N    int64
}

// Observe records a duration in a histogram.
type Observe struct {
	Name string
	Tags []Field
	Took time.Duration
}

// Ready tells the listeners whether the daemon accepts callers' requests and, if it does not, why.
type Ready struct {
	Ready  bool
	Reason string
}

// Exit tells the process that its graceful stop is complete.
type Exit struct{}

func (Tick) isEvent()      {}
func (StopAsked) isEvent() {}
func (Log) isEffect()      {}
func (Count) isEffect()    {}
func (Observe) isEffect()  {}
func (Ready) isEffect()    {}
func (Exit) isEffect()     {}
