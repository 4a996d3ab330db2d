package weight

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Ledger is the durable state of a model's versions. Orders up to number Intended of Epoch may have been sent. The engines
// that they went to are not stored, so that the ledger's size does not grow with the number of engines: a successor reads
// the engines' own state.
type Ledger struct {
	Target   uint64
	Epoch    uint64
	Intended uint64
}

// order is an order to one engine to load a version. It is sent when the ledger that counts it is stored.
type order struct {
	id      string
	version uint64
}

// model is the state of one model on this daemon.
type model struct {
	name           string
	duty           string
	held           bool
	stopping       bool
	upToDate       bool // all engines are known to have the target version
	epoch          uint64
	ledger         Ledger
	writeSeq       uint64
	storedSeq      uint64
	orderCount     uint64
	engines        map[string]*engine
	engineNames    []string // sorted names of the live engines
	pending        []pending
	lastOrderWrite time.Duration // time of the last ledger write for new orders
}

// pending is an answer that is sent when a ledger write is stored.
type pending struct {
	writeSeq uint64
	to       string
	id       uint64
}

// engine is one live engine of the model.
type engine struct {
	endpoint     wire.Endpoint
	version      uint64
	versionKnown bool
	readDeadline time.Duration // of the read in progress, 0 for none
	order        *order        // recorded or sent, nil for none
	writeSeq     uint64        // ledger write that records the order
	sent         bool
	failures     int
	notBefore    time.Duration
}

func (m *model) handleEndpointsListed(endpointList wire.EndpointList) {
	old := m.engines
	m.engines = map[string]*engine{}
	m.engineNames = m.engineNames[:0]
	m.upToDate = false
	for _, e := range endpointList.Endpoints {
		if e.Kind != wire.Engine || e.Model != m.name || e.State != wire.Live {
			continue
		}
		current := old[e.Name]
		if current == nil || current.endpoint.Incarnation != e.Incarnation || current.endpoint.Address != e.Address {
			current = &engine{endpoint: e}
		}
		m.engines[e.Name] = current
		m.engineNames = append(m.engineNames, e.Name)
	}
	slices.Sort(m.engineNames)
}

func (m *model) handleLoadReport(r wire.LoadReport) {
	e := m.engines[r.Endpoint]
	if e == nil || r.Version == 0 || !e.versionKnown || e.order != nil || e.endpoint.Incarnation != r.Incarnation {
		return
	}
	if r.Version != e.version {
		e.versionKnown, m.upToDate = false, false
	}
}

// handleDutyGained loads the ledger and forgets the engines' versions, which are read from the engines again.
func (m *model) handleDutyGained(e event.DutyGained, out *event.Batch) {
	var ledger Ledger
	if len(e.Ledger) > 0 && json.Unmarshal(e.Ledger, &ledger) != nil {
		out.Emit(event.Log{Level: "error", Event: "LedgerUnreadable", Fields: []event.Field{{Key: "Duty", Value: m.duty}}})
		return
	}
	m.held, m.epoch, m.ledger, m.upToDate = true, e.Epoch, ledger, false
	m.writeSeq++
	m.storedSeq, m.orderCount = m.writeSeq, 0
	for _, n := range m.engineNames {
		m.engines[n] = &engine{endpoint: m.engines[n].endpoint}
	}
}

func (m *model) handleDutyLost(out *event.Batch) {
	m.held = false
	for _, w := range m.pending {
		out.Raise(event.AnswerDuty{To: w.to, ID: w.id, Kind: kinds.NotHolder})
	}
	m.pending = nil
}

func (m *model) writeLedger(out *event.Batch) uint64 {
	m.writeSeq++
	data, err := json.Marshal(m.ledger)
	if err != nil {
		panic(err) // cannot happen: JSON can encode all fields
	}
	out.Raise(event.WriteLedger{Duty: m.duty, Epoch: m.epoch, Seq: m.writeSeq, Ledger: data})
	return m.writeSeq
}

// nextOrder returns a new order for the target version and counts it in the ledger. Its id is never used again.
func (m *model) nextOrder() *order {
	m.orderCount++
	m.ledger.Epoch, m.ledger.Intended = m.epoch, m.orderCount
	return &order{id: fmt.Sprintf("%s/%d/%d", m.duty, m.epoch, m.orderCount), version: m.ledger.Target}
}

func (m *model) countOrders() int {
	n := 0
	for _, name := range m.engineNames {
		if m.engines[name].order != nil {
			n++
		}
	}
	return n
}
