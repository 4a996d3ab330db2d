package main

import (
	"golang.org/x/time/rate"

	"github.com/figshift/figshift/internal/block"
	"github.com/figshift/figshift/internal/conns"
	"github.com/figshift/figshift/internal/lots"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/swap"
	"github.com/figshift/figshift/internal/train"
	"github.com/figshift/figshift/internal/weight"
	"github.com/figshift/figshift/internal/wire"
)

const (
	blockCacheBytes     = 48 << 20
	blockCallsPerSecond = 20
)

// addRollouts adds the rollouts' lots, their blocks, the trainers' API and the weight versions of engines.
func (d *daemon) addRollouts() {
	samples := &block.Texts{}
	blockStore := &block.Store{
		Texts: samples,
		Objects: &block.Client{
			Store: &objapi.Client{Base: d.process.Platform, HTTP: conns.Client(0)},
			Limit: rate.NewLimiter(blockCallsPerSecond, blockCallsPerSecond),
		},
		Cache: &block.Cache{MaxBytes: blockCacheBytes},
		HTTP:  conns.Client(0),
		Post:  d.loop.Post,
	}
	blockStore.Prepare()
	trainerCalls := &train.Calls{Post: d.loop.Post, Now: d.loop.Now}
	d.samples = samples
	d.handlers[wire.PathRollouts] = &train.Handler{Calls: trainerCalls, Blocks: blockStore, Scope: d.metrics()}
	d.addComponent(&lots.Component{Host: d.process.Host, Trust: d.trust})
	d.addComponent(&weight.Component{Trust: d.trust})
	d.addExecutor(blockStore)
	d.addExecutor(trainerCalls)
	d.addExecutor(&swap.Executor{PlatformURL: d.process.Platform, Post: d.loop.Post, Now: d.loop.Now})
	d.addActor(blockStore.Run)
}
