package main

import (
	"context"
	"time"

	"github.com/figshift/figshift/internal/clock"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/fleet"
	"github.com/figshift/figshift/internal/orders"
	"github.com/figshift/figshift/internal/usage"
)

// clockEvery is the interval at which the reducer learns the wall clock.
const clockEvery = time.Second

// addUsage adds the counting of tokens, the duties Usage and Fleet, and what they send to the platform.
func (d *daemon) addUsage() {
	d.addPart(&usage.Counter{Host: d.process.Host, Incarnation: d.incarnation})
	d.addPart(&usage.Holder{Host: d.process.Host, Trust: d.trust})
	d.addPart(&fleet.Part{Host: d.process.Host, Trust: d.trust})
	d.addExecutor(&orders.Executor{Base: d.process.Platform, Now: d.loop.Now, Post: d.loop.Post})
}

// addClock adds the agreement on the time of day.
func (d *daemon) addClock() {
	part := &clock.Part{}
	d.members.Contributors = append(d.members.Contributors, part)
	d.addPart(part)
	d.addActor(d.tellClock)
}

func (d *daemon) tellClock(ctx context.Context) error {
	tick := time.NewTicker(clockEvery)
	defer tick.Stop()
	for {
		d.loop.Post(event.ClockRead{Unix: time.Duration(timeOfDay().UnixNano())})
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}
