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

// attemptsPerEpoch is the size of the range of attempt numbers that each epoch of a duty has.
const attemptsPerEpoch = 1 << 20

// maxWriteDelay is the longest time that an acknowledgement waits to share a ledger write with another decision.
const maxWriteDelay = time.Second

// rollout is the state of one rollout on this daemon.
type rollout struct {
	spec       wire.RolloutSpec
	duty       string
	held       bool // the lease is trusted
	lapsed     bool // the lease expired, and no successor is known
	epoch      uint64
	validUntil time.Duration // latest known end of the lease
	proof      proof

	ledger     Ledger // including decisions that are not written yet
	writeSeq   uint64
	storedSeq  uint64 // all writes up to this one are stored
	dirty      bool
	dirtySince time.Duration
	attempts   uint64

	builds         []*build // sorted by lot
	sealSeq        map[uint64]uint64
	grantedAt      map[uint64]time.Duration // last grant by this daemon, by lot
	lastGranted    uint64
	pending        []pending
	pendingDeletes []pendingDelete
	newestSeq      uint64 // ledger write of the newest version
	published      uint64 // newest version that this rollout's trainer published
	propagated     uint64 // newest of these that all rollouts of the model have stored
	propagation    propagation
}

// pending is an answer that is sent once a ledger write is stored, but not before dueAt. For a request that waits
// for a proof, dueAt is the time at which it is refused.
type pending struct {
	writeSeq uint64
	dueAt    time.Duration
	to       string
	id       uint64
	version  uint64            // all rollouts of the model must have stored it, 0 for none
	lotAsk   *wire.RolloutCall // processed again instead of answering body, nil for none
	body     []byte
}

// pendingDelete is a set of blocks to delete once the stored ledger no longer refers to them.
type pendingDelete struct {
	writeSeq uint64
	names    []string
}

// handleDutyGained loads the ledger that was read with the lease. Builds continue if this daemon was also the previous
// holder of the duty.
func (p *Component) handleDutyGained(r *rollout, e event.DutyGained, out *event.Batch) {
	ledger, err := readLedger(e.Ledger)
	if err != nil {
		out.Emit(event.Log{Level: "error", Event: "LedgerUnreadable", Fields: []event.Field{{Key: "Duty", Value: r.duty}}})
		return
	}
	p.refusePending(r, kinds.OutcomeUnknown, out)
	p.refuseAwaitingProof(r, out)
	if e.Epoch != r.epoch+1 {
		p.dropAllBuilds(r, out) // another holder in between may have deleted their blocks
	}
	r.held, r.lapsed, r.epoch = true, false, e.Epoch
	r.ledger, r.dirty, r.attempts = ledger, false, 0
	r.writeSeq++
	r.storedSeq = r.writeSeq
	r.sealSeq = map[uint64]uint64{}
	r.pendingDeletes = nil
	if r.grantedAt == nil {
		r.grantedAt = map[uint64]time.Duration{}
	}
	p.deleteOpenLots(r, out)
	p.resumeBuilds(r, out)
	out.Emit(event.Log{Level: "info", Event: "RolloutHeld", Fields: []event.Field{
		{Key: "Rollout", Value: r.spec.Name}, {Key: "Epoch", Value: strconv.FormatUint(e.Epoch, 10)},
	}})
	r.newestSeq, r.published, r.propagated, r.propagation = r.storedSeq, ledger.Newest, 0, propagation{}
}

// resumeBuilds drops the builds of lots that are sealed or acknowledged, seals the packed ones and resets stale samples.
func (p *Component) resumeBuilds(r *rollout, out *event.Batch) {
	for _, b := range slices.Clone(r.builds) {
		if _, ok := r.ledger.sealed(b.ref.Lot); ok || b.ref.Lot <= r.ledger.Acked {
			p.dropBuild(r, b, out)
			continue
		}
		if b.stage == sealing {
			p.seal(r, b, out)
		}
	}
	p.resetStaleSamples(r, out)
}

// handleDutyLost keeps the ledger and the builds, so that sealed lots can be handed over in a store outage.
func (p *Component) handleDutyLost(r *rollout, out *event.Batch) {
	if !r.held {
		return
	}
	r.held, r.lapsed = false, true
	r.proof = proof{knownIncarnations: maps.Clone(p.prober.incarnations)}
	p.refusePending(r, kinds.OutcomeUnknown, out)
}

