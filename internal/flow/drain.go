package flow

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

// drainOwner names this part in the graceful stop.
const drainOwner = "Flow"

// drain ends the service of a stopping daemon: unready, accepting for the balancer's delay, closed, drained.
type drain struct {
	asked   bool
	stopped bool // the listener was told to close
	closed  bool // and has closed
	done    bool
	closeAt time.Duration
}

func (d *drain) begin(now, delay time.Duration, out *event.Batch) {
	if d.asked {
		return
	}
	d.asked, d.closeAt = true, now+delay
	out.Emit(event.BeginDrain{})
	out.Raise(event.DrainBegun{Owner: drainOwner})
}

func (d *drain) tick(now time.Duration, requests int, out *event.Batch) {
	if d.asked && !d.stopped && now >= d.closeAt {
		d.stopped = true
		out.Emit(event.StopListening{})
	}
	if d.closed && !d.done && requests == 0 {
		d.done = true
		out.Raise(event.Drained{})
		out.Raise(event.DrainEnded{Owner: drainOwner})
	}
}
