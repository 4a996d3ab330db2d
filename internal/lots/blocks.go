package lots

import (
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

const (
	deleteRetryInterval = 5 * time.Second
	maxFailedDeletes    = 4096
)

// failedDeletes holds the names of blocks that could not be deleted, for example in a store outage.
type failedDeletes struct {
	names   []string
	retryAt time.Duration
}

func (p *Component) handleBlockLeft(now time.Duration, e event.BlockLeft) {
	if len(p.failedDeletes.names) == 0 {
		p.failedDeletes.retryAt = now + deleteRetryInterval
	}
	if len(p.failedDeletes.names) < maxFailedDeletes {
		p.failedDeletes.names = append(p.failedDeletes.names, e.Name)
	}
}

func (p *Component) retryDeletes(now time.Duration, out *event.Batch) {
	if len(p.failedDeletes.names) == 0 || now < p.failedDeletes.retryAt {
		return
	}
	out.Emit(event.DeleteBlocks{Names: p.failedDeletes.names})
	p.failedDeletes.names = nil
}

// handleBlockRead answers a call for a block. If the block no longer exists in the store, its lot is voided and rebuilt.
func (p *Component) handleBlockRead(now time.Duration, e event.BlockRead, out *event.Batch) {
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