// handleBeatSeen drops the builds of a lapsed holder once a successor is known.
func (p *Component) handleBeatSeen(e event.BeatSeen, out *event.Batch) {
	for _, d := range e.Beat.Duties {
		p.withDuty(d.Duty, func(r *rollout) {
			if r.lapsed && d.Epoch > r.epoch {
				p.refuseAwaitingProof(r, out)
				r.lapsed = false
				p.dropAllBuilds(r, out)
			}
		})
	}
}

// dropAllBuilds drops every build of a rollout.
func (p *Component) dropAllBuilds(r *rollout, out *event.Batch) {
	for _, b := range slices.Clone(r.builds) {
		p.dropBuild(r, b, out)
	}
}

func (p *Component) dropBuild(r *rollout, b *build, out *event.Batch) {
	p.cancelAll(b, out)
	r.builds = slices.DeleteFunc(r.builds, func(o *build) bool { return o == b })
	out.Emit(event.DropLot{Lot: b.ref})
}

// writeLedger requests a write of the ledger and returns the number of the write.
func (r *rollout) writeLedger(out *event.Batch) uint64 {
	r.writeSeq++
	r.dirty = false
	r.recordOpenLots()
	out.Raise(event.WriteLedger{Duty: r.duty, Epoch: r.epoch, Seq: r.writeSeq, Ledger: r.ledger.marshal()})
	return r.writeSeq
}

// recordOpenLots lists the unsealed builds in the ledger.
func (r *rollout) recordOpenLots() {
	r.ledger.Open = nil
	for _, b := range r.builds {
		if _, ok := r.ledger.sealed(b.ref.Lot); !ok {
			r.ledger.Open = append(r.ledger.Open, Attempt{Lot: b.ref.Lot, Attempt: b.ref.Attempt})
		}
	}
}

// deleteOpenLots deletes the blocks of attempts that a former holder left unsealed.
func (p *Component) deleteOpenLots(r *rollout, out *event.Batch) {
	for _, a := range r.ledger.Open {
		own := slices.ContainsFunc(r.builds, func(b *build) bool { return b.ref.Attempt == a.Attempt })
		if own {
			continue
		}
		out.Emit(event.DeleteLot{Lot: event.LotRef{Rollout: r.spec.Name, Lot: a.Lot, Attempt: a.Attempt}})
	}
}

// markDirty requests that the ledger is written with the next decision, or after maxWriteDelay.
func (r *rollout) markDirty(now time.Duration) {
	if !r.dirty {
		r.dirty, r.dirtySince = true, now
	}
}

// handleLedgerWritten finishes what waited for ledger writes that are now stored: seals, propagation, deletion of blocks
// and answers.
func (p *Component) handleLedgerWritten(now time.Duration, r *rollout, e event.LedgerWritten, out *event.Batch) {
	if !r.held || e.Epoch != r.epoch || e.Seq <= r.storedSeq || e.Seq > r.writeSeq {
		return
	}
	r.storedSeq = e.Seq
	for _, b := range slices.Clone(r.builds) {
		if b.stage == sealing && b.sealSeq <= r.storedSeq {
			p.dropBuild(r, b, out)
			out.Emit(event.Count{Name: "LotsSealed", N: 1})
		}
	}
	p.propagate(now, r, out)
	p.deletePending(r, out)
	p.sendStoredAnswers(now, r, out)
}

// deleteWhenStored schedules the deletion of blocks for when the next ledger write is stored.
func (r *rollout) deleteWhenStored(blocks []event.BlockRef) {
	if len(blocks) > 0 {
		r.pendingDeletes = append(r.pendingDeletes, pendingDelete{writeSeq: r.writeSeq + 1, names: blockNames(blocks)})
	}
}

func (p *Component) deletePending(r *rollout, out *event.Batch) {
	keep := r.pendingDeletes[:0]
	for _, d := range r.pendingDeletes {
		if d.writeSeq > r.storedSeq {
			keep = append(keep, d)
			continue
		}
		out.Emit(event.DeleteBlocks{Names: d.names})
	}
	r.pendingDeletes = keep
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

func (r *rollout) runningRequests() int {
	n := 0
	for _, b := range r.builds {
		n += b.runningRequests()
	}
	return n
}
