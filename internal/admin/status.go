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

// StatusFinisher completes each status report. It must be the last component of the reducer. Its field is set before use.
type StatusFinisher struct{ Self wire.Status }

// Step applies one event; StatusAsked is the only one with an effect. It must not be called concurrently.
func (p *StatusFinisher) Step(_ time.Duration, ev event.Event, out *event.Batch) {
	e, ok := ev.(event.StatusAsked)
	if !ok {
		return
	}
	out.Emit(event.StatusPart{Seq: e.Seq, Status: p.Self})
	out.Emit(event.StatusDone{Seq: e.Seq})
}

// StatusCollector requests status reports from the reducer and collects their parts, which arrive as effects. Post is
// set before use.
type StatusCollector struct {
	Post func(event.Event) bool // passes an event to the reducer; false once the reducer has ended

	mu      sync.Mutex
	seq     uint64
	pending map[uint64]*pendingReport
}

type pendingReport struct {
	status wire.Status
	done   chan struct{}
}

// Do adds a StatusPart to its report, completes a report on StatusDone, and reports whether the effect was one of them.
// It may be called concurrently.
func (g *StatusCollector) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.StatusPart:
		g.addPart(e)
		return true
	case event.StatusDone:
		g.finish(e.Seq)
		return true
	}
	return false
}

func (g *StatusCollector) addPart(e event.StatusPart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.pending[e.Seq]; ok {
		MergeStatus(&r.status, e.Status)
	}
}

func (g *StatusCollector) finish(seq uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r, ok := g.pending[seq]; ok {
		delete(g.pending, seq)
		close(r.done)
	}
}

// Status returns the merged status of all components. It fails with kind NotReady if the reducer does not answer before
// ctx ends or has ended. It may be called concurrently.
func (g *StatusCollector) Status(ctx context.Context) (wire.Status, error) {
	seq, r := g.start()
	if !g.Post(event.StatusAsked{Seq: seq}) {
		g.discard(seq)
		return wire.Status{}, kinds.New(kinds.NotReady, "the process is stopping")
	}
	select {
	case <-r.done:
		return r.status, nil
	case <-ctx.Done():
		g.discard(seq)
		return wire.Status{}, kinds.New(kinds.NotReady, "no status before the deadline")
	}
}

func (g *StatusCollector) start() (uint64, *pendingReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	r := &pendingReport{done: make(chan struct{})}
	if g.pending == nil {
		g.pending = map[uint64]*pendingReport{}
	}
	g.pending[g.seq] = r
	return g.seq, r
}

func (g *StatusCollector) discard(seq uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, seq)
}

// MergeStatus copies the fields that are set in from to dst. Of revisions it keeps the greater one, and it appends lists.
func MergeStatus(dst *wire.Status, from wire.Status) {
	setText(&dst.Host, from.Host)
	setText(&dst.Zone, from.Zone)
	setText(&dst.Incarnation, from.Incarnation)
	setText(&dst.Build, from.Build)
	setText(&dst.Reason, from.Reason)
	dst.Ready = dst.Ready || from.Ready
	dst.ConfigRevision = max(dst.ConfigRevision, from.ConfigRevision)
	dst.KeysRevision = max(dst.KeysRevision, from.KeysRevision)
	if from.EvidenceAgeMS != 0 {
		dst.EvidenceAgeMS = from.EvidenceAgeMS
	}
	dst.Hosts = append(dst.Hosts, from.Hosts...)
	dst.Duties = append(dst.Duties, from.Duties...)
	dst.Endpoints = append(dst.Endpoints, from.Endpoints...)
	dst.Organisations = append(dst.Organisations, from.Organisations...)
	dst.Rollouts = append(dst.Rollouts, from.Rollouts...)
	dst.Windows = append(dst.Windows, from.Windows...)
}

func setText(dst *string, from string) {
	if from != "" {
		*dst = from
	}
}
