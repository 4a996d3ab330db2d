package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// A step ends while the longest items of some groups still run. The groups come again in a later step, which cannot end
// without them, and the caller's hints are as wrong as before: their longest items must be sent first, on any host.
func TestItemsThatComeAgain(t *testing.T) {
	ended := newRig(t, testEngine("e1", 1), testEngine("e2", 1))
	ended.submit("j1", stepHead("old", 4))
	for _, run := range take[event.RunItem](ended) {
		if run.Item != 5 {
			ended.step(event.ItemEnded{Job: "j1", Item: run.Item, Attempt: run.Attempt, Events: 10, Versions: []uint64{1}})
		}
	}
	ended.tick(2 * maxListDelay)
	for _, chunk := range take[event.StoreChunk](ended) {
		ended.step(event.ChunkStored{Job: "j1", Number: chunk.Number, Items: chunk.Items})
	}
	ended.step(event.JobCalled{Seq: 2, Call: event.JobEnd, Path: "/r/x", Job: "j1"})
	ended.tick(time.Second)
	if sent := lengthsSent(ended); len(sent) > 0 {
		t.Fatalf("lengths %v were sent before the last run stopped", sent)
	}
	for _, stop := range take[event.StopItem](ended) {
		ended.step(event.ItemEnded{Job: "j1", Item: stop.Item, Attempt: stop.Attempt, Events: 90, Versions: []uint64{1}, Reason: event.ReasonStopped})
	}
	ended.tick(time.Second)
	ended.tick(time.Second)
	want := []wire.ItemLength{{Item: "old4", Tokens: 100}, {Item: "old5", Tokens: 900}}
	if diff := cmp.Diff(want, lengthsSent(ended)); diff != "" {
		t.Fatalf("lengths sent (-want +got):\n%s", diff)
	}

	other := newRig(t, testEngine("e1", 1))
	other.step(event.PeerReceived{Host: "h1", Message: wire.Message{Lengths: want}})
	for name, r := range map[string]*rig{"the same host": ended, "another host": other} {
		t.Run(name, func(t *testing.T) {
			r.effects = nil
			head := stepHead("new", 4)
			head.Items[2].ID, head.Items[3].ID = "old4", "old5" // the second group
			head.Target = 2
			r.submit("j2", head)
			var order []int
			for _, run := range take[event.RunItem](r)[:4] {
				order = append(order, run.Item)
			}
			if diff := cmp.Diff([]int{3, 0, 1, 2}, order); diff != "" {
				t.Errorf("order of the first runs (-want +got):\n%s", diff)
			}
		})
	}
}

// Groups that are never asked for again must not fill the memory.
func TestLengthsAreBounded(t *testing.T) {
	var l lengths
	for i := range 3 * maxLengths {
		l.add([]wire.ItemLength{{Item: fmt.Sprint(i), Tokens: i}, {Item: "again", Tokens: i}})
	}
	if got := max(len(l.tokens), len(l.order)); got > maxLengths {
		t.Errorf("%d items are remembered, want at most %d", got, maxLengths)
	}
}

// stepHead returns the head of a job with groups of two items, all of which are hinted to be equally long.
func stepHead(prefix string, groups int) event.JobHead {
	head := testHead(groups, 2, func(int) int { return 100 })
	for i := range head.Items {
		head.Items[i].ID = fmt.Sprint(prefix, i)
	}
	return head
}

func lengthsSent(r *rig) []wire.ItemLength {
	var all []wire.ItemLength
	for _, sent := range take[event.SendPeer](r) {
		all = append(all, sent.Message.Lengths...)
	}
	return all
}
