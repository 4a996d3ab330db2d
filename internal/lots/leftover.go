package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
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

// blockRead answers a call for a block. A lot whose block is gone from the store is made anew.
func (p *Part) blockRead(now time.Duration, e event.BlockRead, out *event.Batch) {
	out.Raise(event.AnswerDuty{To: e.To, ID: e.ID, Kind: e.Kind, Body: e.Value})
	if e.Kind != kinds.NotFound {
		return
	}
	for _, name := range p.names {
		r := p.rollouts[name]
		for _, s := range r.ledger.Lots {
			if r.held && slices.ContainsFunc(s.Blocks, func(b event.BlockRef) bool { return b.Name == e.Name }) {
				p.void(now, r, s.Lot, "BlockGone", out)
				return
			}
		}
	}
}
