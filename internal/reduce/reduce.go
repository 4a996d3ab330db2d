// Package reduce contains the reducer, which dispatches each event to all components of the state in a fixed order.
package reduce

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

// State is the complete state on which the daemon's decisions depend. Events that are applied in the same order and at
// the same times give the same effects. It must not be used concurrently.
type State struct {
	Components []event.Part

	queue []event.Event
}

// Step applies ev at the monotonic time now and returns the effects in order.
// Events that the components raise are applied within the same step, in the order in which they were raised.
func (s *State) Step(now time.Duration, ev event.Event) []event.Effect {
	var out event.Batch
	s.queue = append(s.queue[:0], ev)
	for i := 0; i < len(s.queue); i++ {
		for _, p := range s.Components {
			p.Step(now, s.queue[i], &out)
		}
		s.queue = append(s.queue, out.Raised...)
		out.Raised = out.Raised[:0]
	}
	return out.Effects
}
