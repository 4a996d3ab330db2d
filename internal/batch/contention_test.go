package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// contention simulates owners that are not connected to each other, and engines that refuse items when their slots are
// taken.
type contention struct {
	owners   []*rig
	running  map[string]int // by engine
	runs     []contentionRun
	refused  int
	accepted int
	lastEnd  time.Duration
}

// contentionRun is a run that an engine has accepted.
type contentionRun struct {
	endsAt time.Duration
	owner  *rig
	run    event.RunItem
}

const (
	contentionOwners  = 8
	contentionEngines = 30
	contentionSlots   = 4 // as in testEngine
	contentionItems   = 12
)

func newContention(t *testing.T, hostName func(i int) string) *contention {
	c := &contention{running: map[string]int{}}
	var engines []wire.Endpoint
	for i := range contentionEngines {
		engines = append(engines, testEngine(fmt.Sprintf("e%02d", i), 1))
	}
	for i := range contentionOwners {
		r := newRig(t)
		r.p = &Component{Self: event.Host{Name: hostName(i), Zone: "a", Incarnation: "1"}, KeyOwners: r, Membership: r, NewStore: true}
		r.alive = []event.Host{r.p.Self}
		r.step(event.ConfigInForce{Site: testSite()})
		r.step(event.EndpointsListed{List: wire.EndpointList{Revision: 1, Endpoints: engines}})
		c.owners = append(c.owners, r)
	}
	return c
}

// simulate submits one job to each owner at the same time and runs the jobs to their end.
func (c *contention) simulate() {
	random := rand.New(rand.NewPCG(1, 2))
	for i, r := range c.owners {
		head := testHead(contentionItems, 1, noHints)
		head.ID = fmt.Sprintf("j%d", i)
		r.submit(head.ID, head)
	}
	const step, timeout = 10 * time.Millisecond, time.Minute
	for now := time.Duration(0); now < timeout; now += step {
		var left []contentionRun
		for _, e := range c.runs {
			if e.endsAt > now {
				left = append(left, e)
				continue
			}
			c.running[e.run.Endpoint]--
			c.lastEnd = now
			e.owner.step(event.ItemEnded{Job: e.run.Job, Item: e.run.Item, Attempt: e.run.Attempt, Events: 1, Versions: []uint64{1}})
		}
		c.runs = left
		for _, r := range c.owners {
			r.tick(step)
			runs := take[event.RunItem](r)
			r.effects = nil
			for _, run := range runs {
				if c.running[run.Endpoint] >= contentionSlots {
					c.refused++
					r.step(event.ItemEnded{Job: run.Job, Item: run.Item, Attempt: run.Attempt, Reason: event.ReasonRefused, Status: 503})
					continue
				}
				c.accepted++
				c.running[run.Endpoint]++
				c.runs = append(c.runs, contentionRun{now + time.Duration(200+random.IntN(1200))*time.Millisecond, r, run})
			}
		}
		if len(c.runs) == 0 && c.accepted >= contentionOwners*contentionItems {
			return
		}
	}
}

// In a large fleet, several trainers submit steps at the same time to owners that do not know what the others send to an
// engine. Owners with different tie ranks must get far fewer refusals from the engines than owners with the same ones.
func TestUnconnectedOwners(t *testing.T) {
	sameRanks := newContention(t, func(int) string { return "h" }) // all prefer the same engines
	sameRanks.simulate()
	ownRanks := newContention(t, func(i int) string { return fmt.Sprintf("h%d", i) })
	ownRanks.simulate()
	t.Logf("%d items; refused %d, last end %s; with the same order at all owners %d, %s",
		contentionOwners*contentionItems, ownRanks.refused, ownRanks.lastEnd, sameRanks.refused, sameRanks.lastEnd)
	if ownRanks.accepted != contentionOwners*contentionItems {
		t.Errorf("%d runs began, want %d", ownRanks.accepted, contentionOwners*contentionItems)
	}
	if ownRanks.refused*4 > sameRanks.refused {
		t.Errorf("%d refusals, want less than a quarter of %d", ownRanks.refused, sameRanks.refused)
	}
}
