package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/wire"
)

// fleetHosts returns hosts of several zones.
func fleetHosts(zones, perZone int) []event.Host {
	var hosts []event.Host
	for z := range zones {
		for i := range perZone {
			hosts = append(hosts, event.Host{Name: fmt.Sprintf("h%d-%d", z, i), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return hosts
}

// newFleetRig is a host of a large fleet that hears some of the others.
func newFleetRig(t *testing.T, self event.Host, hosts []event.Host, hears func(other event.Host) bool) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Second, p: &Part{Host: self.Name, Zone: self.Zone, Decode: plain{}, Keys: &keys.Table{}}}
	r.step(event.HostsChanged{Hosts: hosts, Hubs: member.Hubs(hosts, 2)})
	for _, other := range hosts {
		if other.Name != self.Name && hears(other) {
			r.step(event.BeatSeen{Host: other.Name})
		}
	}
	return r
}

// Answers the pattern: many hosts, few of which hear each other; the calls to the store grow neither with the hosts nor
// with the zones, and a zone or a host that is cut from the others follows the store by itself.
func TestWatchersOfALargeFleet(t *testing.T) {
	const zones, perZone = 4, 10
	hosts := fleetHosts(zones, perZone)
	hubs := member.Hubs(hosts, 2)
	isHub := func(h event.Host) bool { return slices.Contains(hubs, h.Name) }
	cases := map[string]struct {
		hears    func(self, other event.Host) bool
		watching int // hosts of the fleet
	}{
		"whole": {func(self, other event.Host) bool {
			return isHub(other) && (isHub(self) || self.Zone == other.Zone)
		}, watchers},
		"hubs of one zone are lost": {func(self, other event.Host) bool {
			return isHub(other) && other.Zone != "z1" && (isHub(self) || self.Zone == other.Zone)
		}, watchers + perZone},
		"zones are cut from each other": {func(self, other event.Host) bool {
			return isHub(other) && self.Zone == other.Zone
		}, watchers * zones},
		"nobody hears anybody": {func(event.Host, event.Host) bool { return false }, zones * perZone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			watching, checking := 0, map[int]int{}
			for _, h := range hosts {
				if name == "hubs of one zone are lost" && isHub(h) && h.Zone == "z1" {
					watching++ // counted as the others of its zone are: it hears no hub
					continue
				}
				r := newFleetRig(t, h, hosts, func(other event.Host) bool { return c.hears(h, other) })
				f := r.p.feed(PrefixConfig)
				if r.p.watches(f) {
					watching++
				}
				for turn := range checkers {
					if r.p.checks(f, turn) {
						checking[turn]++
					}
				}
			}
			if watching != c.watching {
				t.Errorf("%d hosts watch, want %d", watching, c.watching)
			}
			for turn := range checkers {
				if checking[turn] == 0 {
					t.Errorf("no host checks in turn %d", turn)
				}
				if name == "whole" && checking[turn] != 1 {
					t.Errorf("%d hosts check in turn %d, want one", checking[turn], turn)
				}
			}
		})
	}
}

// Answers the pattern: a change that a hub of one zone hears reaches the hosts of another zone, which do not hear it.
func TestHubsPassChangesOn(t *testing.T) {
	const zones, perZone = 2, 10
	hosts := fleetHosts(zones, perZone)
	zoneOf := map[string]string{}
	for _, h := range hosts {
		zoneOf[h.Name] = h.Zone
	}
	hubs := member.Hubs(hosts, 2)
	for _, self := range hosts {
		r := newFleetRig(t, self, hosts, func(event.Host) bool { return true })
		var from string
		for _, hub := range hubs {
			if zoneOf[hub] != self.Zone {
				from = hub
			}
		}
		push := wire.Push{Prefix: PrefixConfig, Revision: 9, Objects: []wire.Object{object("Config/Site", 9, "2")}}
		passed := func() map[string]int {
			r.step(event.PeerReceived{Host: from, Message: wire.Message{Push: &push}})
			to := map[string]int{}
			for _, e := range r.out.Effects {
				if send, ok := e.(event.SendPeer); ok && send.Message.Push != nil {
					to[zoneOf[send.Host]]++
				}
			}
			return to
		}
		want := map[string]int{}
		if slices.Contains(hubs, self.Name) {
			want[self.Zone] = perZone - 1
		}
		if diff := cmp.Diff(want, passed()); diff != "" {
			t.Errorf("%s passed on, by zone (-want +got):\n%s", self.Name, diff)
		}
		if diff := cmp.Diff(map[string]int{}, passed()); diff != "" {
			t.Errorf("%s passed on what it knows (-want +got):\n%s", self.Name, diff)
		}
	}
}
