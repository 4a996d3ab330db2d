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

// rig is one part that holds the duty of model m.
type rig struct {
	part    *Part
	state   *reduce.State
	now     time.Duration
	trusted bool
	writes  []event.WriteLedger
	answers []event.AnswerDuty
	asks    []event.AskDuty
	swaps   []event.SwapEngine
	reads   []event.ReadEngine
}

// Trusted is not asked by the part.
func (r *rig) Trusted(time.Duration) (time.Duration, bool) { return 0, false }

// Holds answers for the only duty.
func (r *rig) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	return now + time.Minute, 1, r.trusted
}

// Step records what the part raises.
func (r *rig) Step(_ time.Duration, ev event.Event, _ *event.Batch) {
	switch e := ev.(type) {
	case event.WriteLedger:
		r.writes = append(r.writes, e)
	case event.AnswerDuty:
		r.answers = append(r.answers, e)
	case event.AskDuty:
		r.asks = append(r.asks, e)
	}
}

func newRig(engines int) *rig {
	r := &rig{trusted: true}
	r.part = &Part{Trust: r}
	r.state = &reduce.State{Parts: []event.Part{r.part, r}}
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

// target asks for a version and stores the ledger.
func (r *rig) target(version uint64) {
	body, _ := json.Marshal(target{Version: version})
	r.step(event.DutyAsked{From: "h", ID: 1, Duty: dutyName, Call: askTarget, Body: body})
	r.store()
}

func (r *rig) store() {
	for len(r.writes) > 0 {
		w := r.writes[0]
		r.writes = r.writes[1:]
		r.step(event.LedgerWritten{Duty: w.Duty, Epoch: w.Epoch, Seq: w.Seq})
	}
}

// readAll answers the reads of the engines' states with one version.
func (r *rig) readAll(version uint64) {
	all := r.reads
	r.reads = nil
	for _, e := range all {
		r.step(event.EngineRead{Duty: e.Duty, Endpoint: e.Endpoint, Incarnation: "i", Version: version})
	}
}

// endAll ends the orders under way, each engine reporting one version.
func (r *rig) endAll(version uint64, kind kinds.Kind) {
	all := r.swaps
	r.swaps = nil
	for _, s := range all {
		r.step(event.EngineSwapped{Duty: s.Duty, Epoch: s.Epoch, OrderID: s.OrderID, Endpoint: s.Endpoint, Version: version, Kind: kind})
	}
}

// TestWaves publishes one version and counts the orders that are under way at once.
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
			r.readAll(1)
			var waves []int
			for range 10 {
				r.tick(50 * time.Millisecond)
				if len(r.swaps) > 0 {
					t.Fatal("an order went out before its intent was stored")
				}
				r.store()
				if len(r.swaps) > 0 {
					waves = append(waves, len(r.swaps))
				}
				r.endAll(2, "")
			}
			if diff := cmp.Diff(c.waves, waves); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestFailedSwap has an engine end its order at the old version: it is ordered again, after a wait, under a new id.
func TestFailedSwap(t *testing.T) {
	r := newRig(1)
	r.target(2)
	r.tick(time.Millisecond)
	r.readAll(1)
	r.tick(50 * time.Millisecond)
	r.store()
	first := r.swaps[0]
	r.endAll(1, kinds.EndpointRefused)
	r.tick(50 * time.Millisecond)
	r.store()
	if len(r.swaps) > 0 {
		t.Fatal("the order was repeated at once")
	}
	r.tick(r.part.site.RetryBackoff)
	r.store()
	if len(r.swaps) != 1 || r.swaps[0].OrderID == first.OrderID {
		t.Fatalf("orders after the failure: %+v", r.swaps)
	}
	r.endAll(2, "")
	r.tick(time.Second)
	r.store()
	if len(r.swaps) > 0 {
		t.Error("an order went to an engine that has the version")
	}
	r.step(event.BeatSeen{Beat: wire.Beat{Loads: []wire.LoadReport{{Endpoint: "e00", Incarnation: "i", Version: 1}}}})
	r.tick(50 * time.Millisecond)
	if len(r.reads) != 1 {
		t.Error("an engine that reports another version was not read again")
	}
}

// TestNoOrderAfterTheLease stores an intent when the lease is no longer trusted.
func TestNoOrderAfterTheLease(t *testing.T) {
	r := newRig(1)
	r.target(2)
	r.tick(time.Millisecond)
	r.readAll(1)
	r.tick(50 * time.Millisecond)
	r.trusted = false
	r.store()
	if len(r.swaps) > 0 {
		t.Error("an order went out after the lease")
	}
}

// TestTellsTheHolder repeats a published version until the model's holder confirms it.
func TestTellsTheHolder(t *testing.T) {
	r := newRig(1)
	r.step(event.VersionPublished{Model: "m", Version: 4})
	r.step(event.AskDone{Owner: Owner, Seq: r.asks[0].Seq, Kind: kinds.NotHolder})
	r.tick(askEvery)
	if len(r.asks) != 2 {
		t.Fatalf("the holder was asked %d times", len(r.asks))
	}
	r.step(event.AskDone{Owner: Owner, Seq: r.asks[1].Seq})
	r.tick(time.Minute)
	if len(r.asks) != 2 {
		t.Errorf("the holder was asked %d times", len(r.asks))
	}
}
