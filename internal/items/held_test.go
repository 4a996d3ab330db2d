package items

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/budget"
)

func newTestMemory(limit int64) *budget.Budget {
	return &budget.Budget{Limit: limit, Policy: budget.Largest{}, Now: func() int64 { return 0 }}
}

// The texts of many runs were bounded one by one only, and together filled the memory of the host.
func TestTextsTogetherHaveABound(t *testing.T) {
	const limit = 4 << 20
	memory := newTestMemory(limit)
	var texts []*itemText
	event := bytes.Repeat([]byte("x"), 64<<10)
	for range 50 {
		texts = append(texts, &itemText{memory: memory})
	}
	small := &itemText{memory: memory}
	for n := 1; n <= 40; n++ {
		for _, text := range texts { // those that are dropped go on from their first event
			events, _, _ := text.state()
			_ = text.add(fmt.Sprint(events+1), event, 1, "") // an error means that the text was dropped
		}
		if err := small.add(fmt.Sprint(n), []byte("small"), 1, ""); err != nil {
			t.Fatalf("event %d of a small text: %v", n, err)
		}
		if held := memory.Held(budget.Received); held > limit {
			t.Fatalf("%d bytes are held, want %d at most", held, limit)
		}
	}
	for _, text := range append(texts, small) {
		text.reset()
	}
	if diff := cmp.Diff(int64(0), memory.Held(budget.Received)); diff != "" {
		t.Errorf("bytes held after all texts were dropped (-want +got):\n%s", diff)
	}
}

// A run that went on after its text had been dropped would leave the events before out.
func TestEventAfterADroppedTextIsRefused(t *testing.T) {
	text := &itemText{memory: newTestMemory(1 << 20)}
	for n := 1; n <= 2; n++ {
		if err := text.add(fmt.Sprint(n), []byte("x"), 1, ""); err != nil {
			t.Fatal(err)
		}
	}
	text.giveWay(text.text.claim)
	if err := text.add("3", []byte("x"), 1, ""); err == nil {
		t.Error("event 3 was added to a text without the events before it")
	}
	if events, lastID, _ := text.state(); events != 0 || lastID != "" {
		t.Errorf("the dropped text has %d events up to %q", events, lastID)
	}
}

// A text that was dropped after its last event, before it was listed, would be listed as whole without its events.
func TestWholeTextIsNotDropped(t *testing.T) {
	memory := newTestMemory(1 << 20)
	add := func(text *itemText, id string) error { return text.add(id, make([]byte, 100<<10), 1, "") }
	whole, dropped, other := &itemText{memory: memory}, &itemText{memory: memory}, &itemText{memory: memory}
	if err := whole.add("1", make([]byte, 600<<10), 1, ""); err != nil {
		t.Fatal(err)
	}
	if err := whole.finish("1"); err != nil {
		t.Fatal(err)
	}
	for n := 1; add(other, fmt.Sprint(n)) == nil; n++ { // until it doesn't fit any more
		if n > 10 {
			t.Fatal("the budget has no end")
		}
	}
	if events, _, _ := whole.state(); events != 1 {
		t.Errorf("the whole text has %d events, want 1", events)
	}
	if err := add(dropped, "1"); err != nil {
		t.Fatal(err)
	}
	claim := dropped.text.claim
	dropped.giveWay(claim)
	if err := dropped.finish("1"); err == nil {
		t.Error("a text that was dropped is whole")
	}
}

func TestHeldBytes(t *testing.T) {
	memory := newTestMemory(1 << 20)
	claim := memory.Open(nil)
	h := heldBytes{claim: claim}
	for range 1000 {
		if err := h.append([]byte("0123456789")...); err != nil {
			t.Fatal(err)
		}
	}
	if held := memory.Held(budget.Received); len(h.data) != 10_000 || held != int64(cap(h.data)) {
		t.Errorf("%d bytes, of which %d are held in a capacity of %d", len(h.data), held, cap(h.data))
	}
	if err := h.append(make([]byte, 1<<20)...); err == nil || len(h.data) != 10_000 {
		t.Errorf("error %v, %d bytes after more than the limit", err, len(h.data))
	}
	h.drop()
	if held := memory.Held(budget.Received); held != 0 {
		t.Errorf("%d bytes are held after drop", held)
	}
}
