package event

import (
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// WantDuties is raised by a part to say which duties exist in its area; every daemon competes for them.
type WantDuties struct {
	Owner  string
	Duties []string
}

// DutyGained is raised when this daemon holds a duty, after the wait for the former holder's orders in flight.
// Ledger is the duty's record as it was read.
type DutyGained struct {
	Duty   string
	Epoch  uint64
	Ledger []byte
}

// DutyLost is raised when this daemon no longer trusts its lease.
type DutyLost struct{ Duty string }

// WriteLedger is raised by a part to record a decision: one conditional update proves the lease and stores Ledger.
// Seq is the part's own rising number. A later WriteLedger of the same duty supersedes one not yet sent.
type WriteLedger struct {
	Duty   string
	Epoch  uint64
	Seq    uint64
	Ledger []byte
}

// LedgerWritten is raised when a WriteLedger is known to be stored. All with a lower Seq are superseded or stored.
type LedgerWritten struct {
	Duty  string
	Epoch uint64
	Seq   uint64
}

// ReleaseDuty is raised by a part that has handed over its duty and needs the lease no more.
type ReleaseDuty struct{ Duty string }

// ConfigInForce is raised when a configuration with a higher revision takes effect on this daemon.
type ConfigInForce struct{ Site *config.Site }

// KeysInForce is raised when the key table has changed.
type KeysInForce struct{ Revision uint64 }

// EndpointsListed is raised when a newer platform list is known, read here or relayed.
type EndpointsListed struct{ List wire.EndpointList }

// ObjectSeen is raised for each object outside Config and Keys that the watch brought (prefix Rollouts/).
type ObjectSeen struct{ Object wire.Object }

// Trust is the view of the authority that other parts ask within a step.
type Trust interface {
	// Trusted reports whether keys and configuration may be relied on at time now,
	// and until when on the present evidence.
	Trusted(now time.Duration) (until time.Duration, ok bool)
	// Holds reports whether this daemon holds a duty at time now, until when its lease is trusted, and its epoch.
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
