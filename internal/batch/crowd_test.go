package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// crowd plays owners that do not hear each other, and engines that refuse what does not fit.
type crowd struct {
	rigs    []*rig
	running map[string]int // by engine
	ends    []crowdEnd
	refused int
	began   int
	lastEnd time.Duration
}

// crowdEnd is the end of a run that is under way.
type crowdEnd struct {
	at  time.Duration
	rig *rig
	run event.RunItem
}

const (
	crowdOwners  = 8
	crowdEngines = 30
	crowdSlots   = 4 // of testEngine
	crowdItems   = 12
)

func newCrowd(t *testing.T, names func(i int) string) *crowd {
	c := &crowd{running: map[string]int{}}
	var engines []wire.Endpoint
	for i := range crowdEngines {
		engines = append(engines, testEngine(fmt.Sprintf("e%02d", i), 1))
	}
	for i := range crowdOwners {
		r := newRig(t)
		r.p = &Part{Self: event.Host{Name: names(i), Zone: "a", Incarnation: "1"}, Holders: r, Roster: r, Fresh: true}
		r.alive = []event.Host{r.p.Self}
		r.step(event.ConfigInForce{Site: testSite()})
		r.step(event.EndpointsListed{List: wire.EndpointList{Revision: 1, Endpoints: engines}})
		c.rigs = append(c.rigs, r)
	}
	return c
}

// play submits a job to each owner at once and runs them to their end.
func (c *crowd) play() {
	random := rand.New(rand.NewPCG(1, 2))
	for i, r := range c.rigs {
		head := testHead(crowdItems, 1, none)
		head.ID = fmt.Sprintf("j%d", i)
		r.submit(head.ID, head)
	}
	const step, most = 10 * time.Millisecond, time.Minute
	for now := time.Duration(0); now < most; now += step {
		var left []crowdEnd
		for _, e := range c.ends {
			if e.at > now {
				left = append(left, e)
				continue
			}
			c.running[e.run.Endpoint]--
			c.lastEnd = now
			e.rig.step(event.ItemEnded{Job: e.run.Job, Item: e.run.Item, Attempt: e.run.Attempt, Events: 1, Versions: []uint64{1}})
		}
		c.ends = left
		for _, r := range c.rigs {
			r.tick(step)
			runs := take[event.RunItem](r)
			r.effects = nil
			for _, run := range runs {
				if c.running[run.Endpoint] >= crowdSlots {
					c.refused++
					r.step(event.ItemEnded{Job: run.Job, Item: run.Item, Attempt: run.Attempt, Reason: event.ReasonRefused, Status: 503})
					continue
				}
				c.began++
				c.running[run.Endpoint]++
				c.ends = append(c.ends, crowdEnd{now + time.Duration(200+random.IntN(1200))*time.Millisecond, r, run})
			}
		}
		if len(c.ends) == 0 && c.began >= crowdOwners*crowdItems {
			return
		}
	}
}

// TestOwnersThatDoNotHearEachOther is for a large fleet: steps of several trainers begin at once, at owners of which none
// knows what the others have sent to an engine.
func TestOwnersThatDoNotHearEachOther(t *testing.T) {
	alike := newCrowd(t, func(int) string { return "h" }) // all prefer the same engines
	alike.play()
	own := newCrowd(t, func(i int) string { return fmt.Sprintf("h%d", i) })
	own.play()
	t.Logf("%d items; refused %d, last end %s; with the same order at all owners %d, %s",
		crowdOwners*crowdItems, own.refused, own.lastEnd, alike.refused, alike.lastEnd)
	if own.began != crowdOwners*crowdItems {
		t.Errorf("%d runs began, want %d", own.began, crowdOwners*crowdItems)
	}
	if own.refused*4 > alike.refused {
		t.Errorf("%d refusals, want less than a quarter of %d", own.refused, alike.refused)
	}
}
