package fleet_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/fleet"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/wire"
)

const modelFloor = 2

// TestOrdersReachTheWant lets holders die and lag behind, answers get lost and lists lag. The zone never has
// more than its want, the floor, beyond what was there before, and has just the floor when the faults end.
func TestOrdersReachTheWant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.fault(t)
			m.pass(t)
		}
		m.heal()
		for range 400 {
			m.pass(t)
		}
		if n := m.live(); n != modelFloor {
			t.Fatalf("%d endpoints at rest, want %d", n, modelFloor)
		}
	})
}

// model is two daemons that may hold the duty, a store and a platform.
type model struct {
	now     time.Duration
	epoch   uint64
	holder  int
	daemons [2]*modelDaemon
	ledger  []byte

	lists   []wire.EndpointList // by revision, the newest last
	replies map[string]wire.OrderReply
	started int
	lose    bool // answers are lost
	deaf    bool // the holder's writes are not answered
	lag     [2]int
}

type modelDaemon struct {
	model    *model
	index    int
	revision uint64 // of the list shown last
	state    reduce.State
}

func newModel() *model {
	m := &model{replies: map[string]wire.OrderReply{}, lists: []wire.EndpointList{{Revision: 1}}}
	for i := range m.daemons {
		m.start(i)
	}
	m.takeOver(0)
	return m
}

func (m *model) start(i int) {
	d := &modelDaemon{model: m, index: i}
	d.state.Parts = []event.Part{&fleet.Part{Host: fmt.Sprint(i), Trust: d}, d}
	m.daemons[i] = d
	site := testSite()
	z := site.Zones["z1"]
	z.OnDemandFloor, z.MaxEndpoints = modelFloor, 8
	site.Zones["z1"] = z
	m.step(i, event.ConfigInForce{Site: site})
	m.show(i)
}

// Trusted is not asked for.
func (d *modelDaemon) Trusted(time.Duration) (time.Duration, bool) { return 0, false }

// Holds reports whether the daemon is the holder.
func (d *modelDaemon) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + 2*time.Second, d.model.epoch, d.model.holder == d.index
}

// Step plays the store.
func (d *modelDaemon) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	e, ok := ev.(event.WriteLedger)
	if !ok || d.model.holder != d.index || e.Epoch != d.model.epoch {
		return
	}
	d.model.ledger = e.Ledger
	if !d.model.deaf {
		out.Raise(event.LedgerWritten{Duty: e.Duty, Epoch: e.Epoch, Seq: e.Seq})
	}
}

func (m *model) step(i int, ev event.Event) {
	var sends []event.SendOrder
	for _, e := range m.daemons[i].state.Step(m.now, ev) {
		if o, ok := e.(event.SendOrder); ok {
			sends = append(sends, o)
		}
	}
	for _, o := range sends {
		done := event.OrderSent{Seq: o.Seq, Order: o.Order, Reply: m.order(o.Order)}
		if m.lose {
			done.Reply, done.Kind = wire.OrderReply{}, kinds.OutcomeUnknown
		}
		m.step(i, done)
	}
}

// order carries out an order once.
func (m *model) order(o wire.EndpointOrder) wire.OrderReply {
	if r, ok := m.replies[o.OrderID]; ok {
		return r
	}
	list := slices.Clone(m.newest().Endpoints)
	reply := wire.OrderReply{Accepted: true, Endpoint: o.Endpoint}
	if o.Action == fleet.Start {
		m.started++
		// Names come again after three starts.
		reply.Endpoint = fmt.Sprint("e", m.started%3)
		list = append(list, engine(reply.Endpoint, fmt.Sprint("i", m.started), o.Price))
	} else {
		list = slices.DeleteFunc(list, func(e wire.Endpoint) bool { return e.Name == o.Endpoint })
	}
	m.replies[o.OrderID] = reply
	m.change(list)
	return reply
}

func (m *model) newest() wire.EndpointList { return m.lists[len(m.lists)-1] }

func (m *model) change(list []wire.Endpoint) {
	m.lists = append(m.lists, wire.EndpointList{Revision: m.newest().Revision + 1, Endpoints: list})
}

func (m *model) live() int { return len(m.newest().Endpoints) }

// show gives a daemon the list that it would read now, unless it has a newer one.
func (m *model) show(i int) {
	list := m.lists[max(len(m.lists)-1-m.lag[i], 0)]
	if list.Revision > m.daemons[i].revision {
		m.daemons[i].revision = list.Revision
		m.step(i, event.EndpointsListed{List: list})
	}
}

func (m *model) takeOver(i int) {
	m.step(m.holder, event.DutyLost{Duty: duty})
	m.epoch++
	m.holder = i
	m.step(i, event.DutyGained{Duty: duty, Epoch: m.epoch, Ledger: m.ledger})
}

func (m *model) fault(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		m.takeOver(1 - m.holder)
	case 1:
		m.start(1 - m.holder)
	case 2:
		m.lose = !m.lose
	case 3:
		m.deaf = !m.deaf
	case 4:
		m.lag[0] = rapid.IntRange(m.lag[0], 3).Draw(t, "lag of 0")
	case 5:
		m.lag[1] = rapid.IntRange(m.lag[1], 3).Draw(t, "lag of 1")
	case 6:
		m.reclaim()
	}
}

// reclaim takes one endpoint away.
func (m *model) reclaim() {
	list := m.newest().Endpoints
	if len(list) > 0 {
		m.change(slices.Clone(list[1:]))
	}
}

func (m *model) heal() {
	m.lose, m.deaf, m.lag = false, false, [2]int{}
	m.takeOver(m.holder)
}

// pass lets one second pass.
func (m *model) pass(t *rapid.T) {
	for range 2 {
		m.now += 500 * time.Millisecond
		for i := range m.daemons {
			m.show(i)
			m.step(i, event.DemandSeen{Demand: []wire.Demand{{Model: "m", Class: string(config.Interactive)}}})
			m.step(i, event.Tick{})
		}
		if n := m.live(); n > modelFloor {
			t.Fatalf("%d endpoints, want at most %d", n, modelFloor)
		}
	}
}
