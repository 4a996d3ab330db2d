// Package budget bounds the memory that others can make a process hold: clients, or endpoints.
package budget

import (
	"slices"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/kinds"
)

const (
	// smallBytes is what a claim may hold to be served from the part of the budget that is reserved for small claims, which is
	// 1/reservedPart of it.
	smallBytes   = 128 << 10
	reservedPart = 8
	// roomTimeout bounds the wait for the memory of claims that were ended to make room.
	roomTimeout = 2 * time.Second
)

// Purpose is what memory is held for.
type Purpose int

// The purposes.
const (
	Connections Purpose = iota // connections with their buffers
	Heads                      // heads of requests, as parsed
	Bodies                     // bodies of requests
	Jobs                       // batch jobs, as decoded
	Answers                    // answers that are written
	Received                   // answers that are read, as far as they are kept
	purposes
)

// String returns the name of a purpose.
func (p Purpose) String() string {
	return [...]string{"Connections", "Heads", "Bodies", "Jobs", "Answers", "Received"}[p]
}

// Budget is the memory that others may make the process hold. Its exported fields are set before use. Its methods may be called
// concurrently.
type Budget struct {
	Limit  int64        // bytes
	Policy Policy       // chooses which claim gives way; nil for Newcomer
	Now    func() int64 // a clock of any unit
	// Refused is called for each claim that gets no memory and, with ended set, for each that was ended to make room; nil for none.
	Refused func(purpose Purpose, ended bool)

	mu      sync.Mutex
	used    int64
	held    [purposes]int64
	ending  int64 // held by claims that were ended and have not been closed
	waiting map[*Claim]struct{}
	queue   []*request // in the order of arrival
}

// request is a claim that waits for memory.
type request struct {
	claim   *Claim
	purpose Purpose
	bytes   int64
	done    chan struct{} // closed when granted or given up
	granted bool
}

// Held returns the bytes that are held for a purpose.
func (b *Budget) Held(p Purpose) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[p]
}

// Open returns a claim that holds nothing. When its client is awaited and others need the memory, end is called, once; it must
// not block and leads to Close. The claim of a nil budget is nil and is granted everything.
func (b *Budget) Open(end func()) *Claim {
	if b == nil {
		return nil
	}
	return &Claim{budget: b, end: end, since: b.Now()}
}

// room returns the bytes that a claim may get now if it then holds the given number.
func (b *Budget) room(holds int64) int64 {
	free := b.Limit - b.used
	if holds > smallBytes {
		free -= b.Limit / reservedPart
	}
	return free
}

// take grants bytes to a claim.
func (b *Budget) take(c *Claim, p Purpose, bytes int64) {
	b.used += bytes
	b.held[p] += bytes
	c.held[p] += bytes
	c.total += bytes
	if c.ended {
		b.ending += bytes
	}
}

// grantWaiting grants the requests that wait, in order, as far as there is room.
func (b *Budget) grantWaiting() {
	for len(b.queue) > 0 {
		r := b.queue[0]
		if r.bytes > b.room(r.claim.total+r.bytes) {
			return
		}
		b.queue = b.queue[1:]
		b.take(r.claim, r.purpose, r.bytes)
		r.granted = true
		close(r.done)
	}
}

// endOthers ends claims so that a claim gets bytes once they are closed. It ends none and reports false when they don't suffice.
func (b *Budget) endOthers(c *Claim, bytes int64) (ended []*Claim, ok bool) {
	missing := bytes - b.room(c.total+bytes) - b.ending
	for _, r := range b.queue {
		missing += r.bytes
	}
	if missing <= 0 {
		return nil, true
	}
	if b.Policy == nil {
		return nil, false
	}
	for _, v := range b.Policy.Yield(b.Now(), c.candidate(bytes), b.candidates(c)) {
		ended = append(ended, v.claim)
		if missing -= v.Bytes; missing <= 0 {
			break
		}
	}
	if missing > 0 {
		return nil, false
	}
	for _, v := range ended {
		v.ended = true
		b.ending += v.total
		delete(b.waiting, v)
		b.giveUp(v)
	}
	return ended, true
}

// giveUp refuses what a claim waits for.
func (b *Budget) giveUp(c *Claim) {
	for i, r := range b.queue {
		if r.claim == c {
			b.queue = slices.Delete(b.queue, i, i+1)
			close(r.done)
			return
		}
	}
}

// candidates returns the claims that may be ended for a claim.
func (b *Budget) candidates(c *Claim) []Candidate {
	all := make([]Candidate, 0, len(b.waiting))
	for v := range b.waiting {
		if v != c {
			all = append(all, v.candidate(0))
		}
	}
	return all
}

func (b *Budget) report(p Purpose, ended bool) {
	if b.Refused != nil {
		b.Refused(p, ended)
	}
}

// errFull and errTooLarge are returned by Grow.
var (
	errFull     = kinds.New(kinds.MemoryShort, "too much memory is held for clients")
	errTooLarge = kinds.New(kinds.BodyTooLarge, "the request needs more memory than clients may use")
)
