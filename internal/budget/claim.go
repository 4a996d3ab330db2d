package budget

import "time"

// Claim is the memory that is held for one client. Grow, Shrink, Reset and Close are called by one goroutine at a time; a nil
// claim is granted everything.
type Claim struct {
	budget *Budget
	end    func()

	// guarded by budget.mu
	held   [purposes]int64
	total  int64
	since  int64 // when the client came, or began to be awaited
	ended  bool  // end was or will be called
	closed bool
}

// OnEnd sets what is called when others need the memory, in place of what Open was given. It is called before Await.
func (c *Claim) OnEnd(end func()) {
	if c != nil {
		c.end = end
	}
}

// Grow holds further bytes, before they are allocated. It may wait for the memory of other clients. Its error has kind
// MemoryShort when others hold the memory, and BodyTooLarge when the claim would hold more than there ever is.
func (c *Claim) Grow(p Purpose, bytes int64) error {
	if c == nil || bytes == 0 {
		return nil
	}
	b := c.budget
	b.mu.Lock()
	if c.total+bytes > b.Limit-b.Limit/reservedPart && c.total+bytes > smallBytes {
		b.mu.Unlock()
		b.report(p, false)
		return errTooLarge
	}
	first := len(b.queue) == 0 || c.total+bytes <= smallBytes
	if !c.ended && first && bytes <= b.room(c.total+bytes) {
		b.take(c, p, bytes)
		b.mu.Unlock()
		return nil
	}
	ended, ok := []*Claim(nil), !c.ended
	if ok {
		ended, ok = b.endOthers(c, bytes)
	}
	if !ok {
		b.mu.Unlock()
		b.report(p, false)
		return errFull
	}
	r := &request{claim: c, purpose: p, bytes: bytes, done: make(chan struct{})}
	b.queue = append(b.queue, r)
	b.grantWaiting()
	b.mu.Unlock()
	for _, v := range ended {
		b.report(p, true)
		v.end()
	}
	return b.await(r)
}

// await waits until a request is granted.
func (b *Budget) await(r *request) error {
	timer := time.NewTimer(roomTimeout)
	defer timer.Stop()
	select {
	case <-r.done:
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.granted {
		return nil
	}
	b.giveUp(r.claim) // nothing when it was ended
	b.grantWaiting()
	return errFull
}

// Shrink gives bytes back.
func (c *Claim) Shrink(p Purpose, bytes int64) {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.giveBack(p, min(bytes, c.held[p]))
	b.grantWaiting()
}

// Reset gives back all but what is held for a purpose.
func (c *Claim) Reset(but Purpose) {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range c.held {
		if Purpose(p) != but {
			c.giveBack(Purpose(p), c.held[p])
		}
	}
	b.grantWaiting()
}

func (c *Claim) giveBack(p Purpose, bytes int64) {
	c.budget.used -= bytes
	c.budget.held[p] -= bytes
	c.held[p] -= bytes
	c.total -= bytes
	if c.ended {
		c.budget.ending -= bytes
	}
}

// Await sets whether the client has to send or to read something for the claim to be given back. Only then may it be ended.
func (c *Claim) Await(awaited bool) {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !awaited || c.ended || c.closed {
		delete(b.waiting, c)
		return
	}
	if b.waiting == nil {
		b.waiting = map[*Claim]struct{}{}
	}
	c.since = b.Now()
	b.waiting[c] = struct{}{}
}

// Keep lets the claim no longer be ended. It returns false when it has been.
func (c *Claim) Keep() bool {
	if c == nil {
		return true
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, c)
	return !c.ended
}

// Close gives everything back.
func (c *Claim) Close() {
	if c == nil {
		return
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range c.held {
		c.giveBack(Purpose(p), c.held[p])
	}
	c.closed = true
	delete(b.waiting, c)
	b.grantWaiting()
}

// candidate returns the claim as it would be with further bytes.
func (c *Claim) candidate(more int64) Candidate {
	return Candidate{Bytes: c.total + more, Since: c.since, claim: c}
}
