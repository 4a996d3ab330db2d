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

const modelTarget = 2

// TestZoneConvergesToTarget simulates holders that die, lost answers and lists that lag. The zone must never have more
// endpoints than its target, and must have exactly the target once the faults end.
func TestZoneConvergesToTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.injectFault(t)
			m.advance(t)
		}
		m.clearFaults()
		for range 400 {
			m.advance(t)
		}
		if n := m.endpointCount(); n != modelTarget {
			t.Fatalf("%d endpoints after the faults, want %d", n, modelTarget)
		}
	})
}

// model simulates two daemons that may hold the duty, a store and a platform.
type model struct {
	now     time.Duration
	epoch   uint64
	holder  int
	daemons [2]*modelDaemon
	ledger  []byte

	lists            []wire.EndpointList // by revision, the newest last
	replies          map[string]wire.OrderReply
	started          int
	loseAnswers      bool   // the platform's answers to orders are lost
	loseWriteResults bool   // writes of the ledger are not confirmed
	listLag          [2]int // by daemon, in revisions
}

type modelDaemon struct {
	model    *model
	index    int
	revision uint64 // of the list delivered last
	state    reduce.State
}

func newModel() *model {
	m := &model{replies: map[string]wire.OrderReply{}, lists: []wire.EndpointList{{Revision: 1}}}
	for i := range m.daemons {
		m.startDaemon(i)
	}
	m.takeOver(0)
	return m
}

func (m *model) startDaemon(i int) {
	d := &modelDaemon{model: m, index: i}
	d.state.Components = []event.Part{&fleet.Component{Host: fmt.Sprint(i), Trust: d}, d}
	m.daemons[i] = d
	site := testSite()
	z := site.Zones["z1"]
	z.OnDemandFloor, z.MaxEndpoints = modelTarget, 8
	site.Zones["z1"] = z
	m.step(i, event.ConfigInForce{Site: site})
	m.deliverList(i)
}

// Trusted is not used by the component under test.
func (d *modelDaemon) Trusted(time.Duration) (time.Duration, bool) { return 0, false }

// Holds reports whether the daemon is the holder.
func (d *modelDaemon) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + 2*time.Second, d.model.epoch, d.model.holder == d.index
}

// Step simulates the store.
func (d *modelDaemon) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	e, ok := ev.(event.WriteLedger)
	if !ok || d.model.holder != d.index || e.Epoch != d.model.epoch {
		return
	}
	d.model.ledger = e.Ledger
	if !d.model.loseWriteResults {
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
		done := event.OrderSent{Seq: o.Seq, Order: o.Order, Reply: m.carryOut(o.Order)}
		if m.loseAnswers {
			done.Reply, done.Kind = wire.OrderReply{}, kinds.OutcomeUnknown
		}
		m.step(i, done)
	}
}

// carryOut carries out an order, once per OrderID, and returns the platform's reply.
func (m *model) carryOut(o wire.EndpointOrder) wire.OrderReply {
	if r, ok := m.replies[o.OrderID]; ok {
		return r
	}
	list := slices.Clone(m.newest().Endpoints)
	reply := wire.OrderReply{Accepted: true, Endpoint: o.Endpoint}
	if o.Action == fleet.ActionStart {
		m.started++
		// Names are reused after three starts; incarnations are unique.
		reply.Endpoint = fmt.Sprint("e", m.started%3)
		list = append(list, engine(reply.Endpoint, fmt.Sprint("i", m.started), o.Price))
	} else {
		list = slices.DeleteFunc(list, func(e wire.Endpoint) bool { return e.Name == o.Endpoint })
	}
	m.replies[o.OrderID] = reply
	m.publishList(list)
	return reply
}

func (m *model) newest() wire.EndpointList { return m.lists[len(m.lists)-1] }

func (m *model) publishList(list []wire.Endpoint) {
	m.lists = append(m.lists, wire.EndpointList{Revision: m.newest().Revision + 1, Endpoints: list})
}

func (m *model) endpointCount() int { return len(m.newest().Endpoints) }

// deliverList delivers the list that a daemon would read now, unless it has already seen that one or a newer one.
func (m *model) deliverList(i int) {
	list := m.lists[max(len(m.lists)-1-m.listLag[i], 0)]
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

func (m *model) injectFault(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		m.takeOver(1 - m.holder)
	case 1:
		m.startDaemon(1 - m.holder)
	case 2:
		m.loseAnswers = !m.loseAnswers
	case 3:
		m.loseWriteResults = !m.loseWriteResults
	case 4:
		m.listLag[0] = rapid.IntRange(m.listLag[0], 3).Draw(t, "lag of 0")
	case 5:
		m.listLag[1] = rapid.IntRange(m.listLag[1], 3).Draw(t, "lag of 1")
	case 6:
		m.reclaimEndpoint()
	}
}

// reclaimEndpoint removes one endpoint, as the platform may do.
func (m *model) reclaimEndpoint() {
	list := m.newest().Endpoints
	if len(list) > 0 {
		m.publishList(slices.Clone(list[1:]))
	}
}

func (m *model) clearFaults() {
	m.loseAnswers, m.loseWriteResults, m.listLag = false, false, [2]int{}
	m.takeOver(m.holder)
}

// advance advances the time by one second.
func (m *model) advance(t *rapid.T) {
	for range 2 {
		m.now += 500 * time.Millisecond
		for i := range m.daemons {
			m.deliverList(i)
			m.step(i, event.DemandSeen{Demand: []wire.Demand{{Model: "m", Class: string(config.Interactive)}}})
			m.step(i, event.Tick{})
		}
		if n := m.endpointCount(); n > modelTarget {
			t.Fatalf("%d endpoints, want at most %d", n, modelTarget)
		}
	}
}
