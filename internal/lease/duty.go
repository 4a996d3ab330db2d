package lease

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/config"
)

// Record is the value of a duty's object. It holds both the lease and the duty's ledger, so that one conditional
// write renews the lease and stores the ledger. Timing is what the holder goes by; a successor waits accordingly.
type Record struct {
	Holder      string // empty once released
	Incarnation string
	Epoch       uint64
	Renewals    uint64
	Timing      config.Lease
	Ledger      []byte
	// Turns names the last holders, the latest one last. A build that doesn't know the field drops it.
	Turns []string `json:",omitempty"`
}

// maxTurns is the number of holders that a record names.
const maxTurns = 2

// addTurn records that a host takes the duty over.
func (r *Record) addTurn(host string) {
	turns := slices.Clone(r.Turns)
	if len(turns) == 0 && r.Holder != "" {
		turns = append(turns, r.Holder)
	}
	if len(turns) == 0 || turns[len(turns)-1] != host {
		turns = append(turns, host)
	}
	r.Turns = turns[max(0, len(turns)-maxTurns):]
}

// heldSince reports whether another host has held the duty since a host did.
func (r *Record) heldSince(host string) bool {
	i := slices.Index(r.Turns, host)
	return i >= 0 && r.Turns[len(r.Turns)-1] != host
}

// phase is the state of a duty on this daemon.
type phase int

const (
	idle      phase = iota // held by another host or by none
	waiting                // taken over; orders of the previous holder may still be in flight
	holding                // held; DutyGained was raised
	releasing              // DutyLost was raised; the write that releases the lease is pending
)

// duty is this daemon's view of one duty.
type duty struct {
	name         string
	phase        phase
	version      uint64 // of the object as last read or written, 0 when it is absent
	revision     uint64 // store revision at which record was written, 0 when unknown
	record       Record
	known        bool          // version and record are valid
	firstSeenAt  time.Duration // when version was first seen
	lastReadAt   time.Duration
	trustedUntil time.Duration // the lease counts as held before this time
	gainAt       time.Duration // when DutyGained is due after a takeover
	renewAt      time.Duration
	doubtedAt    time.Duration // when a gap of the clock was reported; no order until a later write is stored
	nextCallAt   time.Duration // earliest time of the next call
	uncertain    bool          // a write failed and may have been stored: read the object first
	claimed      claimedVersion
	rank         int  // this daemon's rank among all known hosts
	rankValid    bool // rank was computed for the current hosts

	ledger    []byte
	ledgerSeq uint64 // sequence number of ledger
	storedSeq uint64 // highest ledgerSeq known to be stored

	callPending      bool
	callSeq          uint64
	pendingWrite     *recordWrite           // the write in flight, nil for a read
	unresolvedWrites map[string]recordWrite // writes with an unknown outcome, by writer
}

// claimedVersion is the highest object version that a heartbeat of the holder has claimed.
type claimedVersion struct {
	version     uint64
	firstSeenAt time.Duration
}

// recordWrite is one conditional write of a duty's record.
type recordWrite struct {
	writer    string
	record    Record
	ledgerSeq uint64
	sentAt    time.Duration
	takeover  bool
	orderWait time.Duration // after a takeover: time to let orders of the previous holder arrive
}

// leaseEnd returns the end of a lease whose renewal was sent at sentAt.
func leaseEnd(sentAt time.Duration, timing config.Lease) time.Duration {
	return sentAt + timing.TTL - timing.Margin
}

func decodeRecord(value []byte) (Record, bool) {
	var r Record
	return r, json.Unmarshal(value, &r) == nil
}

// setRecord makes record the known one at time now. firstSeenAt changes only with the version.
func (d *duty) setRecord(now time.Duration, version uint64, record Record) {
	if !d.known || d.version != version {
		d.firstSeenAt = now
	}
	d.known = true
	d.version = version
	d.record = record
	d.uncertain = false
}

// confirmWrite records that a write of this daemon is stored.
func (d *duty) confirmWrite(now time.Duration, version uint64, w recordWrite) {
	d.setRecord(now, version, w.record)
	d.unresolvedWrites = nil
	if w.sentAt >= d.doubtedAt {
		d.doubtedAt = 0
	}
	d.storedSeq = max(d.storedSeq, w.ledgerSeq)
}

func (d *duty) dirty() bool { return d.ledgerSeq > d.storedSeq }
