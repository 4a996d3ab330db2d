// Package admin serves the operators' listener: health, readiness, metrics and status.
package admin

import (
	"context"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// StatusEnd is the last part of the reducer; it ends each status report. Its field is set before use.
type StatusEnd struct{ Self wire.Status }

// Step answers StatusAsked. It must not be called concurrently.
func (p *StatusEnd) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	e, ok := ev.(event.StatusAsked)
	if !ok {
		return
	}
	out.Emit(event.StatusPart{Seq: e.Seq, Status: p.Self})
	out.Emit(event.StatusDone{Seq: e.Seq})
}

// Gather asks the reducer for status reports and is the executor of their parts. Post is set before use.
type Gather struct {
	Post func(event.Event) bool

	mu    sync.Mutex
	seq   uint64
	parts map[uint64]*report
}

type report struct {
	status wire.Status
	done   chan struct{}
}

// Do merges a StatusPart, ends a report at StatusDone and reports whether the effect was one of them.
func (g *Gather) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.StatusPart:
		g.merge(e)
		return true
	case event.StatusDone:
		g.end(e.Seq)
		return true
	}
	return false
}

func (g *Gather) merge(e event.StatusPart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.parts[e.Seq]; ok {
		Merge(&r.status, e.Status)
	}
}

func (g *Gather) end(seq uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.parts[seq]; ok {
		delete(g.parts, seq)
		close(r.done)
	}
}

// Status returns what all parts report. It fails with kind NotReady when the reducer does not answer
// before ctx ends. It may be called concurrently.
func (g *Gather) Status(ctx context.Context) (wire.Status, error) {
	seq, r := g.begin()
	if !g.Post(event.StatusAsked{Seq: seq}) {
		g.forget(seq)
		return wire.Status{}, kinds.New(kinds.NotReady, "the process is ending")
	}
	select {
	case <-r.done:
		return r.status, nil
	case <-ctx.Done():
		g.forget(seq)
		return wire.Status{}, kinds.New(kinds.NotReady, "no status in time")
	}
}

func (g *Gather) begin() (uint64, *report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	r := &report{done: make(chan struct{})}
	if g.parts == nil {
		g.parts = map[uint64]*report{}
	}
	g.parts[g.seq] = r
	return g.seq, r
}

func (g *Gather) forget(seq uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.parts, seq)
}

// Merge adds the fields of from that are set to into; lists are joined.
func Merge(into *wire.Status, from wire.Status) {
	mergeText(&into.Host, from.Host)
	mergeText(&into.Zone, from.Zone)
	mergeText(&into.Incarnation, from.Incarnation)
	mergeText(&into.Reason, from.Reason)
	into.Ready = into.Ready || from.Ready
	into.ConfigRevision = max(into.ConfigRevision, from.ConfigRevision)
	into.KeysRevision = max(into.KeysRevision, from.KeysRevision)
	if from.EvidenceAgeMS != 0 {
		into.EvidenceAgeMS = from.EvidenceAgeMS
	}
	into.Hosts = append(into.Hosts, from.Hosts...)
	into.Duties = append(into.Duties, from.Duties...)
	into.Endpoints = append(into.Endpoints, from.Endpoints...)
	into.Organisations = append(into.Organisations, from.Organisations...)
	into.Rollouts = append(into.Rollouts, from.Rollouts...)
	into.Windows = append(into.Windows, from.Windows...)
}

func mergeText(into *string, from string) {
	if from != "" {
		*into = from
	}
}
