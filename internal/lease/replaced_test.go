package lease

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// written is the store's revision of the record of h2's process 1.
const written = 100

// registered is the object by which a process of h2 registered itself.
func registered(incarnation string, revision uint64) event.ObjectSeen {
	return event.ObjectSeen{Object: wire.Object{
		Name: "Hosts/h2", Revision: revision, Value: []byte(`{"Name":"h2","Incarnation":"` + incarnation + `"}`),
	}}
}

// Answers the pattern: a duty's holder is killed and its host runs another process at once. The duty need not wait for
// the lease's end; it must, while the process that holds it may be alive.
func TestProcessThatWasReplaced(t *testing.T) {
	seen := 10 * time.Second // when the record of h2's process 1 was first seen
	cases := map[string]struct {
		events []event.Event
		holder string
		want   bool
	}{
		"another alive after it":  {[]event.Event{event.PeerUp{Host: "h2", Incarnation: "2"}, event.BeatSeen{Host: "h2", Anchored: true, Anchor: seen + 1}}, "h2", true},
		"another alive before it": {[]event.Event{event.PeerUp{Host: "h2", Incarnation: "0"}, event.BeatSeen{Host: "h2", Anchored: true, Anchor: seen - 1}}, "h2", false},
		"beat without an anchor":  {[]event.Event{event.PeerUp{Host: "h2", Incarnation: "2"}, event.BeatSeen{Host: "h2"}}, "h2", false},
		"the same process":        {[]event.Event{event.PeerUp{Host: "h2", Incarnation: "1"}, event.BeatSeen{Host: "h2", Anchored: true, Anchor: seen + 1}}, "h2", false},
		"nothing is heard":        {nil, "h2", false},
		"this host's own, before": {nil, "h1", true},
		"registered after it":     {[]event.Event{registered("2", written+1)}, "h2", true},
		"registered before it":    {[]event.Event{registered("0", written-1)}, "h2", false},
		"registration of its own": {[]event.Event{registered("1", written+1)}, "h2", false},
		"registration is gone":    {[]event.Event{event.ObjectSeen{Object: wire.Object{Name: "Hosts/h2", Revision: written + 1, Deleted: true}}}, "h2", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Part{Self: event.Host{Name: "h1", Incarnation: "9"}}
			for _, ev := range c.events {
				p.Step(seen, ev, &event.Batch{})
			}
			p.start()
			d := &duty{since: seen, revision: written, record: Record{Holder: c.holder, Incarnation: "1"}}
			if got := p.replaced(d); got != c.want {
				t.Errorf("replaced() = %v, want %v", got, c.want)
			}
		})
	}
}
