package loop

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/reduce"
)

// relay answers each StopAsked with an Exit and passes StatusAsked on as a StatusPart.
type relay struct{}

func (relay) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	switch e := ev.(type) {
	case event.StopAsked:
		out.Emit(event.Exit{})
	case event.StatusAsked:
		out.Emit(event.StatusPart{Seq: e.Seq})
	}
}

// sink hands the effects to a channel.
type sink struct{ effects chan event.Effect }

func (s sink) Do(e event.Effect) bool {
	s.effects <- e
	return true
}

// ticks counts the ticks that come.
type ticks struct{ n chan struct{} }

func (p ticks) Step(_ time.Duration, ev event.Event, _ *event.Batch) {
	if _, ok := ev.(event.Tick); ok {
		p.n <- struct{}{}
	}
}

// An idle daemon wakes up rarely, and at the usual interval again as soon as there is work.
func TestTicksAreRareWhileIdle(t *testing.T) {
	defer goleak.VerifyNone(t)
	part := ticks{n: make(chan struct{}, 10_000)}
	l := &Loop{
		State:     &reduce.State{Parts: []event.Part{part}},
		TickEvery: 5 * time.Millisecond, IdleEvery: 500 * time.Millisecond, QueueSize: 16,
	}
	l.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	count := func(d time.Duration, ev event.Event) int {
		l.Post(ev)
		before := len(part.n)
		time.Sleep(d)
		return len(part.n) - before
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

// pausing holds the loop in each Exit, as a pause of the process does, until it is let go on.
type pausing struct{ held, goOn chan struct{} }

func (p pausing) Do(e event.Effect) bool {
	if _, ok := e.(event.Exit); ok {
		p.held <- struct{}{}
		<-p.goOn
	}
	return true
}

// order tells whether a tick came between the end of a pause and the next event.
type order struct {
	relay
	ticked *bool
	first  chan bool
}

func (p order) Step(now time.Duration, ev event.Event, out *event.Batch) {
	switch ev.(type) {
	case event.Tick:
		*p.ticked = true
	case event.StopAsked:
		*p.ticked = false
	case event.StatusAsked:
		p.first <- *p.ticked
	}
	p.relay.Step(now, ev, out)
}

// A process that was paused for longer than a tick answers nothing from before: what has expired ends first.
func TestTickComesFirstAfterAPause(t *testing.T) {
	defer goleak.VerifyNone(t)
	part := order{ticked: new(bool), first: make(chan bool, 1)}
	pause := pausing{held: make(chan struct{}), goOn: make(chan struct{})}
	l := &Loop{
		State: &reduce.State{Parts: []event.Part{part}}, Executors: []Executor{pause},
		TickEvery: 5 * time.Millisecond, QueueSize: 4,
	}
	l.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	for i := range 20 {
		l.Post(event.StopAsked{})
		<-pause.held
		l.Post(event.StatusAsked{})
		time.Sleep(3 * l.TickEvery)
		pause.goOn <- struct{}{}
		if !<-part.first {
			t.Errorf("pause %d: an event was taken before the tick that was due", i)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

func TestLoopCarriesEventsToExecutors(t *testing.T) {
	defer goleak.VerifyNone(t)
	out := sink{effects: make(chan event.Effect, 4)}
	l := &Loop{
		State:     &reduce.State{Parts: []event.Part{relay{}}},
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
		t.Error("an ended loop took more events than its queue holds")
	}
}
