package update

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// rig runs one Component that holds the duty, with engines simulated by the test.
type rig struct {
	now       time.Duration
	component *Component
	runs      []wire.EngineRuns
	engines   []wire.Endpoint
	orders    []event.SwapEngine // of the last tickAfter
	releases  int                // of the duty
}

func (r *rig) RunsByEngine() []wire.EngineRuns { return r.runs }

func (r *rig) Trusted(time.Duration) (time.Duration, bool) { return time.Hour, true }

func (r *rig) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + 2*time.Second, 1, true
}

// newRig returns a rig whose engines hold all models at version 1.
func newRig(models []string, engines int) *rig {
	r := &rig{now: time.Minute}
	r.component = &Component{Host: "h1", Trust: r, LocalRuns: r}
	site := config.Defaults()
	site.Models = map[string][]string{"e": models}
	r.step(event.ConfigInForce{Site: site})
	r.step(event.DutyGained{Duty: Duty, Epoch: 1})
	for i := range engines {
		e := wire.Endpoint{Name: fmt.Sprintf("e%d", i), Incarnation: "1", Service: "e", State: wire.Live}
		for _, m := range models {
			e.Weights = append(e.Weights, wire.ModelVersion{Model: m, Version: 1})
		}
		r.engines = append(r.engines, e)
	}
	r.list()
	return r
}

func (r *rig) list() { r.step(event.EndpointsListed{List: wire.EndpointList{Endpoints: r.engines}}) }

func (r *rig) step(ev event.Event) {
	var out event.Batch
	r.component.Step(r.now, ev, &out)
	for _, e := range out.Effects {
		if o, ok := e.(event.SwapEngine); ok {
			r.orders = append(r.orders, o)
		}
	}
	for _, e := range out.Raised {
		if _, ok := e.(event.ReleaseDuty); ok {
			r.releases++
		}
	}
}

func (r *rig) publish(model string, version uint64) {
	r.step(event.VersionPublished{Model: model, Version: version})
}

// tickAfter ticks after d and returns the orders that the tick emits, as engine=version.
func (r *rig) tickAfter(d time.Duration) []string {
	r.now += d
	r.orders = nil
	r.step(event.Tick{})
	var all []string
	for _, o := range r.orders {
		all = append(all, fmt.Sprintf("%s=%d", o.Endpoint, o.Version))
	}
	return all
}

// finishLoads executes the orders of the last tickAfter.
func (r *rig) finishLoads() {
	for _, o := range r.orders {
		for i := range r.engines {
			if r.engines[i].Name != o.Endpoint {
				continue
			}
			weights := append([]wire.ModelVersion(nil), r.engines[i].Weights...)
			for n := range weights {
				if weights[n].Model == o.Model {
					weights[n].Version = o.Version
				}
			}
			r.engines[i].Weights = weights
		}
	}
	r.list()
}

// TestLoadsByNeed publishes versions faster than all engines can load them, a fifth of the engines at a time. Engines
// that cannot serve the next step must load at once; the others must continue to serve and load when they are idle.
func TestLoadsByNeed(t *testing.T) {
	r := newRig([]string{"m"}, 5)
	for _, e := range r.engines {
		r.runs = append(r.runs, wire.EngineRuns{Endpoint: e.Name, Items: 1})
	}
	r.publish("m", 2)
	if got := r.tickAfter(time.Second); len(got) > 0 {
		t.Errorf("busy engines that can serve the step were ordered to load: %v", got)
	}
	r.runs = r.runs[1:]
	if diff := cmp.Diff([]string{"e0=2"}, r.tickAfter(time.Second)); diff != "" {
		t.Errorf("idle engine (-want +got):\n%s", diff)
	}
	r.finishLoads()
	r.publish("m", 3)
	for i, want := range []string{"e1=3", "e2=3", "e3=3", "e4=3"} {
		if diff := cmp.Diff([]string{want}, r.tickAfter(time.Second)); diff != "" {
			t.Errorf("load %d (-want +got):\n%s", i, diff)
		}
		r.finishLoads()
	}
	if got := r.tickAfter(time.Second); len(got) > 0 && got[0] != "e0=3" {
		t.Errorf("further orders: %v", got)
	}
}

