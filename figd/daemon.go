package main

import (
	"context"
	"io"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/figshift/figshift/internal/budget"
	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/loop"
	"github.com/figshift/figshift/internal/member"
	"github.com/figshift/figshift/internal/reduce"
)

// daemon is the composition of one figd process. Each area adds its components, executors and actors to it.
type daemon struct {
	process config.Process
	identity
	log     *zap.Logger
	scope   tally.Scope
	state   *reduce.State
	loop    *loop.Loop
	group   run.Group
	ready   *readiness // readiness, as queried by the listeners
	closers []io.Closer
	// clientMemory is the memory that clients of all listeners may make the process hold.
	clientMemory *budget.Budget

	// Set by addCluster, read by the other areas.
	trust   event.Trust
	keys    *keys.Table
	members *member.Component // also holds the BeatFillers of the other areas
	// Set by addRollouts, read by addRequests.
	samples  call.Samples
	handlers map[string]httpHandler
}

// addComponent appends a component. Components see each event in the order in which they were added.
func (d *daemon) addComponent(c event.Part) { d.state.Components = append(d.state.Components, c) }

// addExecutor appends an executor.
func (d *daemon) addExecutor(x loop.Executor) { d.loop.Executors = append(d.loop.Executors, x) }

// addActor runs f until its context is cancelled; the process ends when any actor ends.
func (d *daemon) addActor(f func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	d.group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// close closes and flushes what outlives the actors.
func (d *daemon) close() {
	for _, c := range d.closers {
		_ = c.Close()
	}
	_ = d.log.Sync()
}
