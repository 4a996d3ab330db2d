package batch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

// Items were sent to engines beyond their limits, and an item that waited took a slot.
func TestItemsKeepToLimits(t *testing.T) {
	e1, e2 := testEngine("e1", 1), testEngine("e2", 1)
	limits := &limit.Component{Self: "h1"}
	r := newRig(t)
	r.p.Limits, r.p.engines.limits = limits, limits
	r.step(event.EndpointsListed{List: wire.EndpointList{Revision: 2, Endpoints: []wire.Endpoint{e1, e2}}})
	for _, e := range []wire.Endpoint{e1, e2} {
		limits.Step(r.now, limit.Answered(leaveMark(&e), 0, "2"), &event.Batch{})
	}
	r.submit("j1", testHead(4, 2, func(i int) int { return 100 - i }))
	if got := len(r.running()); got != 2 {
		t.Fatalf("%d items run before the engines allow more, want 2", got)
	}
	wants := map[wire.LeaveMark]float64{leaveMark(&e1): 0, leaveMark(&e2): 0}
	r.p.AddWants(r.now, wants)
	if diff := cmp.Diff(map[wire.LeaveMark]float64{leaveMark(&e1): 3, leaveMark(&e2): 3}, wants); diff != "" {
		t.Errorf("what the waiting items want (-want +got):\n%s", diff)
	}
	r.tick(500 * time.Millisecond)
	if got := len(r.running()); got != 4 {
		t.Errorf("%d items run after half a second, want 4", got)
	}
	if diff := cmp.Diff([]string{"j1/0", "j1/1", "j1/2", "j1/3"}, itemsOf(r)); diff != "" {
		t.Errorf("the longest items don't go first (-want +got):\n%s", diff)
	}
	r.tick(time.Second)
	if got := len(r.running()); got != 8 {
		t.Errorf("%d items run after another second, want 8", got)
	}
}

// itemsOf returns the items that were started, as job/item.
func itemsOf(r *rig) []string {
	var all []string
	for _, e := range take[event.RunItem](r) {
		all = append(all, e.Job+"/"+string(rune('0'+e.Item)))
	}
	return all
}
