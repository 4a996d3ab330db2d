package flow

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

// drainOwner identifies this component in the DrainBegun and DrainEnded events.
const drainOwner = "Flow"

// drain is the graceful shutdown of a daemon: it reports not ready, accepts requests for the load balancer's delay,
// closes the listener and waits for the remaining requests.
type drain struct {
	begun   bool
	closing bool // StopListening was emitted
	closed  bool // the listener has closed
	done    bool
	closeAt time.Duration
}

func (d *drain) begin(now, delay time.Duration, out *event.Batch) {
	if d.begun {
		return
	}
	d.begun, d.closeAt = true, now+delay
	out.Emit(event.BeginDrain{})
	out.Raise(event.DrainBegun{Owner: drainOwner})
}

func (d *drain) tick(now time.Duration, requests int, out *event.Batch) {
	if d.begun && !d.closing && now >= d.closeAt {
		d.closing = true
		out.Emit(event.StopListening{})
	}
	if d.closed && !d.done && requests == 0 {
		d.done = true
		out.Raise(event.Drained{})
		out.Raise(event.DrainEnded{Owner: drainOwner})
	}
}
