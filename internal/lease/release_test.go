package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/wire"
)

// fleetMembership is a large fleet in which all hosts are alive and no heartbeat claims a duty.
type fleetMembership struct{ hosts []event.Host }

func (f fleetMembership) Known() []event.Host { return f.hosts }

func (f fleetMembership) Alive(time.Duration) []event.Host { return f.hosts }

func (f fleetMembership) Holder(string, time.Duration) (string, uint64) { return "", 0 }

// When the hosts of a large fleet are stopped one after the other, the next holder of a duty must not wait for its next
// periodic read of the duty's object.
func TestReleaseAnnouncementTriggersRead(t *testing.T) {
	var fleet fleetMembership
	var all []string
	for i := range 40 {
		h := event.Host{Name: fmt.Sprintf("h%02d", i), Zone: []string{"a", "b"}[i%2], Incarnation: "1"}
		fleet.hosts = append(fleet.hosts, h)
		all = append(all, h.Name)
	}
	order := ranks.Order(testDuty, all)
	cases := map[string]struct {
		self  string
		hub   bool
		reads bool
	}{
		"next holder":      {order[0], false, true},
		"next holder, hub": {order[0], true, true},
		"late rank":        {order[20], false, false},
		"late rank, hub":   {order[20], true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			self := fleet.hosts[slices.Index(all, c.self)]
			p := &Component{Self: self, Membership: fleet}
			now := time.Minute
			step := func(ev event.Event) (reads, sent int) {
				var out event.Batch
				p.Step(now, ev, &out)
				for _, e := range out.Effects {
					switch e.(type) {
					case event.GetObject:
						reads++
					case event.SendPeer:
						sent++
					}
				}
				return reads, sent
			}
			hubs := []string{"none"}
			if c.hub {
				hubs = append(hubs, self.Name)
			}
			step(event.HostsChanged{Hosts: fleet.hosts, Hubs: hubs})
			step(event.ConfigInForce{Site: config.Defaults()})
			step(event.WantDuties{Owner: "o", Duties: []string{testDuty}})
			now += time.Second
			step(event.Tick{})
			d := p.duties[testDuty]
			d.callPending, d.known, d.lastReadAt, d.record = false, true, now, Record{Holder: "x", Epoch: 4}
			announcement := event.PeerReceived{Host: "x", Message: wire.Message{Freed: &wire.DutyFreed{Duty: testDuty, Epoch: 4}}}
			reads, sent := step(announcement)
			if diff := cmp.Diff(c.reads, reads == 1); diff != "" {
				t.Errorf("%d immediate reads (-want +got):\n%s", reads, diff)
			}
			if diff := cmp.Diff(c.hub, sent > 0); diff != "" {
				t.Errorf("forwarded to %d hosts (-want +got):\n%s", sent, diff)
			}
			if reads, sent := step(announcement); reads+sent != 0 {
				t.Errorf("the repeated announcement caused %d reads and was forwarded to %d hosts", reads, sent)
			}
		})
	}
}

// A holder that is stopped gracefully announces the release once it is stored.
func TestReleaseIsAnnounced(t *testing.T) {
	w := newWorld(1, 0, []time.Duration{time.Hour, time.Second, time.Minute})
	for round := range 100 {
		w.advance(round)
	}
	first := w.holders()[0]
	for _, h := range w.hosts {
		if h.component.Self.Name != first {
			continue
		}
		d := h.component.duties[testDuty]
		var out event.Batch
		h.component.writeStored(h.clock(), d, d.version+1, recordWrite{record: Record{Epoch: d.record.Epoch}}, &out)
		sent := 0
		for _, e := range out.Effects {
			if s, ok := e.(event.SendPeer); ok && s.Message.Freed != nil {
				sent++
			}
		}
		if sent != 2 {
			t.Errorf("announced to %d hosts, want the 2 others", sent)
		}
	}
}
