// Package loop runs the reducer on one goroutine and hands its effects to the executors.
package loop

import (
	"context"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/reduce"
)

// Executor carries out some kinds of effects. Each effect is offered to every executor; Do reports whether this one
// carries it out and must not block. Results come back through Loop.Post.
type Executor interface {
	Do(effect event.Effect) bool
}

// Loop runs the reducer. Its exported fields are set before Run, QueueSize before Prepare.
type Loop struct {
	State     *reduce.State
	Executors []Executor
	TickEvery time.Duration
	// IdleEvery is the tick interval after a second without work, when only events such as peers' frames have arrived;
	// 0 means TickEvery.
	IdleEvery time.Duration
	QueueSize int
	// Record, if not nil, is called after each step; it must not retain the effects.
	Record func(now time.Duration, ev event.Event, effects []event.Effect)

	// WallElapsed returns the time since Prepare by the time of day, which also goes on while the host is suspended; nil for that
	// of the system.
	WallElapsed func() time.Duration

	start  time.Time
	lead   time.Duration // of the time of day before the monotonic clock, since Prepare
	events chan event.Event
	done   chan struct{}
}

// Prepare creates the event queue and starts the clock; it is called once, before Run and Post.
func (l *Loop) Prepare() {
	l.start = time.Now()
	if l.WallElapsed == nil {
		l.WallElapsed = l.systemWallElapsed
	}
	l.events = make(chan event.Event, l.QueueSize)
	l.done = make(chan struct{})
}

// Now returns the monotonic time since Prepare. It may be called concurrently.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

func (l *Loop) systemWallElapsed() time.Duration { return time.Now().Round(0).Sub(l.start.Round(0)) }

// Post queues an event for the reducer and waits while the queue is full. It returns false once the loop has ended.
// It may be called concurrently, but not by an Executor's Do.
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
	lastActive := l.Now()
	due := lastActive + l.TickEvery
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-l.events:
			// A due tick goes first: when the process was suspended, it ends what has expired before an event is handled.
			if l.Now() >= due {
				due = l.tick(tick, lastActive)
			}
			if !arrivesWhileIdle(ev) {
				if l.isIdle(lastActive) {
					tick.Reset(l.TickEvery)
					due = l.Now() + l.TickEvery
				}
				lastActive = l.Now()
			}
			l.step(ev)
		case <-tick.C:
			due = l.tick(tick, lastActive)
		}
	}
}

// tick steps a Tick, resets the timer for the next one and returns the time at which that is due.
func (l *Loop) tick(timer *time.Timer, lastActive time.Duration) time.Duration {
	l.step(event.Tick{})
	tickInterval := l.tickInterval(lastActive)
	timer.Reset(tickInterval)
	return l.Now() + tickInterval
}

// idleAfter is the time without work after which ticks come at IdleEvery.
const idleAfter = time.Second

// tickInterval returns the time until the next tick.
func (l *Loop) tickInterval(lastActive time.Duration) time.Duration {
	if l.isIdle(lastActive) {
		return l.IdleEvery
	}
	return l.TickEvery
}

func (l *Loop) isIdle(lastActive time.Duration) bool {
	return l.IdleEvery > 0 && l.Now()-lastActive > idleAfter
}

// arrivesWhileIdle reports whether events of this type also arrive while there is no work.
func arrivesWhileIdle(ev event.Event) bool {
	switch ev.(type) {
	case event.PeerReceived, event.ClockRead, event.ObjectsDone, event.EndpointsDone, event.EndpointPolled, event.EndpointProbed:
		return true
	}
	return false
}

// minClockGap is the smallest lead that the time of day gains at once that is reported.
const minClockGap = 200 * time.Millisecond

// step steps an event, and before it the gap of the clock since the last one.
func (l *Loop) step(ev event.Event) {
	now := l.Now()
	lead := l.WallElapsed() - now
	gap := lead - l.lead
	l.lead = lead
	if gap >= minClockGap {
		l.stepAt(now, event.ClockGap{By: gap})
	}
	l.stepAt(now, ev)
}

func (l *Loop) stepAt(now time.Duration, ev event.Event) {
	effects := l.State.Step(now, ev)
	if l.Record != nil {
		l.Record(now, ev, effects)
	}
	for _, effect := range effects {
		l.execute(effect)
	}
}

// execute offers an effect to every executor, since more than one may carry it out.
func (l *Loop) execute(effect event.Effect) {
	for _, x := range l.Executors {
		x.Do(effect)
	}
}
