package update

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/reach"
)

// switchedLinks are reach.Links that the test cuts.
type switchedLinks struct {
	reach.Unbroken
	cut bool
}

func (l *switchedLinks) CutOff(time.Duration) bool { return l.cut }

// A host that reached no engine kept the duty of ordering engines to load versions.
func TestCutOffHostGivesTheDutyUp(t *testing.T) {
	r := newRig([]string{"m"}, 2)
	links := &switchedLinks{}
	r.component.Links = links
	var wanted [][]string
	tick := func() {
		var out event.Batch
		r.component.Step(r.now, event.Tick{}, &out)
		for _, raised := range out.Raised {
			if w, ok := raised.(event.WantDuties); ok {
				wanted = append(wanted, w.Duties)
			}
		}
	}
	for _, cut := range []bool{false, true, true, false} {
		links.cut = cut
		tick()
	}
	if diff := cmp.Diff([][]string{{Duty}, nil, {Duty}}, wanted); diff != "" {
		t.Errorf("duties wanted (-want +got):\n%s", diff)
	}
}
