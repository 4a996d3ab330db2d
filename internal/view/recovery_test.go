package view

import (
	"slices"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// A host that hears of the store's recovery from a peer must not begin the grace of expired entries anew: a stopped endpoint got
// work more than 2 s after its end.
func TestGraceOfExpiredEntriesIsNotBegunAnew(t *testing.T) {
	const late, reuseAfter = 1600 * time.Millisecond, 2 * time.Second
	entries := list(5, object("Endpoints/e1", 3, "Live"), object("Endpoints/e2", 4, "Live"))
	reader, hearer := newRig(t, "h2", "h1"), newRig(t, "h1", "h2")
	reader.answer(PrefixEndpoints, "", entries)
	hearer.answer(PrefixEndpoints, "", entries)
	for range 20 {
		reader.tick(100 * time.Millisecond)
		reader.answer(PrefixEndpoints, kinds.StoreUnavailable, wire.ObjectList{})
	}
	reader.tick(time.Second)
	if !reader.answer(PrefixEndpoints, "", wire.ObjectList{Revision: 5}) {
		t.Fatal("no call to the store")
	}
	recovered := reader.now
	hearer.now = reader.now
	for reader.now < recovered+late {
		reader.tick(100 * time.Millisecond)
		hearer.tick(100 * time.Millisecond)
	}
	if !reader.answer(PrefixEndpoints, "", wire.ObjectList{Revision: 7, Objects: []wire.Object{{Name: "Endpoints/e2", Revision: 7, Deleted: true}}}) {
		t.Fatal("no call to the store")
	}
	pushed := false
	for _, e := range reader.out.Effects {
		if send, ok := e.(event.SendPeer); ok && send.Message.Push != nil {
			pushed = true
			hearer.step(event.PeerReceived{Host: "h2", Message: send.Message})
		}
	}
	if !pushed {
		t.Fatal("the change was not pushed")
	}
	last := hearer.endpoints()
	for hearer.now < recovered+reuseAfter {
		hearer.tick(50 * time.Millisecond)
		if names := hearer.endpoints(); names != nil {
			last = names
		}
	}
	if slices.Contains(last, "e2") {
		t.Errorf("%v after the recovery: endpoints %v, want e1 only", hearer.now-recovered, last)
	}
}
