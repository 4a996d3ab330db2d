// Package train answers the trainers' API.
package train

import (
	"context"
	"sync"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
)

// Owner names the API in its calls to the reducer.
const Owner = "Trainers"

// Calls passes calls to the reducer and waits for their answers. Post and Now are set before the first call.
// Its methods may be called concurrently.
type Calls struct {
	Post func(ev event.Event) bool
	Now  func() time.Duration

	mu    sync.Mutex
	seq   uint64
	waits map[uint64]chan event.Effect
}

// Do takes the answers to this package's calls.
func (c *Calls) Do(effect event.Effect) bool {
	switch e := effect.(type) {
	case event.CallAuthorised:
		return e.Owner == Owner && c.answer(e.Seq, e)
	case event.AskDone:
		return e.Owner == Owner && c.answer(e.Seq, e)
	}
	return false
}

// answer hands an effect to its waiting call; one that nobody waits for any more is dropped.
func (c *Calls) answer(seq uint64, e event.Effect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait, ok := c.waits[seq]; ok {
		delete(c.waits, seq)
		wait <- e
	}
	return true
}

func (c *Calls) begin() (uint64, <-chan event.Effect) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waits == nil {
		c.waits = map[uint64]chan event.Effect{}
	}
	c.seq++
	wait := make(chan event.Effect, 1)
	c.waits[c.seq] = wait
	return c.seq, wait
}

func (c *Calls) end(seq uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waits, seq)
}

// call posts the event that ask returns for the call's number and waits for its answer.
func (c *Calls) call(ctx context.Context, ask func(seq uint64) event.Event) (event.Effect, error) {
	seq, wait := c.begin()
	defer c.end(seq)
	if !c.Post(ask(seq)) {
		return nil, kinds.New(kinds.Stopping, "the daemon has ended")
	}
	select {
	case e := <-wait:
		return e, nil
	case <-ctx.Done():
		return nil, kinds.New(kinds.OutcomeUnknown, "no answer in time")
	}
}

// Authorise returns the organisation of a key that is in force.
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

// Ask calls the holder of a duty and returns its answer.
func (c *Calls) Ask(ctx context.Context, duty, name string, body []byte, wait time.Duration) ([]byte, error) {
	deadline := c.Now() + wait
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
