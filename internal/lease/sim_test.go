package lease

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	testDuty  = "Fleet.a"
	testStep  = 50 * time.Millisecond
	beatEvery = 5 // steps
	lostAfter = 2 * time.Second
)

// testStore is the object API with conditional writes.
type testStore struct{ object wire.Object }

func (s *testStore) put(e event.PutObject) (wire.Object, kinds.Kind) {
	if e.Version != s.object.Version {
		return wire.Object{}, kinds.Conflict
	}
	s.object = wire.Object{Name: e.Name, Version: e.Version + 1, Writer: e.Writer, Value: e.Value}
	return s.object, ""
}

func (s *testStore) get() (wire.Object, kinds.Kind) {
	if s.object.Version == 0 {
		return wire.Object{}, kinds.NotFound
	}
	return s.object, ""
}

// action is something that happens at a time of the simulation.
type action struct {
	at time.Duration
	do func()
}

// testHost is one daemon's lease part with its own clock.
type testHost struct {
	part   *Part
	offset time.Duration
	frozen time.Duration // stopped before this time
	inbox  []event.Event
	heard  map[string]time.Duration
	claims map[string]uint64
	world  *world
	gained []uint64
	ledger uint64 // last written here

	counted map[string]int // by name of the counter
}

func (h *testHost) clock() time.Duration { return h.world.now + h.offset }

// Known implements Roster.
func (h *testHost) Known() []event.Host {
	var known []event.Host
	for _, o := range h.world.hosts {
		known = append(known, o.part.Self)
	}
	return known
}

// Alive implements Roster.
func (h *testHost) Alive(time.Duration) []event.Host {
	var alive []event.Host
	for _, o := range h.world.hosts {
		if o == h || h.world.now-h.heard[o.part.Self.Name] < lostAfter {
			alive = append(alive, o.part.Self)
		}
	}
	return alive
}

// Holder implements Roster.
func (h *testHost) Holder(string, time.Duration) (string, uint64) {
	for _, o := range h.world.hosts {
		name := o.part.Self.Name
		if o != h && h.claims[name] > 0 && h.world.now-h.heard[name] < lostAfter {
			return name, h.claims[name]
		}
	}
	return "", 0
}

func (h *testHost) step(ev event.Event) {
	queue := []event.Event{ev}
	for len(queue) > 0 {
		var out event.Batch
		h.part.Step(h.clock(), queue[0], &out)
		queue = append(queue[1:], out.Raised...)
		for _, raised := range out.Raised {
			queue = append(queue, h.decide(raised)...)
		}
		for _, effect := range out.Effects {
			if count, ok := effect.(event.Count); ok {
				h.counted[count.Name] += int(count.N)
				continue
			}
			h.world.call(h, effect)
		}
	}
}

// decide is the duty's part: it counts its decisions in the ledger, the next one when the last is stored.
func (h *testHost) decide(ev event.Event) []event.Event {
	switch e := ev.(type) {
	case event.DutyGained:
		h.gained = append(h.gained, e.Epoch)
		h.ledger = 0
		if len(e.Ledger) > 0 {
			h.ledger = binary.BigEndian.Uint64(e.Ledger)
		}
		if h.ledger < h.world.written {
			h.world.reverted = true
		}
		return h.count(e.Epoch)
	case event.LedgerWritten:
		h.world.written = max(h.world.written, e.Seq)
		return h.count(e.Epoch)
	}
	return nil
}

func (h *testHost) count(epoch uint64) []event.Event {
	h.ledger++
	ledger := binary.BigEndian.AppendUint64(nil, h.ledger)
	return []event.Event{event.WriteLedger{Duty: testDuty, Epoch: epoch, Seq: h.ledger, Ledger: ledger}}
}

// world is the simulation: hosts, store and what is under way between them.
type world struct {
	now      time.Duration
	random   *rand.Rand
	faulty   float64 // share of the calls with a fault
	store    testStore
	hosts    []*testHost
	actions  []action
	written  uint64 // highest count known to be stored
	reverted bool   // a host gained a ledger without it
}

