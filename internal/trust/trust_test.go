package trust

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// testState is a State whose values the test sets.
type testState struct {
	configRevision, keysRevision uint64
	contact                      time.Duration
	hasContact                   bool
	incomplete                   bool
}

// Complete implements State.
func (s *testState) Complete() bool { return !s.incomplete }

// Site implements State.
func (s *testState) Site() *config.Site {
	site := config.Defaults()
	site.Revision = s.configRevision
	return site
}

// Revisions implements State.
func (s *testState) Revisions() (uint64, uint64) { return s.configRevision, s.keysRevision }

// HostsRevision implements State.
func (s *testState) HostsRevision() uint64 { return 0 }

// OwnContact implements State.
func (s *testState) OwnContact() (time.Duration, bool) { return s.contact, s.hasContact }

func admittedHosts(n int) []event.Host {
	var hosts []event.Host
	for i := range n {
		hosts = append(hosts, event.Host{Name: fmt.Sprintf("h%d", i), Admitted: true})
	}
	return hosts
}

func TestTrusted(t *testing.T) {
	heartbeat := func(host string, anchor time.Duration, b wire.Beat) event.BeatSeen {
		b.Complete = true
		return event.BeatSeen{Host: host, Beat: b, Anchor: anchor, Anchored: true}
	}
	none := wire.Beat{EvidenceAgeMS: -1, KeysRevision: 1}
	cases := map[string]struct {
		state      testState
		heartbeats []event.BeatSeen
		until      time.Duration // 0: not trusted at 10 s
	}{
		"own contact":        {state: testState{keysRevision: 1, contact: 8 * time.Second, hasContact: true}, until: 11 * time.Second},
		"own contact is old": {state: testState{keysRevision: 1, contact: 7 * time.Second, hasContact: true}},
		"relayed contact": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: 500, KeysRevision: 1})},
			until:      11500 * time.Millisecond,
		},
		"relayed contact of a peer with newer keys": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: 500, KeysRevision: 2})},
		},
		"relayed contact of a peer with a newer configuration": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: 500, ConfigRevision: 1})},
		},
		"majority": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 8*time.Second, none), heartbeat("h2", 9*time.Second, none)},
			until:      11 * time.Second,
		},
		"majority with one that has a newer host list": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, none), heartbeat("h2", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, HostsRevision: 1})},
		},
		"majority with one relayed host": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, KeysRevision: 1, Heard: []byte{0, 0, 20, 255, 255}})},
			until:      11 * time.Second,
		},
		"relayed by a peer with newer keys": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, KeysRevision: 2, Heard: []byte{0, 0, 20, 20, 20}})},
		},
		"relayed by a peer with other hosts": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, KeysRevision: 1, Heard: []byte{0, 0, 20, 20}})},
		},
		"minority": {state: testState{keysRevision: 1}, heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, none)}},
		"majority with one that has newer keys": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, none), heartbeat("h2", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, KeysRevision: 2})},
		},
		"majority with an unknown host": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, none), heartbeat("other", 9*time.Second, none)},
		},
		"majority with one that is not complete": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{heartbeat("h1", 9*time.Second, none), {Host: "h2", Beat: none, Anchor: 9 * time.Second, Anchored: true}},
		},
		"heartbeats without an anchor": {
			state:      testState{keysRevision: 1},
			heartbeats: []event.BeatSeen{{Host: "h1", Beat: none}, {Host: "h2", Beat: none}},
		},
		"incomplete": {state: testState{keysRevision: 1, contact: 9 * time.Second, hasContact: true, incomplete: true}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Component{Self: "h0", State: &test.state}
			var out event.Batch
			p.Step(0, event.HostsChanged{Hosts: admittedHosts(5)}, &out)
			for _, b := range test.heartbeats {
				p.Step(9*time.Second, b, &out)
			}
			until, ok := p.Trusted(10 * time.Second)
			if !ok {
				until = 0
			}
			if diff := cmp.Diff(test.until, until); diff != "" {
				t.Errorf("trusted until (-want +got):\n%s", diff)
			}
		})
	}
}

// Once a majority knows of a key's withdrawal, no host that does not know of it may trust its keys for longer than
// Trust.Bound, whatever is delayed, lost, cut off or suspended, and with clocks that differ by any offset.
func TestNoTrustInWithdrawnKeys(t *testing.T) {
	maxAge := config.Defaults().Trust.Bound
	rapid.Check(t, func(t *rapid.T) {
		offsets := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "offset"))
		}), 2, 5).Draw(t, "offsets")
		suspendRate := rapid.Float64Range(0, 0.03).Draw(t, "suspend")
		w := newWorld(rapid.Int64().Draw(t, "seed"), rapid.Float64Range(0, 0.6).Draw(t, "faulty"), offsets)
		w.ring = rapid.Bool().Draw(t, "ring")
		if w.ring {
			site := config.Defaults()
			site.Trust.MeshUpTo = 1
			for _, h := range w.hosts {
				h.component.Step(w.clock(h), event.ConfigInForce{Site: site}, &event.Batch{})
			}
		}
		w.pullRate = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "pulls")
		for round := range 600 {
			w.advance(round)
			switch round {
			case 90:
				w.partitioned = rapid.IntRange(0, len(offsets)).Draw(t, "parted")
			case 100:
				w.keysRevision = 1
			case 105:
				w.outage = rapid.Bool().Draw(t, "outage")
			}
			for _, h := range w.hosts {
				_, ok := h.component.Trusted(w.clock(h))
				if ok && h.state.keysRevision == 0 && w.acceptedAt > 0 && w.now >= w.acceptedAt+maxAge {
					t.Fatalf("%s trusts withdrawn keys %v after the withdrawal was accepted", h.component.Self, w.now-w.acceptedAt)
				}
				if w.random.Float64() < suspendRate {
					h.suspendedUntil = w.now + time.Duration(w.random.Int63n(int64(8*time.Second)))
				}
				if w.random.Float64() < suspendRate {
					h.cutOffUntil = w.now + time.Duration(w.random.Int63n(int64(12*time.Second)))
				}
			}
		}
	})
}
