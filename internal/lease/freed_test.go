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

// fleetRoster is a large fleet of which this host hears all.
type fleetRoster struct{ hosts []event.Host }

func (f fleetRoster) Known() []event.Host { return f.hosts }

func (f fleetRoster) Alive(time.Duration) []event.Host { return f.hosts }

func (f fleetRoster) Holder(string, time.Duration) (string, uint64) { return "", 0 }

// Answers the pattern: the hosts of a large fleet are stopped in turn. The next holder of a duty must not wait for the
// turn in which it reads the duty's record.
func TestReleaseIsHeard(t *testing.T) {
	var fleet fleetRoster
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
		"next":      {order[0], false, true},
		"next, hub": {order[0], true, true},
		"late":      {order[20], false, false},
		"late, hub": {order[20], true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			self := fleet.hosts[slices.Index(all, c.self)]
			p := &Part{Self: self, Roster: fleet}
			now := time.Minute
			step := func(ev event.Event) (reads, told int) {
				var out event.Batch
				p.Step(now, ev, &out)
				for _, e := range out.Effects {
					switch e.(type) {
					case event.GetObject:
						reads++
					case event.SendPeer:
						told++
					}
				}
				return reads, told
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
			d.busy, d.known, d.readAt, d.record = false, true, now, Record{Holder: "x", Epoch: 4}
			freed := event.PeerReceived{Host: "x", Message: wire.Message{Freed: &wire.DutyFreed{Duty: testDuty, Epoch: 4}}}
			reads, told := step(freed)
			if diff := cmp.Diff(c.reads, reads == 1); diff != "" {
				t.Errorf("%d reads at once (-want +got):\n%s", reads, diff)
			}
			if diff := cmp.Diff(c.hub, told > 0); diff != "" {
				t.Errorf("passed on to %d hosts (-want +got):\n%s", told, diff)
			}
			if reads, told := step(freed); reads+told != 0 {
				t.Errorf("the second word made %d reads and was passed on to %d hosts", reads, told)
			}
		})
	}
}

// Answers the pattern: a holder is stopped gracefully; it tells the others once the store has its release.
func TestReleaseIsTold(t *testing.T) {
	w := newWorld(1, 0, []time.Duration{time.Hour, time.Second, time.Minute})
	for round := range 100 {
		w.advance(round)
	}
	first := w.holders()[0]
	for _, h := range w.hosts {
		if h.part.Self.Name != first {
			continue
		}
		d := h.part.duties[testDuty]
		var out event.Batch
		h.part.stored(h.clock(), d, d.version+1, write{record: Record{Epoch: d.record.Epoch}}, &out)
		told := 0
		for _, e := range out.Effects {
			if s, ok := e.(event.SendPeer); ok && s.Message.Freed != nil {
				told++
			}
		}
		if told != 2 {
			t.Errorf("%d hosts told, want the two others", told)
		}
	}
}
