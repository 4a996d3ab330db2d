package lease

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

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
}

func (h *testHost) clock() time.Duration { return h.world.now + h.offset }

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
		h := &testHost{world: w, offset: offset, heard: map[string]time.Duration{}, claims: map[string]uint64{}}
		h.part = &Part{Self: event.Host{Name: fmt.Sprintf("h%d", i), Incarnation: "i"}, Roster: h}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.step(event.ConfigInForce{Site: config.Defaults()})
		h.step(event.WantDuties{Owner: "test", Duties: []string{testDuty}})
	}
	return w
}

// Under delays, freezes and lost answers at most one host holds a duty at any time, on clocks that differ by any
// offset; epochs are never gained twice; no stored decision is lost; and when the faults end, one host holds it.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Int64Range(1, int64(1000*time.Hour))
		offsets := []time.Duration{
			time.Duration(offset.Draw(t, "first")), time.Duration(offset.Draw(t, "second")), time.Duration(offset.Draw(t, "third")),
		}
		freeze := rapid.Float64Range(0, 0.02).Draw(t, "freeze")
		w := newWorld(rapid.Int64().Draw(t, "seed"), rapid.Float64Range(0, 0.5).Draw(t, "faulty"), offsets)
		for round := range 1200 {
			w.advance(round)
			if holders := w.holders(); len(holders) > 1 {
				t.Fatalf("at %v two hosts hold the duty: %v", w.now, holders)
			}
			if h := w.hosts[w.random.Intn(len(w.hosts))]; w.random.Float64() < freeze {
				h.frozen = w.now + time.Duration(w.random.Int63n(int64(15*time.Second)))
			}
		}
		if w.reverted {
			t.Fatal("a successor's ledger lacks a decision that was known to be stored")
		}
		checkEpochs(t, w)
		w.faulty = 0
		for round := range 800 {
			w.advance(round)
		}
		if holders := w.holders(); len(holders) != 1 {
			t.Fatalf("after the faults the duty is held by %v", holders)
		}
	})
}

func checkEpochs(t *rapid.T, w *world) {
	gained := map[uint64]string{}
	for _, h := range w.hosts {
		for _, epoch := range h.gained {
			if other, ok := gained[epoch]; ok {
				t.Fatalf("epoch %d was gained by %s and %s", epoch, other, h.part.Self.Name)
			}
			gained[epoch] = h.part.Self.Name
		}
	}
}

func TestHandOver(t *testing.T) {
	tests := map[string]struct {
		stop  func(h *testHost)
		bound time.Duration
	}{
		"released by the part": {stop: func(h *testHost) {
			h.step(event.StopAsked{})
			h.step(event.ReleaseDuty{Duty: testDuty})
		}, bound: 4 * time.Second},
		"released after the wait": {stop: func(h *testHost) { h.step(event.StopAsked{}) }, bound: 5 * time.Second},
		"killed":                  {stop: func(h *testHost) { h.frozen = time.Hour }, bound: 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 0, []time.Duration{time.Hour, time.Second, time.Minute})
			for round := range 100 {
				w.advance(round)
			}
			first := w.holders()
			for _, h := range w.hosts {
				if h.part.Self.Name == first[0] {
					test.stop(h)
				}
			}
			stopped := w.now
			for round := 0; w.now < stopped+test.bound; round++ {
				w.advance(round)
			}
			now := w.holders()
			if len(now) != 1 || now[0] == first[0] {
				t.Fatalf("held by %v before and by %v after %v", first, now, test.bound)
			}
			record, _ := decodeRecord(w.store.object.Value)
			if diff := cmp.Diff(uint64(2), record.Epoch); diff != "" {
				t.Errorf("epoch (-want +got):\n%s", diff)
			}
		})
	}
}
