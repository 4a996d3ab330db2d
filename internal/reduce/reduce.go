// Package reduce holds the one reducer: it dispatches each event to the parts of the state in a fixed order.
package reduce

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

// State is the daemon's whole decision state. The same events at the same times give the same effects.
// It must not be used concurrently.
type State struct {
	Parts []event.Part

	queue []event.Event
}

// Step applies ev at the monotonic time now and returns the effects in order.
// Events that the parts raise are applied within the same step, first raised first.
func (s *State) Step(now time.Duration, ev event.Event) []event.Effect {
	var out event.Batch
	s.queue = append(s.queue[:0], ev)
	for i := 0; i < len(s.queue); i++ {
		for _, p := range s.Parts {
			p.Step(now, s.queue[i], &out)
		}
		s.queue = append(s.queue, out.Raised...)
		out.Raised = out.Raised[:0]
	}
	return out.Effects
}
