package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// DutyUsage is the duty that sums the daemons' counts and reports each usage window.
const DutyUsage = "Usage"

// ClockRead reports the time of day on this host's own clock, since the Unix epoch. It may jump.
type ClockRead struct{ Unix time.Duration }

// ClockGap reports that the time of day went on by By more than the reducer's clock: this host was suspended, or its time of day
// was set.
type ClockGap struct{ By time.Duration }

// WallClock is raised with the time of day that the hosts agree on, since the Unix epoch. Usage windows depend on it.
type WallClock struct{ Unix time.Duration }

// KnowClock tells the executors the agreed time of day, since the Unix epoch, at which the reducer's clock was 0.
type KnowClock struct{ Epoch time.Duration }

// SendUsage reports a frozen usage window, one whose figures no longer change, to the platform. It is not sent after
// Before.
type SendUsage struct {
	Seq    uint64
	Report wire.UsageReport
	Before time.Duration
}

// UsageSent ends a SendUsage. Kind is "" when the platform has accepted the report; with any other kind the platform
// may still have accepted it.
type UsageSent struct {
	Seq      uint64
	ReportID string
	Kind     kinds.Kind
}

func (ClockRead) isEvent()  {}
func (ClockGap) isEvent()   {}
func (WallClock) isEvent()  {}
func (KnowClock) isEffect() {}
func (SendUsage) isEffect() {}
func (UsageSent) isEvent()  {}
