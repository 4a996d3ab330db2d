package lots

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// TestHandOver walks a trainer through its lots; each step says what it is answered.
func TestHandOver(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gain(1, nil)
	d.makeLot(1)
	steps := []struct {
		consumer string
		cursor   uint64
		kind     kinds.Kind
		lot      uint64
	}{
		{"one", 0, "", 1},
		{"one", 0, "", 1},
		{"two", 0, kinds.ConsumerHeld, 0},
		{"one", 1, "", 2},
		{"one", 0, kinds.BadCursor, 0},
		{"one", 2, "", 3},
		{"one", 9, kinds.BadCursor, 0},
	}
	for i, s := range steps {
		id := uint64(i + 1)
		d.askLot(id, s.consumer, s.cursor)
		d.store()
		d.makeLot(1)
		a := d.answers[id]
		if diff := cmp.Diff([]any{s.kind, s.lot}, []any{a.Kind, grantIn(a).Lot}); diff != "" {
			t.Errorf("step %d: %s", i, diff)
		}
	}
}

// TestStaleAtHandOver has a version published between a lot's seal and its hand-over.
func TestStaleAtHandOver(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gain(1, nil)
	d.makeLot(1)
	d.askLot(1, "one", 0)
	d.store()
	first := grantIn(d.answers[1])
	d.publish(2, "one", 5)
	d.store()
	if _, ok := d.answers[2]; ok {
		t.Error("the publish was confirmed while the grant of a stale lot ran")
	}
	d.tick(d.part.grantTime())
	if _, ok := d.answers[2]; !ok {
		t.Error("the publish was not confirmed after the grant had run out")
	}
	if a, _ := d.askLot(3, "one", 0); a.Kind != kinds.LotNotReady {
		t.Errorf("a stale lot was answered with kind %q", a.Kind)
	}
	d.makeLot(5)
	a, _ := d.askLot(4, "one", 0)
	got := grantIn(a)
	if got.Lot != first.Lot || got.Attempt <= first.Attempt {
		t.Errorf("lot %d attempt %d came after attempt %d", got.Lot, got.Attempt, first.Attempt)
	}
	if diff := cmp.Diff([]uint64{first.Attempt}, got.Replaces); diff != "" {
		t.Error(diff)
	}
}

// TestHedge has one sample straggle among done ones.
func TestHedge(t *testing.T) {
	spec := newSpec()
	spec.SpareGroups, spec.SealAhead = 0, 0
	d := newDaemon(spec, 1)
	d.gain(1, nil)
	d.tick(time.Millisecond)
	slow := d.requests[0]
	d.step(event.SampleSent{Request: slow.Request, Endpoint: "e1"})
	d.now += 100 * time.Millisecond
	for len(d.requests) > 1 {
		d.finish(1, "", 1)
	}
	d.tick(50 * time.Millisecond)
	if len(d.requests) != 1 {
		t.Fatal("a hedge started before its time")
	}
	d.tick(300 * time.Millisecond)
	if len(d.requests) != 2 {
		t.Fatal("no hedge started")
	}
	if diff := cmp.Diff([]string{"e1"}, d.requests[1].Avoid); diff != "" {
		t.Error(diff)
	}
	d.finish(1, "", 1)
	if len(d.requests) != 0 {
		t.Error("the first try was not cancelled")
	}
	if len(d.packs) != 1 {
		t.Error("the lot was not packed")
	}
}

// TestRelease lets a second consumer in where the first has left off.
func TestRelease(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gain(1, nil)
	d.makeLot(1)
	d.askLot(1, "one", 0)
	d.store()
	d.call(2, wire.AskRelease, wire.RolloutCall{Release: wire.Release{Consumer: "one", Cursor: 1}})
	if _, ok := d.answers[2]; ok {
		t.Error("the release was confirmed before it was stored")
	}
	d.makeLot(1)
	d.askLot(3, "two", 1)
	d.store()
	if g := grantIn(d.answers[3]); g.Lot != 2 {
		t.Errorf("the second consumer got lot %d", g.Lot)
	}
}

