// Package loop runs the reducer on one goroutine and hands its effects to the executors.
package loop

import (
	"context"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/reduce"
)

// Executor carries out the effects that it knows. Each effect is offered to every executor; Do reports whether
// this one knows it and must not block. Results come back by Loop.Post.
type Executor interface {
	Do(effect event.Effect) bool
}

// Loop steps the reducer. Its exported fields are set before Run.
type Loop struct {
	State     *reduce.State
	Executors []Executor
	TickEvery time.Duration
	// IdleEvery is the interval of the ticks while nothing but peers' frames has come for a while; 0 takes TickEvery.
	IdleEvery time.Duration
	QueueSize int
	// Record is called after each step when not nil; it must not keep the effects.
	Record func(now time.Duration, ev event.Event, effects []event.Effect)

	start  time.Time
	events chan event.Event
	done   chan struct{}
}

// Prepare makes the event queue and starts the clock; it is called once, before Run and Post.
func (l *Loop) Prepare() {
	l.start = time.Now()
	l.events = make(chan event.Event, l.QueueSize)
	l.done = make(chan struct{})
}

// Now returns the monotonic time since Prepare. It may be called concurrently.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Post hands an event to the reducer and waits while the queue is full.
// It returns false when the loop has ended. It may be called concurrently, but not by an Executor's Do.
func (l *Loop) Post(ev event.Event) bool {
	select {
	case l.events <- ev:
		return true
	case <-l.done:
		return false
	}
}

// Run steps the reducer until ctx ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.done)
	tick := time.NewTimer(l.TickEvery)
	defer tick.Stop()
	active := l.Now()
	due := active + l.TickEvery
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-l.events:
			// After a pause of the process what has expired ends before an event is taken.
			if l.Now() >= due {
				due = l.tick(tick, active)
			}
			if !idles(ev) {
				if l.idle(active) {
					tick.Reset(l.TickEvery)
					due = l.Now() + l.TickEvery
				}
				active = l.Now()
			}
			l.step(ev)
		case <-tick.C:
			due = l.tick(tick, active)
		}
	}
}

// tick steps a Tick, sets the timer for the next one and returns when that is due.
func (l *Loop) tick(timer *time.Timer, active time.Duration) time.Duration {
	l.step(event.Tick{})
	every := l.every(active)
	timer.Reset(every)
	return l.Now() + every
}

// idleAfter is the time without work after which ticks become rarer.
const idleAfter = time.Second

// every returns the time until the next tick.
func (l *Loop) every(active time.Duration) time.Duration {
	if l.idle(active) {
		return l.IdleEvery
	}
	return l.TickEvery
}

func (l *Loop) idle(active time.Duration) bool {
	return l.IdleEvery > 0 && l.Now()-active > idleAfter
}

// idles reports whether an event comes also while there is no work.
func idles(ev event.Event) bool {
	switch ev.(type) {
	case event.PeerReceived, event.ClockRead, event.ObjectsDone, event.EndpointsDone, event.EndpointPolled:
		return true
	}
	return false
}

func (l *Loop) step(ev event.Event) {
	now := l.Now()
	effects := l.State.Step(now, ev)
	if l.Record != nil {
		l.Record(now, ev, effects)
	}
	for _, effect := range effects {
		l.execute(effect)
	}
}

// execute offers an effect to every executor: more than one may know it.
func (l *Loop) execute(effect event.Effect) {
	for _, x := range l.Executors {
		x.Do(effect)
	}
}
