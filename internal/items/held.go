package items

import (
	"slices"

	"github.com/figshift/figshift/internal/budget"
)

// minHeld is the least capacity of a heldBytes that holds anything.
const minHeld = 512

// heldBytes are bytes of an answer whose memory is held by a claim. A nil claim is granted everything.
type heldBytes struct {
	claim *budget.Claim
	data  []byte
}

// append adds bytes, which it copies. Its error has the kind of Claim.Grow; nothing is added then.
func (h *heldBytes) append(part ...byte) error {
	if needed := len(h.data) + len(part); needed > cap(h.data) {
		size := max(needed, 2*cap(h.data), minHeld)
		if err := h.claim.Grow(budget.Received, int64(size)); err != nil {
			return err
		}
		held := cap(h.data)
		h.data = append(make([]byte, 0, size), h.data...)
		h.claim.Shrink(budget.Received, int64(held))
	}
	h.data = append(h.data, part...)
	return nil
}

// drop gives the memory back.
func (h *heldBytes) drop() {
	h.claim.Shrink(budget.Received, int64(cap(h.data)))
	h.data = nil
}

// hold adds bytes to the text. When all texts together hold too much, that of the largest is dropped, which may be this one; the error
// tells that it is. The caller holds t.mu.
func (t *itemText) hold(parts ...[]byte) error {
	if t.text.claim == nil && t.memory != nil {
		claim := t.memory.Open(nil)
		claim.OnEnd(func() { go t.giveWay(claim) })
		claim.Await(true)
		t.text.claim = claim
	}
	err := t.text.append(slices.Concat(parts...)...)
	if err != nil {
		t.clear()
	}
	return err
}

// finish takes that the text is whole up to an event, so that it isn't dropped any more. The error tells that it was.
func (t *itemText) finish(lastID string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastID == lastID && t.text.claim.Keep() {
		return nil
	}
	t.clear()
	return errTextDropped
}

// giveWay drops the text while it is still held by a claim. A run that goes on with it ends at its next event.
func (t *itemText) giveWay(claim *budget.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.text.claim == claim {
		t.clear()
	}
}

// clear drops the text and gives its memory back. The caller holds t.mu.
func (t *itemText) clear() {
	t.text.claim.Close()
	t.text, t.events, t.lastID, t.versions, t.software, t.score = heldBytes{}, 0, "", nil, "", ""
	t.resets++
}
