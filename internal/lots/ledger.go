// Package lots decides how the lots of a rollout are built and delivered: which samples run, which groups a lot contains,
// when a lot is sealed and which lot a trainer receives.
package lots

import (
	"encoding/json"
	"slices"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// Ledger is the durable state of a rollout. It is stored in the same object as the duty's lease.
type Ledger struct {
	Newest    uint64 // newest published version
	Consumer  string // only consumer that may receive lots, "" for none
	Acked     uint64 // last acknowledged lot
	Delivered uint64 // number of acknowledged samples
	Lots      []Sealed
	Voided    []Void
	Open      []Attempt // unsealed at the last write; a successor deletes their blocks
}

// Attempt identifies one attempt at a lot.
type Attempt struct {
	Lot     uint64
	Attempt uint64
}

// Sealed is a complete lot that is not acknowledged yet. Oldest is the oldest version in any of its samples.
type Sealed struct {
	Lot      uint64
	Attempt  uint64
	Oldest   uint64
	Count    int
	Checksum string
	Blocks   []event.BlockRef
}

// Void is a sealed attempt that was voided, since it became stale or lost a block. A consumer may have received it before.
type Void struct {
	Lot     uint64
	Attempt uint64
	Count   int
}

func readLedger(data []byte) (Ledger, error) {
	var l Ledger
	if len(data) == 0 {
		return l, nil
	}
	err := json.Unmarshal(data, &l)
	return l, err
}

func (l *Ledger) marshal() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic(err) // cannot happen: JSON can encode all fields
	}
	return data
}

// fresh reports whether version oldest is at most maxStaleness versions behind the newest.
func (l *Ledger) fresh(oldest uint64, maxStaleness int) bool {
	return oldest+uint64(maxStaleness) >= l.Newest
}

func (l *Ledger) sealed(lot uint64) (*Sealed, bool) {
	for i := range l.Lots {
		if l.Lots[i].Lot == lot {
			return &l.Lots[i], true
		}
	}
	return nil, false
}

// voided returns the voided attempts at a lot, oldest first.
func (l *Ledger) voided(lot uint64) []uint64 {
	var attempts []uint64
	for _, v := range l.Voided {
		if v.Lot == lot {
			attempts = append(attempts, v.Attempt)
		}
	}
	return attempts
}

// seal adds a lot and reports whether it did. It refuses a lot that is stale, acknowledged or already sealed.
func (l *Ledger) seal(s Sealed, maxStaleness int) bool {
	if _, ok := l.sealed(s.Lot); ok || s.Lot <= l.Acked {
		return false
	}
	if !l.fresh(s.Oldest, maxStaleness) {
		return false
	}
	l.Lots = append(l.Lots, s)
	slices.SortFunc(l.Lots, func(a, b Sealed) int { return int(a.Lot) - int(b.Lot) })
	return true
}

// void moves a sealed lot to the voided attempts and returns its blocks.
func (l *Ledger) void(lot uint64) []event.BlockRef {
	for i, s := range l.Lots {
		if s.Lot != lot {
			continue
		}
		l.Voided = append(l.Voided, Void{Lot: s.Lot, Attempt: s.Attempt, Count: s.Count})
		l.Lots = slices.Delete(l.Lots, i, i+1)
		return s.Blocks
	}
	return nil
}

// canAck returns BadCursor if a consumer cannot have received all lots up to cursor, else "". attempt is the attempt at
// lot cursor that the consumer received, 0 if it does not say.
func (l *Ledger) canAck(cursor, attempt uint64) kinds.Kind {
	if cursor < l.Acked {
		return kinds.BadCursor
	}
	for lot := l.Acked + 1; lot <= cursor; lot++ {
		wanted := uint64(0)
		if lot == cursor {
			wanted = attempt
		}
		if !l.wasSealed(lot, wanted) {
			return kinds.BadCursor
		}
	}
	return ""
}

func (l *Ledger) wasSealed(lot, attempt uint64) bool {
	if s, ok := l.sealed(lot); ok && (attempt == 0 || s.Attempt == attempt) {
		return true
	}
	voided := l.voided(lot)
	return len(voided) > 0 && (attempt == 0 || slices.Contains(voided, attempt))
}

// ack removes the lots up to cursor and returns their blocks. The caller must have checked canAck.
func (l *Ledger) ack(cursor uint64) []event.BlockRef {
	var blocks []event.BlockRef
	for lot := l.Acked + 1; lot <= cursor; lot++ {
		blocks = append(blocks, l.ackLot(lot)...)
	}
	l.Acked = max(l.Acked, cursor)
	return blocks
}

func (l *Ledger) ackLot(lot uint64) []event.BlockRef {
	var blocks []event.BlockRef
	count := 0
	l.Lots = slices.DeleteFunc(l.Lots, func(s Sealed) bool {
		if s.Lot != lot {
			return false
		}
		count, blocks = s.Count, s.Blocks
		return true
	})
	l.Voided = slices.DeleteFunc(l.Voided, func(v Void) bool {
		if v.Lot == lot && count == 0 {
			count = v.Count
		}
		return v.Lot == lot
	})
	l.Delivered += uint64(count)
	return blocks
}
