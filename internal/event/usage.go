package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// DutyUsage is the duty that folds the daemons' counts and reports the windows.
const DutyUsage = "Usage"

// ClockRead tells what this host's own clock reads as the time of day, as the time since the Unix epoch. It may jump.
type ClockRead struct{ Unix time.Duration }

// WallClock tells the time of day that the hosts agree on, as the time since the Unix epoch. Usage windows depend on it.
type WallClock struct{ Unix time.Duration }

// KnowClock tells the executors the agreed time of day at which the reducer's clock was 0.
type KnowClock struct{ Epoch time.Duration }

// SendUsage reports a frozen window to the platform. It is not sent after Before.
type SendUsage struct {
	Seq    uint64
	Report wire.UsageReport
	Before time.Duration
}

// UsageSent ends a SendUsage. Kind is "" when the platform has taken the report; after any other kind
// it may have.
type UsageSent struct {
	Seq      uint64
	ReportID string
	Kind     kinds.Kind
}

func (ClockRead) isEvent()  {}
func (WallClock) isEvent()  {}
func (KnowClock) isEffect() {}
func (SendUsage) isEffect() {}
func (UsageSent) isEvent()  {}
