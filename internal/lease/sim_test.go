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
	testDuty          = "Fleet.a"
	testStep          = 50 * time.Millisecond
	stepsPerHeartbeat = 5 // simulation steps between two heartbeats
	hostLostAfter     = 2 * time.Second
)

// testStore is the object API, with conditional writes to a single object.
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

// action is a function that runs at a time of the simulation.
type action struct {
	at  time.Duration
	run func()
}

// testHost is a daemon's lease component with a clock of its own.
type testHost struct {
	component       *Component
	clockOffset     time.Duration
	suspendedUntil  time.Duration // no step runs before this time
	inbox           []event.Event
	lastHeartbeatAt map[string]time.Duration
	claimedEpochs   map[string]uint64
	world           *world
	gainedEpochs    []uint64
	ledgerCount     uint64 // last count that this host wrote to the ledger

	counters map[string]int // by name
}

func (h *testHost) clock() time.Duration { return h.world.now + h.clockOffset }

// Known implements Membership.
func (h *testHost) Known() []event.Host {
	var known []event.Host
	for _, o := range h.world.hosts {
		known = append(known, o.component.Self)
	}
	return known
}

// Alive implements Membership.
func (h *testHost) Alive(time.Duration) []event.Host {
	var alive []event.Host
	for _, o := range h.world.hosts {
		if o == h || h.world.now-h.lastHeartbeatAt[o.component.Self.Name] < hostLostAfter {
			alive = append(alive, o.component.Self)
		}
	}
	return alive
}

// Holder implements Membership.
func (h *testHost) Holder(string, time.Duration) (string, uint64) {
	for _, o := range h.world.hosts {
		name := o.component.Self.Name
		if o != h && h.claimedEpochs[name] > 0 && h.world.now-h.lastHeartbeatAt[name] < hostLostAfter {
			return name, h.claimedEpochs[name]
		}
	}
	return "", 0
}

func (h *testHost) step(ev event.Event) {
	queue := []event.Event{ev}
	for len(queue) > 0 {
		var out event.Batch
		h.component.Step(h.clock(), queue[0], &out)
		queue = append(queue[1:], out.Raised...)
		for _, raised := range out.Raised {
			queue = append(queue, h.react(raised)...)
		}
		for _, effect := range out.Effects {
			if count, ok := effect.(event.Count); ok {
				h.counters[count.Name] += int(count.N)
				continue
			}
			h.world.startCall(h, effect)
		}
	}
}

// react acts as the component that performs the duty: it counts up in the ledger, each time the last count is stored.
func (h *testHost) react(ev event.Event) []event.Event {
	switch e := ev.(type) {
	case event.DutyGained:
		h.gainedEpochs = append(h.gainedEpochs, e.Epoch)
		h.ledgerCount = 0
		if len(e.Ledger) > 0 {
			h.ledgerCount = binary.BigEndian.Uint64(e.Ledger)
		}
		if h.ledgerCount < h.world.storedCount {
			h.world.ledgerReverted = true
		}
		return h.nextLedger(e.Epoch)
	case event.LedgerWritten:
		h.world.storedCount = max(h.world.storedCount, e.Seq)
		return h.nextLedger(e.Epoch)
	}
	return nil
}

func (h *testHost) nextLedger(epoch uint64) []event.Event {
	h.ledgerCount++
	ledger := binary.BigEndian.AppendUint64(nil, h.ledgerCount)
	return []event.Event{event.WriteLedger{Duty: testDuty, Epoch: epoch, Seq: h.ledgerCount, Ledger: ledger}}
}

// world is the simulated fleet: its hosts, the store and the calls and heartbeats in flight.
type world struct {
	now            time.Duration
	random         *rand.Rand
	faultRate      float64 // share of the calls, heartbeats and delays that are faulty
	store          testStore
	hosts          []*testHost
	actions        []action
	storedCount    uint64 // highest count known to be stored
	ledgerReverted bool   // a host gained a ledger that lacks a stored count
}

