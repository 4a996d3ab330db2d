package event

import (
	"time"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// DutyUsage is the duty that folds the daemons' counts and reports the windows.
const DutyUsage = "Usage"

// WallClock tells the wall-clock time, as the time since the Unix epoch. Only usage windows depend on it.
type WallClock struct{ Unix time.Duration }

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

func (WallClock) isEvent()  {}
func (SendUsage) isEffect() {}
func (UsageSent) isEvent()  {}
