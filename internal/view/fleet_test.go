package view

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
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

// Answers the pattern: the store turns some hosts away and serves the others. An endpoint that leaves meanwhile is gone
// for all of them at once: those whose calls fail have it from a host whose calls do not.
func TestEntryGoesWhileTheStoreTurnsThisHostAway(t *testing.T) {
	r := newRig(t, "h1", "h2")
	r.answer(PrefixEndpoints, "", list(5, object("Endpoints/e1", 3, "Live"), object("Endpoints/e2", 4, "Live")))
	for range 20 {
		r.tick(50 * time.Millisecond)
		r.answer(PrefixEndpoints, kinds.StoreRefused, wire.ObjectList{})
	}
	push := wire.Push{Prefix: PrefixEndpoints, Revision: 7, Objects: []wire.Object{{Name: "Endpoints/e2", Revision: 7, Deleted: true}}}
	r.step(event.PeerReceived{Host: "h2", Message: wire.Message{Push: &push}})
	if diff := cmp.Diff([]string{"e1"}, r.endpoints()); diff != "" {
		t.Errorf("endpoints (-want +got):\n%s", diff)
	}
}

// Answers the pattern: a host's calls failed while it watched; others watch now, so that it makes no more calls. It must
// not take the store for away for ever, and keep what has gone.
func TestFailureIsForgottenWithTheWatch(t *testing.T) {
	r := newRig(t, "h1", "h2", "h3", "h4", "h5")
	for _, prefix := range []string{PrefixConfig, PrefixEndpoints, PrefixVersions, PrefixHosts} {
		r.answer(prefix, "", list(5, object("Endpoints/e1", 3, "Live"), object("Endpoints/e2", 4, "Live")))
	}
	for _, f := range r.p.feeds {
		f.failures, f.busy = 1, false
	}
	for i := range 40 { // so many that this host follows nothing
		r.step(event.BeatSeen{Host: fmt.Sprintf("more%d", i)})
	}
	r.tick(50 * time.Millisecond)
	for _, f := range r.p.feeds {
		if r.p.rank(f) < checkers {
			t.Fatalf("this host follows %s still", f.prefix)
		}
	}
	if r.p.away() {
		t.Error("the store counts as away at a host that makes no calls")
	}
}
