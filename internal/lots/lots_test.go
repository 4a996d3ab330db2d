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

// TestHandOver has two consumers request lots. Each step names the call and the expected answer.
func TestHandOver(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gainDuty(1, nil)
	d.buildLots(1)
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
		d.storeWrites()
		d.buildLots(1)
		a := d.answers[id]
		if diff := cmp.Diff([]any{s.kind, s.lot}, []any{a.Kind, decodeGrant(a).Lot}); diff != "" {
			t.Errorf("step %d: %s", i, diff)
		}
	}
}

// TestStaleAtHandOver guards against handing over a stale lot when a version is published after the lot was sealed.
func TestStaleAtHandOver(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gainDuty(1, nil)
	d.buildLots(1)
	d.askLot(1, "one", 0)
	d.storeWrites()
	first := decodeGrant(d.answers[1])
	d.publish(2, "one", 5)
	d.storeWrites()
	if _, ok := d.answers[2]; ok {
		t.Error("the publish was confirmed before the grant of a stale lot expired")
	}
	d.tick(d.component.grantValidity())
	if _, ok := d.answers[2]; !ok {
		t.Error("the publish was not confirmed after the grant expired")
	}
	if a, _ := d.askLot(3, "one", 0); a.Kind != kinds.LotNotReady {
		t.Errorf("the request for a stale lot was answered with kind %q", a.Kind)
	}
	d.buildLots(5)
	a, _ := d.askLot(4, "one", 0)
	got := decodeGrant(a)
	if got.Lot != first.Lot || got.Attempt <= first.Attempt {
		t.Errorf("got lot %d, attempt %d after attempt %d", got.Lot, got.Attempt, first.Attempt)
	}
	if diff := cmp.Diff([]uint64{first.Attempt}, got.Replaces); diff != "" {
		t.Error(diff)
	}
}

// TestHedge has one sample run far longer than the median of the finished ones.
func TestHedge(t *testing.T) {
	spec := newSpec()
	spec.SpareGroups, spec.SealAhead = 0, 0
	d := newDaemon(spec, 1)
	d.gainDuty(1, nil)
	d.tick(time.Millisecond)
	slow := d.requests[0]
	d.step(event.SampleSent{Request: slow.Request, Endpoint: "e1"})
	d.now += 100 * time.Millisecond
	for len(d.requests) > 1 {
		d.finishRequest(1, "", 1)
	}
	d.tick(50 * time.Millisecond)
	if len(d.requests) != 1 {
		t.Fatal("a hedge started before the straggler threshold")
	}
	d.tick(300 * time.Millisecond)
	if len(d.requests) != 2 {
		t.Fatal("no hedge started")
	}
	if diff := cmp.Diff([]string{"e1"}, d.requests[1].Avoid); diff != "" {
		t.Error(diff)
	}
	d.finishRequest(1, "", 1)
	if len(d.requests) != 0 {
		t.Error("the first request was not cancelled")
	}
	if len(d.packs) != 1 {
		t.Error("the lot was not packed")
	}
}

// TestRelease has a second consumer continue after the first released the rollout.
func TestRelease(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gainDuty(1, nil)
	d.buildLots(1)
	d.askLot(1, "one", 0)
	d.storeWrites()
	d.call(2, wire.AskRelease, wire.RolloutCall{Release: wire.Release{Consumer: "one", Cursor: 1}})
	if _, ok := d.answers[2]; ok {
		t.Error("the release was confirmed before it was stored")
	}
	d.buildLots(1)
	d.askLot(3, "two", 1)
	d.storeWrites()
	if g := decodeGrant(d.answers[3]); g.Lot != 2 {
		t.Errorf("the second consumer got lot %d", g.Lot)
	}
}

