package update

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

// Orders that an engine refused were repeated beyond its limit; and an engine with a limit got no orders from a host that
// sends it nothing else.
func TestOrdersKeepToLimits(t *testing.T) {
	r := newRig([]string{"m"}, 1)
	limits := &limit.Component{Self: "h1"}
	r.component.Limits = limits
	limits.Step(r.now, event.HostsChanged{Hosts: []event.Host{{Name: "h1"}, {Name: "h2"}}}, &event.Batch{})
	limits.Step(r.now, limit.Answered(wire.LeaveMark{Endpoint: "e0", Incarnation: "1"}, 0, "1"), &event.Batch{})
	for range 2 {
		limits.FillBeat(r.now, &wire.Beat{}) // with the second one, h1 has no share of its own
	}
	r.publish("m", 2)
	if diff := cmp.Diff([]string{"e0=2"}, r.tickAfter(time.Second)); diff != "" {
		t.Fatalf("first order (-want +got):\n%s", diff)
	}
	r.step(event.EngineSwapped{Duty: Duty, Epoch: 1, OrderID: r.orders[0].OrderID, Endpoint: "e0", Kind: "EndpointRefused"})
	if got := r.tickAfter(retryDelay + time.Millisecond); len(got) > 0 {
		t.Errorf("repeated before the limit allows it: %v", got)
	}
	if diff := cmp.Diff([]string{"e0=2"}, r.tickAfter(4*time.Second)); diff != "" {
		t.Errorf("repeated later (-want +got):\n%s", diff)
	}
}
