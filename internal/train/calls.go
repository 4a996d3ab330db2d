// Package train implements the HTTP API for trainers: requests for lots, publishes of versions and releases.
package train

import (
	"context"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// Owner identifies the API in its calls to the reducer.
const Owner = "Trainers"

// Calls posts calls to the reducer and waits for their answers. Post and Now are set before the first call.
// Its methods may be called concurrently.
type Calls struct {
	Post func(ev event.Event) bool
	Now  func() time.Duration

	mu      sync.Mutex
	seq     uint64
	pending map[uint64]chan event.Effect
}

// Do delivers the answer to a call of this package, and reports whether the effect was one.
func (c *Calls) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.CallAuthorised:
		return e.Owner == Owner && c.deliver(e.Seq, e)
	case event.AskDone:
		return e.Owner == Owner && c.deliver(e.Seq, e)
	}
	return false
}

// deliver passes an answer to the call that waits for it, and drops the answer if the call has ended.
func (c *Calls) deliver(seq uint64, e event.Effect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if answer, ok := c.pending[seq]; ok {
		delete(c.pending, seq)
		answer <- e
	}
	return true
}

func (c *Calls) register() (uint64, <-chan event.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil {
		c.pending = map[uint64]chan event.Effect{}
	}
	c.seq++
	answer := make(chan event.Effect, 1)
	c.pending[c.seq] = answer
	return c.seq, answer
}

func (c *Calls) unregister(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, seq)
}

// call posts the event that newEvent returns for the call's number, and waits for the answer until ctx ends.
func (c *Calls) call(ctx context.Context, newEvent func(seq uint64) event.Event) (event.Effect, error) {
	seq, answer := c.register()
	defer c.unregister(seq)
	if !c.Post(newEvent(seq)) {
		return nil, kinds.New(kinds.Stopping, "the daemon has stopped")
	}
	select {
	case e := <-answer:
		return e, nil
	case <-ctx.Done():
		return nil, kinds.New(kinds.OutcomeUnknown, "no answer in time")
	}
}

// Authorise returns the organisation of a key that is in force. It fails with kind AuthorityStale if it cannot be checked.
func (c *Calls) Authorise(ctx context.Context, keyHash string) (string, error) {
	e, err := c.call(ctx, func(seq uint64) event.Event {
		return event.AuthoriseCall{Owner: Owner, Seq: seq, KeyHash: keyHash}
	})
	if err != nil {
		return "", kinds.New(kinds.AuthorityStale, "the key could not be checked: %v", err)
	}
	a, ok := e.(event.CallAuthorised)
	if !ok {
		return "", kinds.New(kinds.Internal, "unexpected answer")
	}
	if a.Kind != "" {
		return "", kinds.New(a.Kind, "the key was refused")
	}
	return a.Organisation, nil
}

// CallHolder calls the holder of a duty and returns its answer. An error has the kind of the holder's refusal.
func (c *Calls) CallHolder(ctx context.Context, duty, name string, body []byte, timeout time.Duration) ([]byte, error) {
	deadline := c.Now() + timeout
	e, err := c.call(ctx, func(seq uint64) event.Event {
		return event.AskDuty{Owner: Owner, Seq: seq, Duty: duty, Call: name, Body: body, Deadline: deadline}
	})
	if err != nil {
		return nil, err
	}
	a, ok := e.(event.AskDone)
	if !ok {
		return nil, kinds.New(kinds.Internal, "unexpected answer")
	}
	if a.Kind != "" {
		return nil, kinds.New(a.Kind, "refused by the holder of %s", duty)
	}
	return a.Body, nil
}
