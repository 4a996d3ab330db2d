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
