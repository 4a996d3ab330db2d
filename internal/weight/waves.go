package weight

import (
	"time"

	"github.com/figshift/figshift/internal/event"
)

const (
	readTimeout = 2 * time.Second
	lastBackoff = 10 * time.Second
	intentEvery = 250 * time.Millisecond
	intentParts = 4 // a wave's share that is written at once
)

// advance reads the engines that are not known and intends orders for those behind the target, as many at once
// as the site's share of the engines allows.
func (p *Part) advance(now time.Duration, m *model, out *event.Batch) {
	if !m.held || m.stopping || m.ledger.Target == 0 || m.settled {
		return
	}
	room := m.room(now, p.site.WaveShare)
	intended, settled := false, true
	for _, name := range m.sorted {
		e := m.engines[name]
		settled = settled && e.known && e.version >= m.ledger.Target
		if !e.known {
			m.readEngine(now, e, out)
			continue
		}
		if room <= 0 || e.order != nil || e.version >= m.ledger.Target || now < e.notUntil {
			continue
		}
		e.order, e.sent = m.nextOrder(), false
		e.seq = m.seq + 1
		intended = true
		room--
	}
	m.settled = settled
	if intended {
		m.intentAt = now
		m.write(out)
	}
}

// room returns how many more engines may swap now. While others swap, a small part of a wave is held back for a
// moment, so that the intents of many orders share one write.
func (m *model) room(now time.Duration, share float64) int {
	wave := waveSize(share, len(m.sorted))
	room := wave - m.swapping()
	if room < wave && room*intentParts < wave && now-m.intentAt < intentEvery {
		return 0
	}
	return room
}

// waveSize returns how many of n engines may swap at once: at least one, so that a single engine swaps too.
func waveSize(share float64, n int) int {
	return max(1, int(share*float64(n)))
}

func (m *model) readEngine(now time.Duration, e *engine, out *event.Batch) {
	if e.reading > now || now < e.notUntil {
		return
	}
	e.reading = now + readTimeout
	out.Emit(event.ReadEngine{Duty: m.duty, Endpoint: e.endpoint.Name, Address: e.endpoint.Address})
}

// read takes an engine's true version.
func (m *model) read(now time.Duration, r event.EngineRead) {
	e := m.engines[r.Endpoint]
	if e == nil {
		return
	}
	e.reading = 0
	if r.Kind != "" || r.Incarnation != e.endpoint.Incarnation {
		e.notUntil = now + readTimeout
		return
	}
	e.known, e.version = true, r.Version
}

// written sends the orders whose intent is stored.
func (p *Part) written(now time.Duration, m *model, w event.LedgerWritten, out *event.Batch) {
	if !m.held || w.Epoch != m.epoch || w.Seq <= m.stored {
		return
	}
	m.stored = w.Seq
	m.answerStored(out)
	until, epoch, ok := p.Trust.Holds(m.duty, now)
	for _, name := range m.sorted {
		e := m.engines[name]
		if e.order == nil || e.sent || e.seq > m.stored {
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

func (m *model) answerStored(out *event.Batch) {
	all := m.waiting
	m.waiting = nil
	for _, w := range all {
		if w.seq > m.stored {
			m.waiting = append(m.waiting, w)
			continue
		}
		out.Raise(event.AnswerDuty{To: w.to, ID: w.id})
	}
}

// swapped takes the end of an order: what counts is the version that the engine itself reports.
func (p *Part) swapped(now time.Duration, m *model, s event.EngineSwapped, out *event.Batch) {
	if s.Kind != "" {
		logFailure(s, out)
	}
	e := m.engines[s.Endpoint]
	if e == nil || e.order == nil || e.order.id != s.OrderID {
		return
	}
	e.order = nil
	e.known, e.version = s.Version > 0, s.Version
	if s.Kind == "" {
		e.failures = 0
		return
	}
	e.notUntil = now + backoff(p.site.RetryBackoff, e.failures)
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
	for i := 0; i < failures && wait < lastBackoff; i++ {
		wait *= 2
	}
	return min(wait, lastBackoff)
}
