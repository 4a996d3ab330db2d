package batch

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const testModel = "m"

// rig runs the Component of one host. The test takes the place of its executor, its peers and the clock.
type rig struct {
	t       *testing.T
	now     time.Duration
	p       *Component
	alive   []event.Host
	effects []event.Effect // of all steps, until a test clears them
	// organisation is whose keys all calls carry; "North" when empty.
	organisation string
}

func (r *rig) OrganisationOf(time.Duration, string) (string, kinds.Kind) {
	return cmp.Or(r.organisation, "North"), ""
}

func (r *rig) Alive(time.Duration) []event.Host { return r.alive }

func newRig(t *testing.T, engines ...wire.Endpoint) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Second}
	self := event.Host{Name: "h1", Zone: "a", Incarnation: "1"}
	r.alive = []event.Host{self, {Name: "h2", Zone: "b", Incarnation: "1"}}
	r.p = &Component{Self: self, KeyOwners: r, Membership: r, NewStore: true}
	r.step(event.ConfigInForce{Site: testSite()})
	r.step(event.EndpointsListed{List: wire.EndpointList{Revision: 1, Endpoints: engines}})
	return r
}

func testSite() *config.Site {
	s := config.Defaults()
	s.Routes["rollouts"] = config.Route{
		Name: "rollouts", Prefix: "/r/", Service: "engines", MaxAttempts: 3,
		Jobs: &config.JobRules{Due: 7 * time.Second, GiveUpAfter: 40 * time.Second},
	}
	s.Routes["scores"] = config.Route{Name: "scores", Prefix: "/s/", Service: "scorers", MaxAttempts: 4, Open: true}
	return s
}

func testEngine(name string, version uint64) wire.Endpoint {
	return wire.Endpoint{
		Name: name, Incarnation: "1", Kind: wire.Service, Service: "engines", Zone: "a", Address: name, State: wire.Live,
		Slots: 4, Weights: []wire.ModelVersion{{Model: testModel, Version: version}},
	}
}

// testHead returns the head of a job with groups of equal size. hint returns the hint of an item by its index.
func testHead(groups, size int, hint func(i int) int) event.JobHead {
	head := event.JobHead{Model: testModel, MinVersion: 1, Target: groups}
	for i := range groups * size {
		head.Items = append(head.Items, event.ItemHead{Group: i / size, Hint: hint(i)})
	}
	return head
}

func (r *rig) step(ev event.Event) {
	r.t.Helper()
	var out event.Batch
	r.p.Step(r.now, ev, &out)
	r.effects = append(r.effects, out.Effects...)
}

func (r *rig) tick(d time.Duration) {
	r.now += d
	r.step(event.Tick{})
}

// submit submits a job and has it stored.
func (r *rig) submit(id string, head event.JobHead) {
	r.step(event.JobCalled{Seq: 1, Call: event.JobSubmit, Path: "/r/x", Job: id, Head: head})
	r.step(event.JobKept{Seq: 1, Job: id})
}

// take returns the recorded effects of one type.
func take[E event.Effect](r *rig) []E {
	var all []E
	for _, e := range r.effects {
		if one, ok := e.(E); ok {
			all = append(all, one)
		}
	}
	return all
}

// running returns the runs that were started, as job/item@engine.
func (r *rig) running() []string {
	var all []string
	for _, e := range take[event.RunItem](r) {
		all = append(all, fmt.Sprintf("%s/%d@%s", e.Job, e.Item, e.Endpoint))
	}
	return all
}
