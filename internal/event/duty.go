package event

import (
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// WantDuties is raised by a component to declare the duties of its area. Every daemon competes for their leases.
type WantDuties struct {
	Owner  string
	Duties []string
}

// DutyGained is raised when this daemon holds a duty and has waited until no order that the previous holder sent can
// still take effect. Ledger is the duty's stored record as it was read.
type DutyGained struct {
	Duty   string
	Epoch  uint64
	Ledger []byte
}

// DutyLost is raised when this daemon no longer trusts its lease on a duty.
type DutyLost struct{ Duty string }

// WriteLedger is raised by a component to persist a decision: a single conditional update proves that the lease is still
// held and stores Ledger. Seq increases with each of the component's writes. A later WriteLedger for the same duty
// supersedes one that has not been sent yet.
type WriteLedger struct {
	Duty   string
	Epoch  uint64
	Seq    uint64
	Ledger []byte
}

// LedgerWritten is raised when a WriteLedger is known to be stored. Every write with a lower Seq is stored or
// superseded.
type LedgerWritten struct {
	Duty  string
	Epoch uint64
	Seq   uint64
}

// ReleaseDuty is raised by a component that has handed over its duty and no longer needs the lease.
type ReleaseDuty struct{ Duty string }

// ConfigInForce is raised when a configuration with a higher revision takes effect on this daemon.
type ConfigInForce struct{ Site *config.Site }

// KeysInForce is raised when the key table has changed.
type KeysInForce struct{ Revision uint64 }

// EndpointsListed is raised when a newer platform endpoint list is known, read by this daemon or relayed by a peer.
type EndpointsListed struct{ List wire.EndpointList }

// ObjectSeen is raised for each object outside Config and Keys that the watch delivers (prefix Rollouts/).
type ObjectSeen struct{ Object wire.Object }

// Trust answers, within a step, whether this daemon may rely on its data and which duties it holds.
type Trust interface {
	// Trusted reports whether keys and configuration may be relied on at time now, and until when if no newer
	// evidence arrives.
	Trusted(now time.Duration) (until time.Duration, ok bool)
	// Holds reports whether this daemon holds a duty at time now, until when its lease is trusted, and the duty's
	// epoch.
	Holds(duty string, now time.Duration) (until time.Duration, epoch uint64, ok bool)
}

func (WantDuties) isEvent()      {}
func (DutyGained) isEvent()      {}
func (DutyLost) isEvent()        {}
func (WriteLedger) isEvent()     {}
func (LedgerWritten) isEvent()   {}
func (ReleaseDuty) isEvent()     {}
func (ConfigInForce) isEvent()   {}
func (KeysInForce) isEvent()     {}
func (EndpointsListed) isEvent() {}
func (ObjectSeen) isEvent()      {}
