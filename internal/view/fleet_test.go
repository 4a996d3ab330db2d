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

// fleetHosts returns perZone hosts in each of the zones.
func fleetHosts(zones, perZone int) []event.Host {
	var hosts []event.Host
	for z := range zones {
		for i := range perZone {
			hosts = append(hosts, event.Host{Name: fmt.Sprintf("h%d-%d", z, i), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return hosts
}

// newFleetRig returns a rig for a host of a large fleet that receives heartbeats from some of the others.
func newFleetRig(t *testing.T, self event.Host, hosts []event.Host, receivesFrom func(other event.Host) bool) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Second, p: &Component{Host: self.Name, Zone: self.Zone, Decoder: testDecoder{}, Keys: &keys.Table{}}}
	r.step(event.HostsChanged{Hosts: hosts, Hubs: member.Hubs(hosts, 2)})
	for _, other := range hosts {
		if other.Name != self.Name && receivesFrom(other) {
			r.step(event.BeatSeen{Host: other.Name})
		}
	}
	return r
}

// In a large fleet only a few hosts may read the store: the number of calls must grow neither with the hosts nor with
// the zones. A zone or a host that is cut off from the others must read the store by itself.
func TestWatchersOfALargeFleet(t *testing.T) {
	const zones, perZone = 4, 10
	hosts := fleetHosts(zones, perZone)
	hubs := member.Hubs(hosts, 2)
	isHub := func(h event.Host) bool { return slices.Contains(hubs, h.Name) }
	cases := map[string]struct {
		receives func(self, other event.Host) bool
		watching int // hosts of the fleet that watch the prefix
	}{
		"whole": {func(self, other event.Host) bool {
			return isHub(other) && (isHub(self) || self.Zone == other.Zone)
		}, watcherCount},
		"hubs of one zone are lost": {func(self, other event.Host) bool {
			return isHub(other) && other.Zone != "z1" && (isHub(self) || self.Zone == other.Zone)
		}, watcherCount + perZone},
		"zones are cut from each other": {func(self, other event.Host) bool {
			return isHub(other) && self.Zone == other.Zone
		}, watcherCount * zones},
		"no host is connected": {func(event.Host, event.Host) bool { return false }, zones * perZone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			watching, relisting := 0, map[int]int{}
			for _, h := range hosts {
				if name == "hubs of one zone are lost" && isHub(h) && h.Zone == "z1" {
					watching++ // counted like the others of its zone, which receive heartbeats from no hub
					continue
				}
				r := newFleetRig(t, h, hosts, func(other event.Host) bool { return c.receives(h, other) })
				configs := r.p.prefixCache(PrefixConfig)
				if r.p.isWatcher(configs) {
					watching++
				}
				for turn := range relisterCount {
					if r.p.isRelistTurn(configs, turn) {
						relisting[turn]++
					}
				}
			}
			if watching != c.watching {
				t.Errorf("%d hosts watch, want %d", watching, c.watching)
			}
			for turn := range relisterCount {
				if relisting[turn] == 0 {
					t.Errorf("no host lists again in turn %d", turn)
				}
				if name == "whole" && relisting[turn] != 1 {
					t.Errorf("%d hosts list again in turn %d, want one", relisting[turn], turn)
				}
			}
		})
	}
}

// A change that reaches a hub from another zone must be forwarded to the hosts of the hub's own zone, which are
// not connected to the sender.
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
		forwardedByZone := func() map[string]int {
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
		if diff := cmp.Diff(want, forwardedByZone()); diff != "" {
			t.Errorf("%s forwarded, by zone (-want +got):\n%s", self.Name, diff)
		}
		if diff := cmp.Diff(map[string]int{}, forwardedByZone()); diff != "" {
			t.Errorf("%s forwarded a change that it already had (-want +got):\n%s", self.Name, diff)
		}
	}
}

// The store refuses some hosts and serves the others. An endpoint that leaves at that time must be removed on all hosts
// at once: those whose calls fail learn of it from a host whose calls succeed.
func TestEntryRemovedWhileTheStoreRefusesThisHost(t *testing.T) {
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

// A host whose calls failed while it watched stops calling when other hosts take over the watch. It must not consider
// the store unavailable for ever, which would keep removed endpoints.
func TestFailuresAreResetWhenCallsStop(t *testing.T) {
	r := newRig(t, "h1", "h2", "h3", "h4", "h5")
	for _, prefix := range []string{PrefixConfig, PrefixEndpoints, PrefixVersions, PrefixHosts} {
		r.answer(prefix, "", list(5, object("Endpoints/e1", 3, "Live"), object("Endpoints/e2", 4, "Live")))
	}
	for _, cache := range r.p.caches {
		cache.failures, cache.inFlight = 1, false
	}
	for i := range 40 { // so many that this host reads no prefix
		r.step(event.BeatSeen{Host: fmt.Sprintf("more%d", i)})
	}
	r.tick(50 * time.Millisecond)
	for _, cache := range r.p.caches {
		if r.p.rank(cache) < relisterCount {
			t.Fatalf("this host still reads %s", cache.prefix)
		}
	}
	if r.p.storeUnavailable() {
		t.Error("the store counts as unavailable on a host that makes no calls")
	}
}