// TestAskBeforeTheLossIsKnown has an ask come first when a holder wakes after the end of its lease.
func TestAskBeforeTheLossIsKnown(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gain(1, nil)
	d.makeLot(1)
	d.askLot(1, "one", 0)
	d.store()
	d.until = d.now + time.Second
	d.now += 10 * time.Second
	if a, ok := d.askLot(2, "one", 0); !ok || a.Kind != kinds.NotHolder {
		t.Errorf("a holder past its lease answered %v, kind %q, lot %d", ok, a.Kind, grantIn(a).Lot)
	}
	if a, ok := d.publish(3, "one", 5); !ok || a.Kind != kinds.NotHolder {
		t.Errorf("a holder past its lease answered a publish %v, kind %q", ok, a.Kind)
	}
}

// TestBlocksOfACrashedHolder has a successor delete what the former holder was making, and its own lots kept.
func TestBlocksOfACrashedHolder(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gain(1, nil)
	d.tick(time.Millisecond)
	d.tick(lazyWrite)
	open := d.part.rollouts[rolloutName].ledger.Open
	ledger := d.store()
	again := newDaemon(newSpec(), 1)
	again.gain(2, ledger)
	var want []event.LotRef
	for _, a := range open {
		want = append(want, event.LotRef{Rollout: rolloutName, Lot: a.Lot, Attempt: a.Attempt})
	}
	if diff := cmp.Diff(want, again.deleted); diff != "" || len(want) == 0 {
		t.Errorf("%d lots were open: %s", len(want), diff)
	}
	d.step(event.DutyLost{Duty: duty()})
	d.gain(2, ledger)
	if len(d.deleted) > 0 || len(d.part.rollouts[rolloutName].making) != len(want) {
		t.Errorf("the holder dropped its own lots: %v", d.deleted)
	}
	d.step(event.DutyLost{Duty: duty()})
	d.gain(4, ledger)
	if len(d.part.rollouts[rolloutName].making) > 0 {
		t.Error("lots are kept whose blocks a holder in between may have deleted")
	}
}

// TestBlockGone makes a lot anew whose block is not in the store any more.
func TestBlockGone(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gain(1, nil)
	d.makeLot(1)
	d.askLot(1, "one", 0)
	d.store()
	first := grantIn(d.answers[1])
	d.step(event.BlockRead{To: "h2", ID: 2, Name: first.Blocks[0].Name, Kind: kinds.NotFound})
	d.makeLot(1)
	a, _ := d.askLot(3, "one", 0)
	got := grantIn(a)
	if got.Lot != 1 || got.Attempt <= first.Attempt {
		t.Errorf("lot %d attempt %d came after attempt %d", got.Lot, got.Attempt, first.Attempt)
	}
}

// TestLossWithAnswersOutstanding loses the lease while a new consumer's ask and a publish wait for the ledger.
func TestLossWithAnswersOutstanding(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gain(1, nil)
	d.askLot(1, "one", 0)
	d.publish(2, "one", 5)
	d.step(event.DutyLost{Duty: duty()})
	got := []kinds.Kind{d.answers[1].Kind, d.answers[2].Kind}
	if diff := cmp.Diff([]kinds.Kind{kinds.StoreUnavailable, kinds.OutcomeUnknown}, got); diff != "" {
		t.Error(diff)
	}
}

// TestGrantEndsBeforeASuccessorDecides compares a grant's time with the wait of a successor after a release.
func TestGrantEndsBeforeASuccessorDecides(t *testing.T) {
	site := config.Defaults()
	site.Lease.OrderFlight = 400 * time.Millisecond
	d := newDaemon(newSpec(), 1)
	d.step(event.ConfigInForce{Site: site})
	d.gain(1, nil)
	d.makeLot(1)
	d.askLot(1, "one", 0)
	d.store()
	if valid := grantIn(d.answers[1]).ValidMS; valid != site.Lease.OrderFlight.Milliseconds() {
		t.Errorf("the grant is valid for %d ms", valid)
	}
}
