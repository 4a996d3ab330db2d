// Package apply carries out an operator's change: it makes one conditional write to the store and waits until a
// majority of the hosts has acknowledged it.
package apply

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Store is the subset of the object API that is needed for operators' changes.
type Store interface {
	Get(ctx context.Context, name string) (wire.Object, error)
	Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error)
	List(ctx context.Context, prefix string) (wire.ObjectList, error)
}

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// NewWriterName returns a unique writer name for one write.
func NewWriterName() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return "figctl/" + hex.EncodeToString(b)
}

// Write makes one conditional write and returns the object as stored. A lost answer does not count as a failure: Write
// reads the object, recognises its own write by put.Writer, and if needed repeats the write under the same condition.
// Write fails with kind Conflict if another write came first, and with OutcomeUnknown if ctx ended before the outcome
// was known or if later writes hide it. It may be called concurrently.
func Write(ctx context.Context, store Store, put wire.ObjectPut) (wire.Object, error) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = minBackoff
	delay.MaxInterval = maxBackoff
	for resent := false; ; resent = true {
		stored, err := store.Put(ctx, put)
		if err == nil {
			return stored, nil
		}
		if kind := kinds.KindOf(err); kind != kinds.Conflict && kind != kinds.StoreUnavailable {
			return wire.Object{}, err
		}
		if kinds.KindOf(err) == kinds.Conflict && !resent {
			return wire.Object{}, kinds.New(kinds.Conflict, "%s was changed by another writer; read it again", put.Name)
		}
		stored, known, err := resolveOutcome(ctx, store, put, delay)
		if known {
			return stored, err
		}
	}
}

// resolveOutcome reads the object until the store answers, and reports whether that shows the outcome of the write. If
// not, the write has not taken effect and may be repeated.
func resolveOutcome(ctx context.Context, store Store, put wire.ObjectPut, delay backoff.BackOff) (stored wire.Object, known bool, err error) {
	for {
		select {
		case <-time.After(delay.NextBackOff()):
		case <-ctx.Done():
			return stored, true, kinds.New(kinds.OutcomeUnknown, "%s: the store gave no answer; the change may be stored", put.Name)
		}
		stored, err = store.Get(ctx, put.Name)
		switch kinds.KindOf(err) {
		case "":
			return outcomeOf(stored, put)
		case kinds.NotFound:
			return stored, false, nil
		}
	}
}

// outcomeOf returns the outcome of a write, and whether it is known, from the object as read after it.
func outcomeOf(stored wire.Object, put wire.ObjectPut) (wire.Object, bool, error) {
	switch {
	case stored.Writer == put.Writer:
		return stored, true, nil
	case stored.Version == put.Version:
		return stored, false, nil
	case stored.Version == put.Version+1:
		return stored, true, kinds.New(kinds.Conflict, "%s was changed by another writer; read it again", put.Name)
	}
	return stored, true, kinds.New(kinds.OutcomeUnknown, "%s was changed more than once; the change may have been stored before", put.Name)
}
