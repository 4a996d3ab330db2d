package proofs

import (
	"fmt"
	"testing"

	"github.com/figshift/figshift/figbed/internal/gauge"
	"github.com/figshift/figshift/figbed/internal/proc"
)

const (
	maxControlCores          = 0.03
	maxControlBytesPerSecond = 15_000
	maxObjectCallsPerZone    = 12.0 // per second, of all daemons of a zone
	controlZones             = 2
)

// Measures the cost of control traffic of idle daemons in two zones, by their number up to the size of today's sites.
func TestPolicyControlByDaemons(t *testing.T) { checkControl(t, 2, 4, 8) }

// Measures the same in the largest fully connected fleet, and in larger fleets, where daemons are connected to some
// neighbours only.
func TestPolicyControlOfManyDaemons(t *testing.T) {
	t.Parallel()
	checkControl(t, 16, 24)
}

func checkControl(t *testing.T, sizes ...int) {
	t.Helper()
	for _, daemons := range sizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			r := gauge.MeasureIdle(t, daemons)
			t.Log(r)
			if r.Calls > maxObjectCallsPerZone*controlZones {
				t.Errorf("%.1f object calls per second in %d zones", r.Calls, controlZones)
			}
			if proc.RaceEnabled {
				return
			}
			if r.CPU > maxControlCores {
				t.Errorf("the busiest daemon used %.4f cores for control", r.CPU)
			}
			if r.Bytes > maxControlBytesPerSecond {
				t.Errorf("the busiest daemon sent and received %.0f bytes per second for control", r.Bytes)
			}
		})
	}
}
