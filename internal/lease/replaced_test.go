package lease

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// recordRevision is the store revision of the record that names process 1 of h2 as the holder.
const recordRevision = 100

// registrationEvent returns the event for the object by which a process of h2 registered.
func registrationEvent(incarnation string, revision uint64) event.ObjectSeen {
	return event.ObjectSeen{Object: wire.Object{
		Name: "Hosts/h2", Revision: revision, Value: []byte(`{"Name":"h2","Incarnation":"` + incarnation + `"}`),
	}}
}

// When a holder is killed and its host starts another process at once, a successor need not wait for the lease to
// expire. It must wait while the process that holds the lease may be alive.
func TestProcessThatWasReplaced(t *testing.T) {
	seen := 10 * time.Second // when the record of h2's process 1 was first seen
	cases := map[string]struct {
		events []event.Event
		holder string
		want   bool
	}{
		"another process alive after the record":       {[]event.Event{event.PeerUp{Host: "h2", Incarnation: "2"}, event.BeatSeen{Host: "h2", Anchored: true, Anchor: seen + 1}}, "h2", true},
		"another process alive before the record":      {[]event.Event{event.PeerUp{Host: "h2", Incarnation: "0"}, event.BeatSeen{Host: "h2", Anchored: true, Anchor: seen - 1}}, "h2", false},
		"heartbeat without an anchor":                  {[]event.Event{event.PeerUp{Host: "h2", Incarnation: "2"}, event.BeatSeen{Host: "h2"}}, "h2", false},
		"the same process":                             {[]event.Event{event.PeerUp{Host: "h2", Incarnation: "1"}, event.BeatSeen{Host: "h2", Anchored: true, Anchor: seen + 1}}, "h2", false},
		"no heartbeat":                                 {nil, "h2", false},
		"earlier process of this host":                 {nil, "h1", true},
		"another process registered after the record":  {[]event.Event{registrationEvent("2", recordRevision+1)}, "h2", true},
		"another process registered before the record": {[]event.Event{registrationEvent("0", recordRevision-1)}, "h2", false},
		"holder registered after the record":           {[]event.Event{registrationEvent("1", recordRevision+1)}, "h2", false},
		"registration deleted":                         {[]event.Event{event.ObjectSeen{Object: wire.Object{Name: "Hosts/h2", Revision: recordRevision + 1, Deleted: true}}}, "h2", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Component{Self: event.Host{Name: "h1", Incarnation: "9"}}
			for _, ev := range c.events {
				p.Step(seen, ev, &event.Batch{})
			}
			p.start(0)
			d := &duty{firstSeenAt: seen, revision: recordRevision, record: Record{Holder: c.holder, Incarnation: "1"}}
			if got := p.holderReplaced(d); got != c.want {
				t.Errorf("holderReplaced() = %v, want %v", got, c.want)
			}
		})
	}
}
