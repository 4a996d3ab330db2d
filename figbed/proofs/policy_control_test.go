package proofs

import (
	"fmt"
	"testing"

	"github.com/figshift/figshift/figbed/internal/gauge"
	"github.com/figshift/figshift/figbed/internal/proc"
)

const (
	mostControlCPU   = 0.03 // of a core
	mostControlBytes = 15_000
	mostZoneCalls    = 12.0 // object calls a second of a zone's daemons together
	zonesOfControl   = 2
)

// TestPolicyControlByDaemons gives the slopes of the control's cost by the number of daemons in two zones, up to the
// size of today's sites.
func TestPolicyControlByDaemons(t *testing.T) { checkControl(t, 2, 4, 8) }

// TestPolicyControlOfManyDaemons goes on where the mesh is greatest and where it is no longer full.
func TestPolicyControlOfManyDaemons(t *testing.T) {
	t.Parallel()
	checkControl(t, 16, 24)
}

func checkControl(t *testing.T, sizes ...int) {
	t.Helper()
	for _, daemons := range sizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			r := gauge.Control(t, daemons)
			t.Log(r)
			if r.Calls > mostZoneCalls*zonesOfControl {
				t.Errorf("%.1f object calls a second in %d zones", r.Calls, zonesOfControl)
			}
			if proc.RaceEnabled {
				return
			}
			if r.CPU > mostControlCPU {
				t.Errorf("the busiest daemon spent %.4f of a core on control", r.CPU)
			}
			if r.Bytes > mostControlBytes {
				t.Errorf("the busiest daemon moved %.0f bytes a second for control", r.Bytes)
			}
		})
	}
}
