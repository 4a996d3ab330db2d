// Package event holds what the reducer takes in (events) and gives out (effects), as plain structs.
// Times are monotonic, counted from the process's start.
package event

import "time"

// Event is something that happened. Only this package defines events.
type Event interface{ isEvent() }

// Effect is something to be done outside the reducer. Only this package defines effects.
type Effect interface{ isEffect() }

// Part is one area of the reducer's state. Step takes an event at time now and adds what
// follows from it to out. Step does no I/O, reads no clock and starts no goroutine.
type Part interface {
	Step(now time.Duration, ev Event, out *Batch)
}

// Batch collects what one step gives: effects for the executors and events for the other parts.
type Batch struct {
	Effects []Effect
	Raised  []Event
}

// Emit adds an effect.
func (b *Batch) Emit(e Effect) { b.Effects = append(b.Effects, e) }

// Raise adds an event that every part sees in the same reducer step, after the current one.
func (b *Batch) Raise(e Event) { b.Raised = append(b.Raised, e) }

// Tick is raised by the loop at a fixed interval.
type Tick struct{}

// StopAsked says that the process was told to stop gracefully.
type StopAsked struct{}

// Log is one line for the process's log.
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

// Observe adds a duration to a histogram.
type Observe struct {
	Name string
	Tags []Field
	Took time.Duration
}

// Ready tells the listeners whether the daemon takes callers' requests.
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
