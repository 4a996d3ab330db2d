package lots

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// attemptsPerEpoch is the number of attempts that one epoch of a duty can number.
const attemptsPerEpoch = 1 << 20

// lazyWrite is the longest time that an acknowledgement waits for another decision to be written with.
const lazyWrite = time.Second

// rollout is one rollout on this daemon.
type rollout struct {
	spec   wire.RolloutSpec
	duty   string
	held   bool // the lease is trusted
	lapsed bool // the lease ran out, and no successor is known
	epoch  uint64
	until  time.Duration // latest known end of the lease
	proof  proof

	ledger   Ledger // as decided; the newest write holds it
	seq      uint64
	stored   uint64 // all writes up to it are stored
	dirty    bool
	dirtyAt  time.Duration
	attempts uint64

	making     []*making // by lot
	sealSeq    map[uint64]uint64
	handed     map[uint64]time.Duration // last hand-over by this daemon, by lot
	lastHanded uint64
	waiting    []waiting
	deleting   []deletion
	newestSeq  uint64 // write that holds the newest version
	published  uint64 // newest version that this rollout's trainer published
	announced  uint64 // newest version of it that all rollouts of the model hold
	spread     spread
}

// waiting is an answer that goes out when a ledger write is stored, and not before a time.
type waiting struct {
	seq      uint64
	notUntil time.Duration
	to       string
	id       uint64
	version  uint64            // waits until all rollouts of the model hold it
	ask      *wire.RolloutCall // decided again when stored; nil to answer body
	body     []byte
}

// deletion is a set of blocks to delete once no stored ledger names them.
type deletion struct {
	seq   uint64
	names []string
}

// gain starts from the ledger as it was read. Lots in the making go on when this daemon held the duty before.
func (p *Part) gain(r *rollout, e event.DutyGained, out *event.Batch) {
	ledger, err := readLedger(e.Ledger)
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "LedgerUnreadable", Fields: []event.Field{{Key: "Duty", Value: r.duty}}})
		return
	}
	p.refuseWaiting(r, kinds.OutcomeUnknown, out)
	p.refuseProbes(r, out)
	if e.Epoch != r.epoch+1 {
		p.abandon(r, out) // a holder in between may have deleted their blocks
	}
	r.held, r.lapsed, r.epoch = true, false, e.Epoch
	r.ledger, r.dirty, r.attempts = ledger, false, 0
	r.seq++
	r.stored = r.seq
	r.sealSeq = map[uint64]uint64{}
	r.deleting = nil
	if r.handed == nil {
		r.handed = map[uint64]time.Duration{}
	}
	p.deleteOpen(r, out)
	p.keepMakings(r, out)
	out.Emit(event.Log{Level: "info", Event: "RolloutHeld", Fields: []event.Field{
		{Key: "Rollout", Value: r.spec.Name}, {Key: "Epoch", Value: strconv.FormatUint(e.Epoch, 10)},
	}})
	r.newestSeq, r.published, r.announced, r.spread = r.stored, ledger.Newest, 0, spread{}
}

// keepMakings drops the lots in the making that the ledger has sealed or that are no longer wanted.
func (p *Part) keepMakings(r *rollout, out *event.Batch) {
	for _, m := range slices.Clone(r.making) {
		if _, ok := r.ledger.sealed(m.ref.Lot); ok || m.ref.Lot <= r.ledger.Acked {
			p.dropMaking(r, m, out)
			continue
		}
		if m.stage == sealing {
			p.seal(r, m, out)
		}
	}
	p.resetStale(r, out)
}

// lose keeps what was sealed, for a hand-over while the store is down.
func (p *Part) lose(r *rollout, out *event.Batch) {
	if !r.held {
		return
	}
	r.held, r.lapsed = false, true
	r.proof = proof{known: maps.Clone(p.probes.incarnation)}
	p.refuseWaiting(r, kinds.OutcomeUnknown, out)
}

