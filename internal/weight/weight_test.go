package weight

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/wire"
)

const dutyName = DutyPrefix + "m"

// rig runs one Component that holds the duty of model m, and records the events and effects that it emits.
type rig struct {
	component *Component
	state     *reduce.State
	now       time.Duration
	trusted   bool
	writes    []event.WriteLedger
	answers   []event.AnswerDuty
	calls     []event.AskDuty
	swaps     []event.SwapEngine
	reads     []event.ReadEngine
}

// Trusted is not called by the component.
func (r *rig) Trusted(time.Duration) (time.Duration, bool) { return 0, false }

// Holds reports the lease of the only duty.
func (r *rig) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + time.Minute, 1, r.trusted
}

// Step records the events that the component raises.
func (r *rig) Step(_ time.Duration, ev event.Event, _ *event.Batch) {
	switch e := ev.(type) {
	case event.WriteLedger:
		r.writes = append(r.writes, e)
	case event.AnswerDuty:
		r.answers = append(r.answers, e)
	case event.AskDuty:
		r.calls = append(r.calls, e)
	}
}

func newRig(engines int) *rig {
	r := &rig{trusted: true}
	r.component = &Component{Trust: r}
	r.state = &reduce.State{Components: []event.Part{r.component, r}}
	spec, _ := json.Marshal(wire.RolloutSpec{Name: "r", Model: "m"})
	r.step(event.ObjectSeen{Object: wire.Object{Name: wire.PrefixRollouts + "r", Value: spec}})
	list := wire.EndpointList{}
	for i := range engines {
		list.Endpoints = append(list.Endpoints, wire.Endpoint{
			Name: fmt.Sprintf("e%02d", i), Incarnation: "i", Kind: wire.Engine, Model: "m", State: wire.Live,
		})
	}
	r.step(event.EndpointsListed{List: list})
	r.step(event.DutyGained{Duty: dutyName, Epoch: 1})
	return r
}

func (r *rig) step(ev event.Event) {
	for _, effect := range r.state.Step(r.now, ev) {
		switch e := effect.(type) {
		case event.SwapEngine:
			r.swaps = append(r.swaps, e)
		case event.ReadEngine:
			r.reads = append(r.reads, e)
		}
	}
}

func (r *rig) tick(after time.Duration) {
	r.now += after
	r.step(event.Tick{})
}

// target calls the holder with a target version and stores the ledger.
func (r *rig) target(version uint64) {
	body, _ := json.Marshal(target{Version: version})
	r.step(event.DutyAsked{From: "h", ID: 1, Duty: dutyName, Call: targetCall, Body: body})
	r.storeWrites()
}

func (r *rig) storeWrites() {
	for len(r.writes) > 0 {
		w := r.writes[0]
		r.writes = r.writes[1:]
		r.step(event.LedgerWritten{Duty: w.Duty, Epoch: w.Epoch, Seq: w.Seq})
	}
}

// answerReads answers all reads of engines with one version.
func (r *rig) answerReads(version uint64) {
	all := r.reads
	r.reads = nil
	for _, e := range all {
		r.step(event.EngineRead{Duty: e.Duty, Endpoint: e.Endpoint, Incarnation: "i", Version: version})
	}
}

// finishSwaps ends all sent orders; each engine reports the same version.
func (r *rig) finishSwaps(version uint64, kind kinds.Kind) {
	all := r.swaps
	r.swaps = nil
	for _, s := range all {
		r.step(event.EngineSwapped{Duty: s.Duty, Epoch: s.Epoch, OrderID: s.OrderID, Endpoint: s.Endpoint, Version: version, Kind: kind})
	}
}

// TestWaves publishes one version and counts the orders that are sent at the same time.
func TestWaves(t *testing.T) {
	cases := map[string]struct {
		engines int
		waves   []int
	}{
		"one engine":    {1, []int{1}},
		"three engines": {3, []int{1, 1, 1}},
		"ten engines":   {10, []int{3, 3, 3, 1}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(c.engines)
			r.target(2)
			r.tick(time.Millisecond)
			r.answerReads(1)
			var waves []int
			for range 10 {
				r.tick(50 * time.Millisecond)
				if len(r.swaps) > 0 {
					t.Fatal("an order was sent before the ledger was stored")
				}
				r.storeWrites()
				if len(r.swaps) > 0 {
					waves = append(waves, len(r.swaps))
				}
				r.finishSwaps(2, "")
			}
			if diff := cmp.Diff(c.waves, waves); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestFailedSwap has an order fail: the engine gets a new order, with a new id, after a wait.
func TestFailedSwap(t *testing.T) {
	r := newRig(1)
	r.target(2)
	r.tick(time.Millisecond)
	r.answerReads(1)
	r.tick(50 * time.Millisecond)
	r.storeWrites()
	first := r.swaps[0]
	r.finishSwaps(1, kinds.EndpointRefused)
	r.tick(50 * time.Millisecond)
	r.storeWrites()
	if len(r.swaps) > 0 {
		t.Fatal("the order was repeated at once")
	}
	r.tick(r.component.site.RetryBackoff)
	r.storeWrites()
	if len(r.swaps) != 1 || r.swaps[0].OrderID == first.OrderID {
		t.Fatalf("orders after the failure: %+v", r.swaps)
	}
	r.finishSwaps(2, "")
	r.tick(time.Second)
	r.storeWrites()
	if len(r.swaps) > 0 {
		t.Error("an order was sent to an engine that has the version")
	}
	r.step(event.BeatSeen{Beat: wire.Beat{Loads: []wire.LoadReport{{Endpoint: "e00", Incarnation: "i", Version: 1}}}})
	r.tick(50 * time.Millisecond)
	if len(r.reads) != 1 {
		t.Error("an engine that reports another version was not read again")
	}
}

// TestNoOrderAfterTheLease has a recorded order stored when the lease is no longer trusted.
func TestNoOrderAfterTheLease(t *testing.T) {
	r := newRig(1)
	r.target(2)
	r.tick(time.Millisecond)
	r.answerReads(1)
	r.tick(50 * time.Millisecond)
	r.trusted = false
	r.storeWrites()
	if len(r.swaps) > 0 {
		t.Error("an order was sent after the end of the lease")
	}
}

// TestPublishedVersionReachesTheHolder checks that a published version is sent to the model's holder until the holder
// confirms it.
func TestPublishedVersionReachesTheHolder(t *testing.T) {
	r := newRig(1)
	r.step(event.VersionPublished{Model: "m", Version: 4})
	r.step(event.AskDone{Owner: Owner, Seq: r.calls[0].Seq, Kind: kinds.NotHolder})
	r.tick(callRetryInterval)
	if len(r.calls) != 2 {
		t.Fatalf("the holder was called %d times", len(r.calls))
	}
	r.step(event.AskDone{Owner: Owner, Seq: r.calls[1].Seq})
	r.tick(time.Minute)
	if len(r.calls) != 2 {
		t.Errorf("the holder was called %d times", len(r.calls))
	}
}
