package lots

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// TestPublishWithSiblings has two rollouts share a model: a version counts as published when the ledgers of both hold
// it.
func TestPublishWithSiblings(t *testing.T) {
	sibling := newSpec()
	sibling.Name = "letters"
	d := newDaemon(newSpec(), 1)
	d.step(event.ObjectSeen{Object: wire.Object{Name: wire.PrefixRollouts + sibling.Name, Value: mustJSON(sibling)}})
	d.gainDuty(1, nil)
	d.publish(1, "one", 3)
	d.storeWrites()
	if _, ok := d.answers[1]; ok || d.raisedPublished(3) {
		t.Fatal("the version counted as published before the sibling had stored it")
	}
	d.step(event.AskDone{Owner: Owner, Seq: d.dutyCalls[0].Seq, Kind: kinds.NotHolder})
	d.tick(propagateRetryInterval)
	if len(d.dutyCalls) != 2 {
		t.Fatalf("the sibling was called %d times", len(d.dutyCalls))
	}
	d.step(event.AskDone{Owner: Owner, Seq: d.dutyCalls[1].Seq})
	if a, ok := d.answers[1]; !ok || a.Kind != "" || !d.raisedPublished(3) {
		t.Errorf("publish: answered %v with kind %q", ok, a.Kind)
	}
}

// TestNewestOfASibling records a version that was published for a sibling.
func TestNewestOfASibling(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gainDuty(1, nil)
	d.buildLots(1)
	d.askLot(1, "one", 0)
	d.storeWrites()
	call := wire.RolloutCall{Publish: wire.Publish{Version: 5}}
	d.call(2, wire.AskNewest, call)
	d.storeWrites()
	if _, ok := d.answers[2]; ok {
		t.Error("the version was confirmed before the grant of a stale lot expired")
	}
	d.tick(d.component.grantValidity())
	if a, ok := d.answers[2]; !ok || a.Kind != "" {
		t.Errorf("newest version: answered %v with kind %q", ok, a.Kind)
	}
	if a, _ := d.askLot(3, "one", 0); a.Kind != kinds.LotNotReady {
		t.Errorf("the request for a stale lot was answered with kind %q", a.Kind)
	}
	d.tick(time.Second)
	if d.raisedPublished(5) {
		t.Error("VersionPublished was raised by a rollout that did not publish the version")
	}
}