// beat ends what a lapsed holder keeps, once a successor is known.
func (p *Part) beat(e event.BeatSeen, out *event.Batch) {
	for _, d := range e.Beat.Duties {
		p.withDuty(d.Duty, func(r *rollout) {
			if r.lapsed && d.Epoch > r.epoch {
				p.refuseProbes(r, out)
				r.lapsed = false
				p.abandon(r, out)
			}
		})
	}
}

// abandon drops every lot in the making.
func (p *Part) abandon(r *rollout, out *event.Batch) {
	for _, m := range slices.Clone(r.making) {
		p.dropMaking(r, m, out)
	}
}

func (p *Part) dropMaking(r *rollout, m *making, out *event.Batch) {
	p.cancelAll(m, out)
	r.making = slices.DeleteFunc(r.making, func(o *making) bool { return o == m })
	out.Emit(event.DropLot{Lot: m.ref})
}

// write records the ledger as decided and returns the number of the write.
func (r *rollout) write(out *event.Batch) uint64 {
	r.seq++
	r.dirty = false
	r.noteOpen()
	out.Raise(event.WriteLedger{Duty: r.duty, Epoch: r.epoch, Seq: r.seq, Ledger: r.ledger.marshal()})
	return r.seq
}

// noteOpen has the ledger name the lots in the making.
func (r *rollout) noteOpen() {
	r.ledger.Open = nil
	for _, m := range r.making {
		if _, ok := r.ledger.sealed(m.ref.Lot); !ok {
			r.ledger.Open = append(r.ledger.Open, Attempt{Lot: m.ref.Lot, Attempt: m.ref.Attempt})
		}
	}
}

// deleteOpen deletes the blocks of lots that a former holder was making.
func (p *Part) deleteOpen(r *rollout, out *event.Batch) {
	for _, a := range r.ledger.Open {
		own := slices.ContainsFunc(r.making, func(m *making) bool { return m.ref.Attempt == a.Attempt })
		if own {
			continue
		}
		out.Emit(event.DeleteLot{Lot: event.LotRef{Rollout: r.spec.Name, Lot: a.Lot, Attempt: a.Attempt}})
	}
}

// touch has the ledger written with the next decision, or after a while.
func (r *rollout) touch(now time.Duration) {
	if !r.dirty {
		r.dirty, r.dirtyAt = true, now
	}
}

// written takes the news that writes are stored: seals count, answers go out, blocks can be deleted.
func (p *Part) written(now time.Duration, r *rollout, e event.LedgerWritten, out *event.Batch) {
	if !r.held || e.Epoch != r.epoch || e.Seq <= r.stored || e.Seq > r.seq {
		return
	}
	r.stored = e.Seq
	for _, m := range slices.Clone(r.making) {
		if m.stage == sealing && m.sealSeq <= r.stored {
			p.dropMaking(r, m, out)
			out.Emit(event.Count{Name: "LotsSealed", N: 1})
		}
	}
	p.announce(now, r, out)
	p.deleteStored(r, out)
	p.answerStored(now, r, out)
}

// deleteLater deletes blocks once a ledger without them is stored.
func (r *rollout) deleteLater(blocks []event.BlockRef) {
	if len(blocks) > 0 {
		r.deleting = append(r.deleting, deletion{seq: r.seq + 1, names: blockNames(blocks)})
	}
}

func (p *Part) deleteStored(r *rollout, out *event.Batch) {
	keep := r.deleting[:0]
	for _, d := range r.deleting {
		if d.seq > r.stored {
			keep = append(keep, d)
			continue
		}
		out.Emit(event.DeleteBlocks{Names: d.names})
	}
	r.deleting = keep
}

func blockNames(blocks []event.BlockRef) []string {
	names := make([]string, len(blocks))
	for i, b := range blocks {
		names[i] = b.Name
	}
	return names
}

func (r *rollout) lastSealed() uint64 {
	last := r.ledger.Acked
	for _, s := range r.ledger.Lots {
		last = max(last, s.Lot)
	}
	return last
}

func (r *rollout) running() int {
	n := 0
	for _, m := range r.making {
		n += m.running()
	}
	return n
}
