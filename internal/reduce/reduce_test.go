package reduce

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
)

// raiser raises two HostLost events for each StopAsked; emitter emits an effect for each HostLost.
type (
	raiser  struct{}
	emitter struct{}
)

func (raiser) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	if _, ok := ev.(event.StopAsked); ok {
		out.Raise(event.HostLost{Host: "a"})
		out.Raise(event.HostLost{Host: "b"})
	}
}

func (emitter) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	if e, ok := ev.(event.HostLost); ok {
		out.Emit(event.SendPeer{Host: e.Host})
	}
}

func TestRaisedEventsRunInOrderWithinTheStep(t *testing.T) {
	cases := map[string]struct {
		ev   event.Event
		want []event.Effect
	}{
		"raised":  {event.StopAsked{}, []event.Effect{event.SendPeer{Host: "a"}, event.SendPeer{Host: "b"}}},
		"nothing": {event.Tick{}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := State{Components: []event.Part{raiser{}, emitter{}}}
			got := s.Step(time.Second, c.ev)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("effects (-want +got):\n%s", diff)
			}
		})
	}
}
