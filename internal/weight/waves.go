package weight

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	readTimeout         = 2 * time.Second // also the wait after a failed read
	maxBackoff          = 10 * time.Second
	orderWriteInterval  = 250 * time.Millisecond
	orderBatchesPerWave = 4 // batches of orders that a wave is divided into, each with one ledger write
)

// advance reads the engines whose version is not known and records orders for those behind the target. The site's
// WaveShare limits the number of engines that swap at the same time.
func (p *Component) advance(now time.Duration, m *model, out *event.Batch) {
	if !m.held || m.stopping || m.ledger.Target == 0 || m.upToDate {
		return
	}
	capacity := m.capacity(now, p.site.WaveShare)
	ordered, upToDate := false, true
	for _, name := range m.engineNames {
		e := m.engines[name]
		upToDate = upToDate && e.versionKnown && e.version >= m.ledger.Target
		if !e.versionKnown {
			m.readEngine(now, e, out)
			continue
		}
		if capacity <= 0 || e.order != nil || e.version >= m.ledger.Target || now < e.notBefore {
			continue
		}
		e.order, e.sent = m.nextOrder(), false
		e.writeSeq = m.writeSeq + 1
		ordered = true
		capacity--
	}
	m.upToDate = upToDate
	if ordered {
		m.lastOrderWrite = now
		m.writeLedger(out)
	}
}

// capacity returns how many more engines may swap now. While others swap, less than one batch of a wave is held
// back for up to orderWriteInterval after the last write, so that many orders share one ledger write.
func (m *model) capacity(now time.Duration, share float64) int {
	wave := waveSize(share, len(m.engineNames))
	capacity := wave - m.countOrders()
	if capacity < wave && capacity*orderBatchesPerWave < wave && now-m.lastOrderWrite < orderWriteInterval {
		return 0
	}
	return capacity
}

// waveSize returns how many of n engines may swap at the same time: at least one, so that a single engine swaps too.
func waveSize(share float64, n int) int {
	return max(1, int(share*float64(n)))
}

func (m *model) readEngine(now time.Duration, e *engine, out *event.Batch) {
	if e.readDeadline > now || now < e.notBefore {
		return
	}
	e.readDeadline = now + readTimeout
	out.Emit(event.ReadEngine{Duty: m.duty, Endpoint: e.endpoint.Name, Address: e.endpoint.Address})
}

// handleEngineRead records the version that was read from an engine.
func (m *model) handleEngineRead(now time.Duration, r event.EngineRead) {
	e := m.engines[r.Endpoint]
	if e == nil {
		return
	}
	e.readDeadline = 0
	if r.Kind != "" || r.Incarnation != e.endpoint.Incarnation {
		e.notBefore = now + readTimeout
		return
	}
	e.versionKnown, e.version = true, r.Version
}

// handleLedgerWritten sends the orders that are recorded in the stored ledger, or drops them if the lease has ended.
func (p *Component) handleLedgerWritten(now time.Duration, m *model, w event.LedgerWritten, out *event.Batch) {
	if !m.held || w.Epoch != m.epoch || w.Seq <= m.storedSeq {
		return
	}
	m.storedSeq = w.Seq
	m.sendStoredAnswers(out)
	until, epoch, ok := p.Trust.Holds(m.duty, now)
	for _, name := range m.engineNames {
		e := m.engines[name]
		if e.order == nil || e.sent || e.writeSeq > m.storedSeq {
			continue
		}
		if !ok || epoch != m.epoch {
			e.order = nil
			continue
		}
		e.sent = true
		out.Emit(event.SwapEngine{
			Duty: m.duty, Epoch: m.epoch, OrderID: e.order.id, Endpoint: name, Address: e.endpoint.Address,
			Model: m.name, Version: e.order.version, Before: until, Timeout: p.site.OrderDeadline,
		})
	}
}

func (m *model) sendStoredAnswers(out *event.Batch) {
	all := m.pending
	m.pending = nil
	for _, w := range all {
		if w.writeSeq > m.storedSeq {
			m.pending = append(m.pending, w)
			continue
		}
		out.Raise(event.AnswerDuty{To: w.to, ID: w.id})
	}
}

// handleEngineSwapped processes the end of an order. The engine's version is the one that the engine itself reports.
func (p *Component) handleEngineSwapped(now time.Duration, m *model, s event.EngineSwapped, out *event.Batch) {
	if s.Kind != "" {
		logFailure(s, out)
	}
	e := m.engines[s.Endpoint]
	if e == nil || e.order == nil || e.order.id != s.OrderID {
		return
	}
	e.order = nil
	e.versionKnown, e.version = s.Version > 0, s.Version
	if s.Kind == "" {
		e.failures = 0
		return
	}
	e.notBefore = now + backoff(p.site.RetryBackoff, e.failures)
	e.failures++
	out.Emit(event.Count{Name: "SwapsRetried", Tags: []event.Field{{Key: "Kind", Value: string(s.Kind)}}, N: 1})
}

func logFailure(s event.EngineSwapped, out *event.Batch) {
	out.Emit(event.Log{Level: "warn", Event: "SwapFailed", Fields: []event.Field{
		{Key: "Endpoint", Value: s.Endpoint}, {Key: "OrderID", Value: s.OrderID}, {Key: "Kind", Value: string(s.Kind)},
	}})
}

func backoff(first time.Duration, failures int) time.Duration {
	wait := first
	for i := 0; i < failures && wait < maxBackoff; i++ {
		wait *= 2
	}
	return min(wait, maxBackoff)
}
