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

// clockInterval is the interval at which the time of day is posted to the reducer.
const clockInterval = time.Second

// addUsage adds token counting, the duties Usage and Fleet, and the calls that they make to the platform.
func (d *daemon) addUsage() {
	d.addComponent(&usage.Counter{Host: d.process.Host, Incarnation: d.incarnation})
	d.addComponent(&usage.Holder{Host: d.process.Host, Trust: d.trust})
	d.addComponent(&fleet.Component{Host: d.process.Host, Trust: d.trust})
	d.addExecutor(&orders.Executor{BaseURL: d.process.Platform, Now: d.loop.Now, Post: d.loop.Post})
}

// addClock adds the component by which the hosts agree on the time of day.
func (d *daemon) addClock() {
	component := &clock.Component{}
	d.members.BeatFillers = append(d.members.BeatFillers, component)
	d.addComponent(component)
	d.addActor(d.postClock)
}

func (d *daemon) postClock(ctx context.Context) error {
	tick := time.NewTicker(clockInterval)
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
