package trust

import (
	"math/rand"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

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