func (w *world) after(d time.Duration, do func()) {
	w.actions = append(w.actions, action{at: w.now + d, do: do})
}

func (w *world) delay() time.Duration {
	if w.random.Float64() < w.faulty {
		return time.Duration(w.random.Int63n(int64(9 * time.Second)))
	}
	return time.Duration(w.random.Int63n(int64(20 * time.Millisecond)))
}

// call lets a call be sent, take effect and be answered, each after a delay of its own; with a fault the answer
// is lost, and may be reported so before the call takes effect.
func (w *world) call(h *testHost, effect event.Effect) {
	switch e := effect.(type) {
	case event.PutObject:
		w.after(w.delay()/4, func() { w.carryOut(h, e.Call, e.Before, func() (wire.Object, kinds.Kind) { return w.store.put(e) }) })
	case event.GetObject:
		w.after(w.delay()/4, func() { w.carryOut(h, e.Call, 0, w.store.get) })
	}
}

func (w *world) carryOut(h *testHost, id event.ObjectCall, before time.Duration, do func() (wire.Object, kinds.Kind)) {
	done := event.ObjectDone{Call: id, SentAt: h.clock()}
	if before != 0 && done.SentAt >= before {
		done.Kind = kinds.DeadlineExceeded
		h.inbox = append(h.inbox, done)
		return
	}
	if w.random.Float64() < w.faulty {
		done.Kind = kinds.StoreUnavailable
		w.after(w.delay(), func() { h.inbox = append(h.inbox, done) })
		if w.random.Intn(2) == 0 {
			w.after(w.delay(), func() { do() })
		}
		return
	}
	w.after(w.delay(), func() {
		done.Object, done.Kind = do()
		w.after(w.delay(), func() { h.inbox = append(h.inbox, done) })
	})
}

func (w *world) beat(h *testHost) {
	var beat wire.Beat
	h.part.Contribute(h.clock(), &beat)
	var epoch uint64
	for _, d := range beat.Duties {
		epoch = d.Epoch
	}
	for _, o := range w.hosts {
		if o == h || w.random.Float64() < w.faulty {
			continue
		}
		w.after(w.delay(), func() {
			o.heard[h.part.Self.Name] = w.now
			o.claims[h.part.Self.Name] = epoch
			o.inbox = append(o.inbox, event.BeatSeen{Host: h.part.Self.Name, Beat: beat})
		})
	}
}

func (w *world) advance(round int) {
	w.now += testStep
	due := w.actions
	w.actions = nil
	for _, a := range due {
		if a.at > w.now {
			w.actions = append(w.actions, a)
			continue
		}
		a.do()
	}
	for _, h := range w.hosts {
		if w.now < h.frozen {
			continue
		}
		inbox := h.inbox
		h.inbox = nil
		for _, ev := range inbox {
			h.step(ev)
		}
		h.step(event.Tick{})
		if round%beatEvery == 0 {
			w.beat(h)
		}
	}
}

func (w *world) holders() []string {
	var holders []string
	for _, h := range w.hosts {
		if _, _, ok := h.part.Holds(testDuty, h.clock()); ok {
			holders = append(holders, h.part.Self.Name)
		}
	}
	return holders
}

func newWorld(seed int64, faulty float64, offsets []time.Duration) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), faulty: faulty}
	for i, offset := range offsets {
		h := &testHost{world: w, offset: offset, heard: map[string]time.Duration{}, claims: map[string]uint64{}, counted: map[string]int{}}
		h.part = &Part{Self: event.Host{Name: fmt.Sprintf("h%d", i), Incarnation: "i"}, Roster: h}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.step(event.ConfigInForce{Site: config.Defaults()})
		h.step(event.WantDuties{Owner: "test", Duties: []string{testDuty}})
	}
	return w
}
