package lots

import (
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// TestPublishWithSiblings has two rollouts share a model: a version counts when the ledgers of both hold it.
func TestPublishWithSiblings(t *testing.T) {
	sibling := newSpec()
	sibling.Name = "letters"
	d := newDaemon(newSpec(), 1)
	d.step(event.ObjectSeen{Object: wire.Object{Name: wire.PrefixRollouts + sibling.Name, Value: mustJSON(sibling)}})
	d.gain(1, nil)
	d.publish(1, "one", 3)
	d.store()
	if _, ok := d.answers[1]; ok || d.told(3) {
		t.Fatal("the version counted before the sibling held it")
	}
	d.step(event.AskDone{Owner: Owner, Seq: d.asks[0].Seq, Kind: kinds.NotHolder})
	d.tick(spreadEvery)
	if len(d.asks) != 2 {
		t.Fatalf("the sibling was asked %d times", len(d.asks))
	}
	d.step(event.AskDone{Owner: Owner, Seq: d.asks[1].Seq})
	if a, ok := d.answers[1]; !ok || a.Kind != "" || !d.told(3) {
		t.Errorf("the publish was answered %v with kind %q", ok, a.Kind)
	}
}

// TestNewestOfASibling takes a version that a sibling published.
func TestNewestOfASibling(t *testing.T) {
	d := newDaemon(newSpec(), 1)
	d.gain(1, nil)
	d.makeLot(1)
	d.askLot(1, "one", 0)
	d.store()
	call := wire.RolloutCall{Publish: wire.Publish{Version: 5}}
	d.call(2, wire.AskNewest, call)
	d.store()
	if _, ok := d.answers[2]; ok {
		t.Error("the version was confirmed while the grant of a stale lot ran")
	}
	d.tick(d.part.grantTime())
	if a, ok := d.answers[2]; !ok || a.Kind != "" {
		t.Errorf("the version was answered %v with kind %q", ok, a.Kind)
	}
	if a, _ := d.askLot(3, "one", 0); a.Kind != kinds.LotNotReady {
		t.Errorf("a stale lot was answered with kind %q", a.Kind)
	}
	d.tick(time.Second)
	if d.told(5) {
		t.Error("the version was announced by a rollout that did not publish it")
	}
}
