package main

import (
	"net/http"

	"golang.org/x/time/rate"

	"github.com/figshift/figshift/internal/block"
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

// addRollouts adds the lots, their blocks, the trainers' API and the engines' versions.
func (d *daemon) addRollouts() {
	texts := &block.Texts{}
	store := &block.Store{
		Texts: texts,
		Objects: &block.Client{
			Store: &objapi.Client{Base: d.process.Platform, HTTP: &http.Client{}},
			Limit: rate.NewLimiter(blockCallsPerSecond, blockCallsPerSecond),
		},
		Cache: &block.Cache{MaxBytes: blockCacheBytes},
		HTTP:  &http.Client{},
		Post:  d.loop.Post,
	}
	store.Prepare()
	calls := &train.Calls{Post: d.loop.Post, Now: d.loop.Now}
	d.samples = texts
	d.handlers[wire.PathRollouts] = &train.Handler{Calls: calls, Blocks: store, Scope: d.metrics()}
	d.addPart(&lots.Part{Host: d.process.Host, Trust: d.trust})
	d.addPart(&weight.Part{Trust: d.trust})
	d.addExecutor(store)
	d.addExecutor(calls)
	d.addExecutor(&swap.Engines{Platform: d.process.Platform, HTTP: &http.Client{}, Post: d.loop.Post, Now: d.loop.Now})
	d.addActor(store.Run)
}
