package loop

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/reduce"
)

// responder answers StopAsked with Exit and StatusAsked with StatusPart.
type responder struct{}

func (responder) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.StopAsked:
		out.Emit(event.Exit{})
	case event.StatusAsked:
		out.Emit(event.StatusPart{Seq: e.Seq})
	}
}

// channelExecutor sends the effects to a channel.
type channelExecutor struct{ effects chan event.Effect }

func (s channelExecutor) Do(e event.Effect) bool {
	s.effects <- e
	return true
}

// tickCounter counts ticks.
type tickCounter struct{ seen chan struct{} }

func (p tickCounter) Step(_ time.Duration, ev event.Event, _ *event.Batch) {
	if _, ok := ev.(event.Tick); ok {
		p.seen <- struct{}{}
	}
}

// An idle daemon must tick rarely, and at the usual interval again as soon as there is work.
func TestTicksAreRareWhileIdle(t *testing.T) {
	defer goleak.VerifyNone(t)
	counter := tickCounter{seen: make(chan struct{}, 10_000)}
	l := &Loop{
		State:     &reduce.State{Components: []event.Part{counter}},
		TickEvery: 5 * time.Millisecond, IdleEvery: 500 * time.Millisecond, QueueSize: 16,
	}
	l.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	count := func(d time.Duration, ev event.Event) int {
		l.Post(ev)
		before := len(counter.seen)
		time.Sleep(d)
		return len(counter.seen) - before
	}
	if got := count(500*time.Millisecond, event.StatusAsked{}); got < 20 {
		t.Errorf("%d ticks in half a second with work, want many", got)
	}
	time.Sleep(idleAfter)
	if got := count(600*time.Millisecond, event.PeerReceived{}); got > 3 {
		t.Errorf("%d ticks in 0.6 s with peers' frames only, want few", got)
	}
	if got := count(500*time.Millisecond, event.StatusAsked{}); got < 20 {
		t.Errorf("%d ticks in half a second after new work, want many", got)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// suspendingExecutor blocks the loop in each Exit until resume, as if the process were suspended.
type suspendingExecutor struct{ suspended, resume chan struct{} }

func (p suspendingExecutor) Do(e event.Effect) bool {
	if _, ok := e.(event.Exit); ok {
		p.suspended <- struct{}{}
		<-p.resume
	}
	return true
}

// tickOrder reports whether a tick came between the end of a suspension and the next event.
type tickOrder struct {
	responder
	ticked      *bool
	tickedFirst chan bool
}

func (p tickOrder) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch ev.(type) {
	case event.Tick:
		*p.ticked = true
	case event.StopAsked:
		*p.ticked = false
	case event.StatusAsked:
		p.tickedFirst <- *p.ticked
	}
	p.responder.Step(now, ev, out)
}

// After the process was suspended for longer than the tick interval, the due tick must end what has expired before
// events from before the suspension are handled.
func TestTickComesFirstAfterSuspension(t *testing.T) {
	defer goleak.VerifyNone(t)
	order := tickOrder{ticked: new(bool), tickedFirst: make(chan bool, 1)}
	executor := suspendingExecutor{suspended: make(chan struct{}), resume: make(chan struct{})}
	l := &Loop{
		State: &reduce.State{Components: []event.Part{order}}, Executors: []Executor{executor},
		TickEvery: 5 * time.Millisecond, QueueSize: 4,
	}
	l.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	for i := range 20 {
		l.Post(event.StopAsked{})
		<-executor.suspended
		l.Post(event.StatusAsked{})
		time.Sleep(3 * l.TickEvery)
		executor.resume <- struct{}{}
		if !<-order.tickedFirst {
			t.Errorf("suspension %d: an event was handled before the due tick", i)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestLoopCarriesEventsToExecutors(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := channelExecutor{effects: make(chan event.Effect, 4)}
	l := &Loop{
		State:     &reduce.State{Components: []event.Part{responder{}}},
		Executors: []Executor{out},
		TickEvery: time.Millisecond,
		QueueSize: 4,
	}
	l.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	l.Post(event.StatusAsked{Seq: 3})
	l.Post(event.StopAsked{})
	got := []event.Effect{<-out.effects, <-out.effects}
	want := []event.Effect{event.StatusPart{Seq: 3}, event.Exit{}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if l.Post(event.Tick{}) && l.Post(event.Tick{}) && l.Post(event.Tick{}) && l.Post(event.Tick{}) && l.Post(event.Tick{}) {
		t.Error("an ended loop accepted more events than its queue holds")
	}
}

// gapRecorder records the events that it gets, but for ticks.
type gapRecorder struct{ seen chan event.Event }

func (r gapRecorder) Step(_ time.Duration, ev event.Event, _ *event.Batch) {
	if _, ok := ev.(event.Tick); !ok {
		r.seen <- ev
	}
}

// While a host was suspended, the clock of its leases stood still, and nothing told the components so before the next event.
func TestClockGapComesBeforeTheNextEvent(t *testing.T) {
	defer goleak.VerifyNone(t)
	recorder := gapRecorder{seen: make(chan event.Event, 16)}
	l := &Loop{State: &reduce.State{Components: []event.Part{recorder}}, TickEvery: time.Hour, QueueSize: 16}
	var lead atomic.Int64
	l.WallElapsed = func() time.Duration { return l.Now() + time.Duration(lead.Load()) }
	l.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	var got []event.Event
	for n, step := range []time.Duration{0, minClockGap / 2, time.Minute, 0, -time.Hour, time.Second} {
		lead.Add(int64(step))
		l.Post(event.StatusAsked{Seq: uint64(n)})
		for asked := false; !asked; {
			ev := <-recorder.seen
			if gap, ok := ev.(event.ClockGap); ok {
				ev = event.ClockGap{By: gap.By.Round(100 * time.Millisecond)}
			}
			got = append(got, ev)
			_, asked = ev.(event.StatusAsked)
		}
	}
	cancel()
	<-ended
	want := []event.Event{
		event.StatusAsked{Seq: 0},
		event.StatusAsked{Seq: 1},
		event.ClockGap{By: time.Minute},
		event.StatusAsked{Seq: 2},
		event.StatusAsked{Seq: 3},
		event.StatusAsked{Seq: 4},
		event.ClockGap{By: time.Second},
		event.StatusAsked{Seq: 5},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}
