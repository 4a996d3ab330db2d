package main

import (
	"math/rand/v2"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/crash"
	"github.com/figshift/figshift/internal/flow"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/serve"
)

// addRequests adds the processing of callers' requests and the callers' listener.
func (d *daemon) addRequests() {
	limits := &limit.Component{Self: d.process.Host}
	d.addComponent(limits)
	crashes := &crash.Component{Self: d.process.Host, Membership: d.members}
	d.addComponent(crashes)
	component := &flow.Component{
		Host:    d.process.Host,
		Zone:    d.process.Zone,
		Trust:   d.trust,
		Limits:  limits,
		Crashes: crashes,
		Keys:    d.keys,
		Random:  rand.New(rand.NewPCG(d.seed, 0)),
		Process: d.process,
		Queue:   baselineQueue(d.process.QueuePolicy),
		Picker:  baselinePicker(d.process.PickPolicy),
	}
	limits.Backlogs = []limit.Backlog{component}
	d.members.BeatFillers = append(d.members.BeatFillers, limits, crashes, component)
	d.addComponent(component)
	executor := &call.Executor{Incarnation: d.incarnation, Post: d.loop.Post, Now: d.loop.Now, Samples: d.samples}
	executor.Prepare()
	server := &serve.Server{
		Address:  d.process.Listen,
		Executor: executor,
		Post:     d.loop.Post,
		Now:      d.loop.Now,
		Handlers: d.handlers,
		Gate:     d.newGate("Callers", 0),
	}
	server.Prepare()
	d.addExecutor(server)
	d.addExecutor(executor)
	d.addActor(executor.Run)
	d.addActor(server.Run)
}