// TestIdleEnginesWaitForTheStep guards against engines that are still idle when a version is published and its step
// begins: those that can serve the step must not load then.
func TestIdleEnginesWaitForTheStep(t *testing.T) {
	r := newRig([]string{"m"}, 5)
	r.publish("m", 2)
	if got := r.tickAfter(stepStartDelay / 2); len(got) > 0 {
		t.Errorf("ordered within stepStartDelay of the publish: %v", got)
	}
	if got := r.tickAfter(stepStartDelay); len(got) != 1 {
		t.Errorf("orders %v, want one", got)
	}
}

func TestEnginesAreSharedByTheModels(t *testing.T) {
	r := newRig([]string{"m", "n", "o"}, 9)
	for _, m := range []string{"m", "n", "o"} {
		r.publish(m, 2)
	}
	count := map[string]int{}
	for range 9 {
		r.tickAfter(5 * time.Second)
		for _, o := range r.orders {
			count[o.Model]++
		}
		r.finishLoads()
	}
	if diff := cmp.Diff(map[string]int{"m": 3, "n": 3, "o": 3}, count); diff != "" {
		t.Errorf("loads (-want +got):\n%s", diff)
	}
}

// Some engines leave orders unanswered for seconds and may carry them out late. They must not hold the places of those
// that would load at once: a step would find one engine with the version that it needs.
func TestUnansweredOrdersHoldNoPlace(t *testing.T) {
	cases := map[string]struct {
		answered bool
		want     []string
	}{
		"no answer": {false, []string{"e1=3"}},
		"accepted":  {true, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig([]string{"m"}, 5)
			r.publish("m", 3)
			if diff := cmp.Diff([]string{"e0=3"}, r.tickAfter(time.Second)); diff != "" {
				t.Fatalf("first order (-want +got):\n%s", diff)
			}
			if c.answered {
				r.step(event.EngineSwapped{Duty: Duty, Epoch: 1, OrderID: r.orders[0].OrderID, Endpoint: "e0"})
			}
			if got := r.tickAfter(answerTimeout / 2); len(got) > 0 {
				t.Errorf("ordered within answerTimeout: %v", got)
			}
			if diff := cmp.Diff(c.want, r.tickAfter(answerTimeout)); diff != "" {
				t.Errorf("orders after it (-want +got):\n%s", diff)
			}
		})
	}
}

func TestAnswersToOrders(t *testing.T) {
	cases := map[string]struct {
		kind     kinds.Kind
		again    time.Duration // until the engine is ordered again
		releases int
	}{
		"refused":          {kinds.EndpointRefused, retryDelay, 0},
		"another order":    {kinds.Conflict, retryDelay, 0},
		"answer lost":      {kinds.OutcomeUnknown, retryDelay, 0},
		"higher epoch":     {kinds.NotHolder, 0, 1},
		"carried out late": {"", loadTimeout, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig([]string{"m"}, 1)
			r.publish("m", 3)
			r.tickAfter(time.Second)
			order := r.orders[0]
			r.step(event.EngineSwapped{Duty: Duty, Epoch: 1, OrderID: order.OrderID, Endpoint: order.Endpoint, Kind: c.kind})
			if r.releases != c.releases {
				t.Fatalf("the duty was released %d times, want %d", r.releases, c.releases)
			}
			if c.releases > 0 {
				return
			}
			if got := r.tickAfter(c.again / 2); len(got) > 0 {
				t.Errorf("ordered again too soon: %v", got)
			}
			if got := r.tickAfter(c.again); len(got) != 1 {
				t.Errorf("orders %v after %s, want one", got, c.again)
			}
		})
	}
}
