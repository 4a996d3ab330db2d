package lots

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	deleteEvery  = 5 * time.Second
	maxLeftovers = 4096
)

// leftover holds blocks that could not be deleted, such as in a store outage.
type leftover struct {
	names []string
	next  time.Duration
}

func (p *Part) left(now time.Duration, e event.BlockLeft) {
	if len(p.leftover.names) == 0 {
		p.leftover.next = now + deleteEvery
	}
	if len(p.leftover.names) < maxLeftovers {
		p.leftover.names = append(p.leftover.names, e.Name)
	}
}

func (p *Part) retryDeletes(now time.Duration, out *event.Batch) {
	if len(p.leftover.names) == 0 || now < p.leftover.next {
		return
	}
	out.Emit(event.DeleteBlocks{Names: p.leftover.names})
	p.leftover.names = nil
}
