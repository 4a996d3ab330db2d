package trust

import (
	"math/rand"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

const (
	testStep          = 50 * time.Millisecond
	stepsPerHeartbeat = 5 // simulation steps between two heartbeats
)

// testHost is a simulated host: its trust component, the state it knows, its clock and its undelivered messages.
type testHost struct {
	component      *Component
	state          *testState
	clockOffset    time.Duration
	suspendedUntil time.Duration // no message is processed before this time
	cutOffUntil    time.Duration // no message is sent or received before this time
	inbox          []func()
	lastSeq        uint64
	sentAt         map[uint64]time.Duration // own clock at the sending of each heartbeat, by sequence number
	lastReceived   map[*testHost]uint64     // sequence number of the last heartbeat from each host
}

// world is a simulated store in which one key is withdrawn, and hosts that exchange heartbeats over a faulty network.
type world struct {
	now          time.Duration
	random       *rand.Rand
	faultRate    float64
	pullRate     float64 // share of the pulls that succeed
	ring         bool    // hosts receive heartbeats from their two neighbours only
	partitioned  int     // the first this many hosts reach neither the store nor the other hosts
	outage       bool
	keysRevision uint64 // of the keys in the store: 1 after the withdrawal
	hosts        []*testHost
	pending      map[time.Duration][]func()
	acceptedAt   time.Duration // when a majority first knew of the withdrawal, 0 before
}

func (w *world) clock(h *testHost) time.Duration { return w.now + h.clockOffset }

func (w *world) schedule(run func()) {
	delay := testStep
	if w.random.Float64() < w.faultRate {
		delay = time.Duration(w.random.Intn(100)) * testStep
	}
	w.pending[w.now+delay] = append(w.pending[w.now+delay], run)
}

func (w *world) readStore(h *testHost) {
	sent := w.clock(h)
	w.schedule(func() {
		if w.outage || w.isPartitioned(h) || w.now < h.cutOffUntil || w.random.Float64() < w.faultRate {
			return
		}
		revision := w.keysRevision
		w.schedule(func() {
			h.inbox = append(h.inbox, func() {
				h.state.keysRevision = max(h.state.keysRevision, revision)
				h.state.contact = max(h.state.contact, sent)
				h.state.hasContact = true
			})
		})
	})
}

func (w *world) sendHeartbeat(h *testHost) {
	h.lastSeq++
	h.sentAt[h.lastSeq] = w.clock(h)
	for _, o := range w.hosts {
		if w.ring && !w.neighbors(h, o) || w.isPartitioned(h) != w.isPartitioned(o) {
			continue
		}
		if o == h || w.now < max(h.cutOffUntil, o.cutOffUntil) || w.random.Float64() < w.faultRate {
			continue
		}
		b := wire.Beat{Seq: h.lastSeq, Complete: true, KeysRevision: h.state.keysRevision, Echo: h.lastReceived[o]}
		h.component.FillBeat(w.clock(h), &b)
		w.schedule(func() { o.inbox = append(o.inbox, func() { w.receive(o, h, b) }) })
	}
}

func (w *world) isPartitioned(h *testHost) bool { return slices.Index(w.hosts, h) < w.partitioned }

func (w *world) neighbors(a, b *testHost) bool {
	n := len(w.hosts)
	distance := (slices.Index(w.hosts, a) - slices.Index(w.hosts, b) + n) % n
	return distance == 1 || distance == n-1
}

func (w *world) receive(h, from *testHost, b wire.Beat) {
	if b.Seq <= h.lastReceived[from] {
		return
	}
	h.lastReceived[from] = b.Seq
	anchor, ok := h.sentAt[b.Echo]
	var out event.Batch
	h.component.Step(w.clock(h), event.BeatSeen{Host: from.component.Self, Beat: b, Anchor: anchor, Anchored: ok}, &out)
	if b.KeysRevision > h.state.keysRevision && w.random.Float64() < w.pullRate {
		h.state.keysRevision = b.KeysRevision // by a pull
	}
}

func (w *world) advance(round int) {
	w.now += testStep
	due := w.pending[w.now]
	delete(w.pending, w.now)
	for _, run := range due {
		run()
	}
	informed := 0
	for _, h := range w.hosts {
		if w.now >= h.suspendedUntil {
			inbox := h.inbox
			h.inbox = nil
			for _, run := range inbox {
				run()
			}
			if round%stepsPerHeartbeat == 0 {
				w.sendHeartbeat(h)
				w.readStore(h)
			}
		}
		informed += int(h.state.keysRevision)
	}
	if w.acceptedAt == 0 && informed > len(w.hosts)/2 {
		w.acceptedAt = w.now
	}
}

func newWorld(seed int64, faultRate float64, offsets []time.Duration) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), faultRate: faultRate, pending: map[time.Duration][]func(){}}
	known := admittedHosts(len(offsets))
	for i, offset := range offsets {
		h := &testHost{state: &testState{}, clockOffset: offset, sentAt: map[uint64]time.Duration{}, lastReceived: map[*testHost]uint64{}}
		h.component = &Component{Self: known[i].Name, State: h.state}
		var out event.Batch
		h.component.Step(w.clock(h), event.HostsChanged{Hosts: known}, &out)
		w.hosts = append(w.hosts, h)
	}
	return w
}
