package lease

import (
	"encoding/json"
	"time"

	"github.com/figshift/figshift/internal/config"
)

// Record is the value of a duty's object: the lease and the duty's ledger, so that one conditional write proves
// the one and stores the other. Timing is what the holder goes by; a successor waits accordingly.
type Record struct {
	Holder      string // "" once released
	Incarnation string
	Epoch       uint64
	Renewals    uint64
	Timing      config.Lease
	Ledger      []byte
}

// phase is how far a duty is on this daemon.
type phase int

const (
	idle      phase = iota // another host's, or nobody's
	waiting                // taken, the former holder's orders may still be under way
	holding                // raised as DutyGained
	releasing              // raised as DutyLost, the release is being written
)

// duty is this daemon's view of one duty.
type duty struct {
	name     string
	phase    phase
	version  uint64 // of the object as last known, 0 when it is absent
	revision uint64 // store's revision at which it was written, 0 when not known
	record   Record
	known    bool          // version and record were read or written
	since    time.Duration // time at which version was first known
	readAt   time.Duration // time of the last read
	until    time.Duration // the lease is trusted before this time
	gainAt   time.Duration // end of the wait
	renewAt  time.Duration
	next     time.Duration // earliest time of the next call
	suspect  bool          // a write's outcome is not known
	heard    heard
	rank     int  // this daemon's place among all known hosts
	ranked   bool // rank is of the present hosts

	ledger     []byte
	ledgerSeq  uint64 // of ledger
	writtenSeq uint64 // highest known to be stored

	busy    bool
	seq     uint64
	writing *write           // the write under way, nil for a read
	unknown map[string]write // writes whose outcome is not known, by writer
}

// heard is the version that the holder's beats claim.
type heard struct {
	version uint64
	since   time.Duration
}

// write is one conditional write.
type write struct {
	writer    string
	record    Record
	ledgerSeq uint64
	sentAt    time.Duration
	takeover  bool
	wait      time.Duration // after a takeover, for the former holder's orders
}

// trustUntil returns the end of a lease that was renewed by a call sent at sentAt.
func trustUntil(sentAt time.Duration, timing config.Lease) time.Duration {
	return sentAt + timing.TTL - timing.Margin
}

func decodeRecord(value []byte) (Record, bool) {
	var r Record
	return r, json.Unmarshal(value, &r) == nil
}

// adopt takes a stored record as known at time now. The time of the first sight of a version is kept.
func (d *duty) adopt(now time.Duration, version uint64, record Record) {
	if !d.known || d.version != version {
		d.since = now
	}
	d.known = true
	d.version = version
	d.record = record
	d.suspect = false
}

// settleWrite takes a write of this daemon as stored.
func (d *duty) settleWrite(now time.Duration, version uint64, w write) {
	d.adopt(now, version, w.record)
	d.unknown = nil
	d.writtenSeq = max(d.writtenSeq, w.ledgerSeq)
}

func (d *duty) dirty() bool { return d.ledgerSeq > d.writtenSeq }