// TestAskBeforeTheLossIsKnown guards against decisions of a holder that resumes after the end of its lease and processes
// a call before it learns of the loss.
func TestAskBeforeTheLossIsKnown(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gainDuty(1, nil)
	d.buildLots(1)
	d.askLot(1, "one", 0)
	d.storeWrites()
	d.leaseEnd = d.now + time.Second
	d.now += 10 * time.Second
	if a, ok := d.askLot(2, "one", 0); !ok || a.Kind != kinds.NotHolder {
		t.Errorf("a holder past its lease: answered %v, kind %q, lot %d", ok, a.Kind, decodeGrant(a).Lot)
	}
	if a, ok := d.publish(3, "one", 5); !ok || a.Kind != kinds.NotHolder {
		t.Errorf("publish at a holder past its lease: answered %v, kind %q", ok, a.Kind)
	}
}

// TestBlocksOfACrashedHolder checks that a successor deletes the blocks of the former holder's unsealed lots, that a
// holder which regains its duty keeps its builds, and that it drops them if another holder came in between.
func TestBlocksOfACrashedHolder(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gainDuty(1, nil)
	d.tick(time.Millisecond)
	d.tick(maxWriteDelay)
	open := d.component.rollouts[rolloutName].ledger.Open
	ledger := d.storeWrites()
	successor := newDaemon(newSpec(), 1)
	successor.gainDuty(2, ledger)
	var want []event.LotRef
	for _, a := range open {
		want = append(want, event.LotRef{Rollout: rolloutName, Lot: a.Lot, Attempt: a.Attempt})
	}
	if diff := cmp.Diff(want, successor.deletedLots); diff != "" || len(want) == 0 {
		t.Errorf("%d lots were open: %s", len(want), diff)
	}
	d.step(event.DutyLost{Duty: dutyName()})
	d.gainDuty(2, ledger)
	if len(d.deletedLots) > 0 || len(d.component.rollouts[rolloutName].builds) != len(want) {
		t.Errorf("the holder dropped its own builds: %v", d.deletedLots)
	}
	d.step(event.DutyLost{Duty: dutyName()})
	d.gainDuty(4, ledger)
	if len(d.component.rollouts[rolloutName].builds) > 0 {
		t.Error("builds were kept although another holder in between may have deleted their blocks")
	}
}

// TestBlockGone checks that a lot is rebuilt when one of its blocks no longer exists in the store.
func TestBlockGone(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gainDuty(1, nil)
	d.buildLots(1)
	d.askLot(1, "one", 0)
	d.storeWrites()
	first := decodeGrant(d.answers[1])
	d.step(event.BlockRead{To: "h2", ID: 2, Name: first.Blocks[0].Name, Kind: kinds.NotFound})
	d.buildLots(1)
	a, _ := d.askLot(3, "one", 0)
	got := decodeGrant(a)
	if got.Lot != 1 || got.Attempt <= first.Attempt {
		t.Errorf("got lot %d, attempt %d after attempt %d", got.Lot, got.Attempt, first.Attempt)
	}
}

// TestLossWithAnswersOutstanding loses the lease while a new consumer's request and a publish wait for a ledger write.
func TestLossWithAnswersOutstanding(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gainDuty(1, nil)
	d.askLot(1, "one", 0)
	d.publish(2, "one", 5)
	d.step(event.DutyLost{Duty: dutyName()})
	got := []kinds.Kind{d.answers[1].Kind, d.answers[2].Kind}
	if diff := cmp.Diff([]kinds.Kind{kinds.StoreUnavailable, kinds.OutcomeUnknown}, got); diff != "" {
		t.Error(diff)
	}
}

// TestGrantEndsBeforeASuccessorDecides checks that a grant is valid no longer than a successor waits after a release.
func TestGrantEndsBeforeASuccessorDecides(t *testing.T) {
	site := config.Defaults()
	site.Lease.OrderFlight = 400 * time.Millisecond
	d := newDaemon(newSpec(), 1)
	d.step(event.ConfigInForce{Site: site})
	d.gainDuty(1, nil)
	d.buildLots(1)
	d.askLot(1, "one", 0)
	d.storeWrites()
	if valid := decodeGrant(d.answers[1]).ValidMS; valid != site.Lease.OrderFlight.Milliseconds() {
		t.Errorf("the grant is valid for %d ms", valid)
	}
}