func (w *world) schedule(d time.Duration, run func()) {
	w.actions = append(w.actions, action{at: w.now + d, run: run})
}

func (w *world) delay() time.Duration {
	if w.random.Float64() < w.faultRate {
		return time.Duration(w.random.Int63n(int64(9 * time.Second)))
	}
	return time.Duration(w.random.Int63n(int64(20 * time.Millisecond)))
}

// startCall simulates a call that is sent, takes effect and is answered, each after a delay of its own. With a fault
// the answer is lost, and the failure may be reported before the call takes effect.
func (w *world) startCall(h *testHost, effect event.Effect) {
	switch e := effect.(type) {
	case event.PutObject:
		w.schedule(w.delay()/4, func() { w.execute(h, e.Call, e.Before, func() (wire.Object, kinds.Kind) { return w.store.put(e) }) })
	case event.GetObject:
		w.schedule(w.delay()/4, func() { w.execute(h, e.Call, 0, w.store.get) })
	}
}

func (w *world) execute(h *testHost, id event.ObjectCall, sendBefore time.Duration, call func() (wire.Object, kinds.Kind)) {
	done := event.ObjectDone{Call: id, SentAt: h.clock()}
	if sendBefore != 0 && done.SentAt >= sendBefore {
		done.Kind = kinds.DeadlineExceeded
		h.inbox = append(h.inbox, done)
		return
	}
	if w.random.Float64() < w.faultRate {
		done.Kind = kinds.StoreUnavailable
		w.schedule(w.delay(), func() { h.inbox = append(h.inbox, done) })
		if w.random.Intn(2) == 0 {
			w.schedule(w.delay(), func() { call() })
		}
		return
	}
	w.schedule(w.delay(), func() {
		done.Object, done.Kind = call()
		w.schedule(w.delay(), func() { h.inbox = append(h.inbox, done) })
	})
}

func (w *world) sendHeartbeat(h *testHost) {
	var heartbeat wire.Beat
	h.component.FillBeat(h.clock(), &heartbeat)
	var epoch uint64
	for _, d := range heartbeat.Duties {
		epoch = d.Epoch
	}
	for _, o := range w.hosts {
		if o == h || w.random.Float64() < w.faultRate {
			continue
		}
		w.schedule(w.delay(), func() {
			o.lastHeartbeatAt[h.component.Self.Name] = w.now
			o.claimedEpochs[h.component.Self.Name] = epoch
			o.inbox = append(o.inbox, event.BeatSeen{Host: h.component.Self.Name, Beat: heartbeat})
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
		a.run()
	}
	for _, h := range w.hosts {
		if w.now < h.suspendedUntil {
			continue
		}
		inbox := h.inbox
		h.inbox = nil
		for _, ev := range inbox {
			h.step(ev)
		}
		h.step(event.Tick{})
		if round%stepsPerHeartbeat == 0 {
			w.sendHeartbeat(h)
		}
	}
}

func (w *world) holders() []string {
	var holders []string
	for _, h := range w.hosts {
		if _, _, ok := h.component.Holds(testDuty, h.clock()); ok {
			holders = append(holders, h.component.Self.Name)
		}
	}
	return holders
}

func newWorld(seed int64, faultRate float64, offsets []time.Duration) *world {
	w := &world{random: rand.New(rand.NewSource(seed)), faultRate: faultRate}
	for i, offset := range offsets {
		h := &testHost{world: w, clockOffset: offset, lastHeartbeatAt: map[string]time.Duration{}, claimedEpochs: map[string]uint64{}, counters: map[string]int{}}
		h.component = &Component{Self: event.Host{Name: fmt.Sprintf("h%d", i), Incarnation: "i"}, Membership: h}
		w.hosts = append(w.hosts, h)
	}
	for _, h := range w.hosts {
		h.step(event.ConfigInForce{Site: config.Defaults()})
		h.step(event.WantDuties{Owner: "test", Duties: []string{testDuty}})
	}
	return w
}
