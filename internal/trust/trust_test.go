package trust

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// testState is what a host knows.
type testState struct {
	site, keys uint64
	contact    time.Duration
	hasContact bool
	incomplete bool
}

// Complete implements State.
func (s *testState) Complete() bool { return !s.incomplete }

// Site implements State.
func (s *testState) Site() *config.Site {
	site := config.Defaults()
	site.Revision = s.site
	return site
}

// Revisions implements State.
func (s *testState) Revisions() (uint64, uint64) { return s.site, s.keys }

// HostsRevision implements State.
func (s *testState) HostsRevision() uint64 { return 0 }

// OwnContact implements State.
func (s *testState) OwnContact() (time.Duration, bool) { return s.contact, s.hasContact }

func hostNames(n int) []event.Host {
	var hosts []event.Host
	for i := range n {
		hosts = append(hosts, event.Host{Name: fmt.Sprintf("h%d", i), Admitted: true})
	}
	return hosts
}

func TestTrusted(t *testing.T) {
	beat := func(host string, anchor time.Duration, b wire.Beat) event.BeatSeen {
		b.Complete = true
		return event.BeatSeen{Host: host, Beat: b, Anchor: anchor, Anchored: true}
	}
	none := wire.Beat{EvidenceAgeMS: -1, KeysRevision: 1}
	cases := map[string]struct {
		state testState
		beats []event.BeatSeen
		until time.Duration // 0 for no trust at 10 s
	}{
		"own contact":        {state: testState{keys: 1, contact: 8 * time.Second, hasContact: true}, until: 11 * time.Second},
		"own contact is old": {state: testState{keys: 1, contact: 7 * time.Second, hasContact: true}},
		"relayed contact": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: 500, KeysRevision: 1})},
			until: 11500 * time.Millisecond,
		},
		"relayed contact of a peer that knows more": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: 500, KeysRevision: 2})},
		},
		"relayed contact of a peer with a newer configuration": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: 500, ConfigRevision: 1})},
		},
		"majority": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 8*time.Second, none), beat("h2", 9*time.Second, none)},
			until: 11 * time.Second,
		},
		"majority with one that knows more hosts": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, none), beat("h2", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, HostsRevision: 1})},
		},
		"majority of which one is relayed": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, KeysRevision: 1, Heard: []byte{0, 0, 20, 255, 255}})},
			until: 11 * time.Second,
		},
		"relayed by a peer that knows more": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, KeysRevision: 2, Heard: []byte{0, 0, 20, 20, 20}})},
		},
		"relayed by a peer with other hosts": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, KeysRevision: 1, Heard: []byte{0, 0, 20, 20}})},
		},
		"minority": {state: testState{keys: 1}, beats: []event.BeatSeen{beat("h1", 9*time.Second, none)}},
		"majority with one that knows more": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, none), beat("h2", 9*time.Second, wire.Beat{EvidenceAgeMS: -1, KeysRevision: 2})},
		},
		"majority with an unknown host": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, none), beat("other", 9*time.Second, none)},
		},
		"majority with one that has just started": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{beat("h1", 9*time.Second, none), {Host: "h2", Beat: none, Anchor: 9 * time.Second, Anchored: true}},
		},
		"beats that answer none": {
			state: testState{keys: 1},
			beats: []event.BeatSeen{{Host: "h1", Beat: none}, {Host: "h2", Beat: none}},
		},
		"incomplete": {state: testState{keys: 1, contact: 9 * time.Second, hasContact: true, incomplete: true}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			p := &Part{Self: "h0", State: &test.state}
			var out event.Batch
			p.Step(0, event.HostsChanged{Hosts: hostNames(5)}, &out)
			for _, b := range test.beats {
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

const (
	simStep = 50 * time.Millisecond
	simBeat = 5 // steps
)

// simHost is one host of the simulation: its evidence, its own clock and what waits for it.
type simHost struct {
	part   *Part
	state  *testState
	offset time.Duration
	frozen time.Duration // stopped before this time
	cut    time.Duration // without the network before this time
	inbox  []func()
	seq    uint64
	sent   map[uint64]time.Duration // clock at the sending of each beat
	heard  map[*simHost]uint64      // last seq received
}

// simWorld is a store with one withdrawal, and hosts that exchange beats over a faulty network.
type simWorld struct {
	now      time.Duration
	random   *rand.Rand
	faulty   float64
	pulls    float64 // share of the pulls that succeed
	ring     bool    // hosts hear only their neighbours
	parted   int     // number of the first hosts that are cut from the store and from the other hosts
	outage   bool
	keys     uint64 // in the store
	hosts    []*simHost
	pending  map[time.Duration][]func()
	accepted time.Duration // 0 before a majority knows the withdrawal
}

func (w *simWorld) clock(h *simHost) time.Duration { return w.now + h.offset }

func (w *simWorld) after(do func()) {
	delay := simStep
	if w.random.Float64() < w.faulty {
		delay = time.Duration(w.random.Intn(100)) * simStep
	}
	w.pending[w.now+delay] = append(w.pending[w.now+delay], do)
}

func (w *simWorld) read(h *simHost) {
	sent := w.clock(h)
	w.after(func() {
		if w.outage || w.isParted(h) || w.now < h.cut || w.random.Float64() < w.faulty {
			return
		}
		keys := w.keys
		w.after(func() {
			h.inbox = append(h.inbox, func() {
				h.state.keys = max(h.state.keys, keys)
				h.state.contact = max(h.state.contact, sent)
				h.state.hasContact = true
			})
		})
	})
}

func (w *simWorld) beat(h *simHost) {
	h.seq++
	h.sent[h.seq] = w.clock(h)
	for _, o := range w.hosts {
		if w.ring && !w.neighbors(h, o) || w.isParted(h) != w.isParted(o) {
			continue
		}
		if o == h || w.now < max(h.cut, o.cut) || w.random.Float64() < w.faulty {
			continue
		}
		b := wire.Beat{Seq: h.seq, Complete: true, KeysRevision: h.state.keys, Echo: h.heard[o]}
		h.part.Contribute(w.clock(h), &b)
		w.after(func() { o.inbox = append(o.inbox, func() { w.receive(o, h, b) }) })
	}
}

func (w *simWorld) isParted(h *simHost) bool { return slices.Index(w.hosts, h) < w.parted }

func (w *simWorld) neighbors(a, b *simHost) bool {
	n := len(w.hosts)
	distance := (slices.Index(w.hosts, a) - slices.Index(w.hosts, b) + n) % n
	return distance == 1 || distance == n-1
}

func (w *simWorld) receive(h, from *simHost, b wire.Beat) {
	if b.Seq <= h.heard[from] {
		return
	}
	h.heard[from] = b.Seq
	anchor, ok := h.sent[b.Echo]
	var out event.Batch
	h.part.Step(w.clock(h), event.BeatSeen{Host: from.part.Self, Beat: b, Anchor: anchor, Anchored: ok}, &out)
	if b.KeysRevision > h.state.keys && w.random.Float64() < w.pulls {
		h.state.keys = b.KeysRevision // by a pull
	}
}

func (w *simWorld) advance(round int) {
	w.now += simStep
	due := w.pending[w.now]
	delete(w.pending, w.now)
	for _, do := range due {
		do()
	}
	knowing := 0
	for _, h := range w.hosts {
		if w.now >= h.frozen {
			inbox := h.inbox
			h.inbox = nil
			for _, do := range inbox {
				do()
			}
			if round%simBeat == 0 {
				w.beat(h)
				w.read(h)
			}
		}
		knowing += int(h.state.keys)
	}
	if w.accepted == 0 && knowing > len(w.hosts)/2 {
		w.accepted = w.now
	}
}

func newSimWorld(seed int64, faulty float64, offsets []time.Duration) *simWorld {
	w := &simWorld{random: rand.New(rand.NewSource(seed)), faulty: faulty, pending: map[time.Duration][]func(){}}
	known := hostNames(len(offsets))
	for i, offset := range offsets {
		h := &simHost{state: &testState{}, offset: offset, sent: map[uint64]time.Duration{}, heard: map[*simHost]uint64{}}
		h.part = &Part{Self: known[i].Name, State: h.state}
		var out event.Batch
		h.part.Step(w.clock(h), event.HostsChanged{Hosts: known}, &out)
		w.hosts = append(w.hosts, h)
	}
	return w
}

// Once a majority knows a withdrawal, no host without it trusts its keys for longer than the bound, whatever is
// delayed, lost, cut off or frozen, on clocks that differ by any offset.
func TestNoTrustInWithdrawnKeys(t *testing.T) {
	bound := config.Defaults().Trust.Bound
	rapid.Check(t, func(t *rapid.T) {
		offsets := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "offset"))
		}), 2, 5).Draw(t, "offsets")
		freeze := rapid.Float64Range(0, 0.03).Draw(t, "freeze")
		w := newSimWorld(rapid.Int64().Draw(t, "seed"), rapid.Float64Range(0, 0.6).Draw(t, "faulty"), offsets)
		w.ring = rapid.Bool().Draw(t, "ring")
		if w.ring {
			site := config.Defaults()
			site.Trust.MeshUpTo = 1
			for _, h := range w.hosts {
				h.part.Step(w.clock(h), event.ConfigInForce{Site: site}, &event.Batch{})
			}
		}
		w.pulls = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "pulls")
		for round := range 600 {
			w.advance(round)
			switch round {
			case 90:
				w.parted = rapid.IntRange(0, len(offsets)).Draw(t, "parted")
			case 100:
				w.keys = 1
			case 105:
				w.outage = rapid.Bool().Draw(t, "outage")
			}
			for _, h := range w.hosts {
				_, ok := h.part.Trusted(w.clock(h))
				if ok && h.state.keys == 0 && w.accepted > 0 && w.now >= w.accepted+bound {
					t.Fatalf("%s trusts withdrawn keys %v after the withdrawal was accepted", h.part.Self, w.now-w.accepted)
				}
				if w.random.Float64() < freeze {
					h.frozen = w.now + time.Duration(w.random.Int63n(int64(8*time.Second)))
				}
				if w.random.Float64() < freeze {
					h.cut = w.now + time.Duration(w.random.Int63n(int64(12*time.Second)))
				}
			}
		}
	})
}
