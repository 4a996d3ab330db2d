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

// Ledger is what lasts of a model's versions. Orders up to number Intended of Epoch may have been sent. Which engines
// they went to is not kept: a successor reads the engines' own state. The ledger's size does not grow with the engines.
type Ledger struct {
	Target   uint64
	Epoch    uint64
	Intended uint64
}

// order is the intent to have one engine load a version.
type order struct {
	id      string
	version uint64
}

// model is one model on this daemon.
type model struct {
	name     string
	duty     string
	held     bool
	stopping bool
	settled  bool // all engines are known to have the target
	epoch    uint64
	ledger   Ledger
	seq      uint64
	stored   uint64
	orders   uint64
	engines  map[string]*engine
	sorted   []string // live engines
	waiting  []waiting
	intentAt time.Duration // last write of intents
}

// waiting is an answer that goes out when a ledger write is stored.
type waiting struct {
	seq uint64
	to  string
	id  uint64
}

// engine is one live engine of the model.
type engine struct {
	endpoint wire.Endpoint
	version  uint64
	known    bool
	reading  time.Duration // end of a read that is under way, 0 for none
	order    *order        // intended or sent
	seq      uint64        // ledger write that holds the intent
	sent     bool
	failures int
	notUntil time.Duration
}

func (m *model) listed(list wire.EndpointList) {
	old := m.engines
	m.engines = map[string]*engine{}
	m.sorted = m.sorted[:0]
	m.settled = false
	for _, e := range list.Endpoints {
		if e.Kind != wire.Engine || e.Model != m.name || e.State != wire.Live {
			continue
		}
		known := old[e.Name]
		if known == nil || known.endpoint.Incarnation != e.Incarnation || known.endpoint.Address != e.Address {
			known = &engine{endpoint: e}
		}
		m.engines[e.Name] = known
		m.sorted = append(m.sorted, e.Name)
	}
	slices.Sort(m.sorted)
}

func (m *model) reported(r wire.LoadReport) {
	e := m.engines[r.Endpoint]
	if e == nil || r.Version == 0 || !e.known || e.order != nil || e.endpoint.Incarnation != r.Incarnation {
		return
	}
	if r.Version != e.version {
		e.known, m.settled = false, false
	}
}

// gain starts from the ledger; what the engines hold is read from them, not from the ledger.
func (m *model) gain(e event.DutyGained, out *event.Batch) {
	var ledger Ledger
	if len(e.Ledger) > 0 && json.Unmarshal(e.Ledger, &ledger) != nil {
		out.Emit(event.Log{Level: "error", Event: "LedgerUnreadable", Fields: []event.Field{{Key: "Duty", Value: m.duty}}})
		return
	}
	m.held, m.epoch, m.ledger, m.settled = true, e.Epoch, ledger, false
	m.seq++
	m.stored, m.orders = m.seq, 0
	for _, n := range m.sorted {
		m.engines[n] = &engine{endpoint: m.engines[n].endpoint}
	}
}

func (m *model) lose(out *event.Batch) {
	m.held = false
	for _, w := range m.waiting {
		out.Raise(event.AnswerDuty{To: w.to, ID: w.id, Kind: kinds.NotHolder})
	}
	m.waiting = nil
}

func (m *model) write(out *event.Batch) uint64 {
	m.seq++
	data, err := json.Marshal(m.ledger)
	if err != nil {
		panic(err) // the type holds only values that JSON knows
	}
	out.Raise(event.WriteLedger{Duty: m.duty, Epoch: m.epoch, Seq: m.seq, Ledger: data})
	return m.seq
}

// nextOrder returns the intent to swap an engine; its id is never used again.
func (m *model) nextOrder() *order {
	m.orders++
	m.ledger.Epoch, m.ledger.Intended = m.epoch, m.orders
	return &order{id: fmt.Sprintf("%s/%d/%d", m.duty, m.epoch, m.orders), version: m.ledger.Target}
}

func (m *model) swapping() int {
	n := 0
	for _, name := range m.sorted {
		if m.engines[name].order != nil {
			n++
		}
	}
	return n
}
