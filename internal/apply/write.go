// Package apply carries out an operator's changes: one conditional write, and the wait until a majority
// of the hosts has acknowledged it.
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

// Store is the part of the object API that operators' changes need.
type Store interface {
	Get(ctx context.Context, name string) (wire.Object, error)
	Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error)
	List(ctx context.Context, prefix string) (wire.ObjectList, error)
}

const (
	firstPause = 100 * time.Millisecond
	lastPause  = 2 * time.Second
)

// NewWriter returns a name for one write that no other write has.
func NewWriter() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return "figctl/" + hex.EncodeToString(b)
}

// Write makes one conditional write and returns the object as stored. An answer that was lost is never taken
// for a failure: the object is read again and compared by put.Writer, and the same write is repeated only under
// the same condition. Write fails with kind Conflict when another write came first, and with OutcomeUnknown when
// ctx ended before the outcome was known or when others' writes have covered it. It may be called concurrently.
func Write(ctx context.Context, store Store, put wire.ObjectPut) (wire.Object, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = lastPause
	for lost := false; ; lost = true {
		stored, err := store.Put(ctx, put)
		if err == nil {
			return stored, nil
		}
		if kind := kinds.From(err); kind != kinds.Conflict && kind != kinds.StoreUnavailable {
			return wire.Object{}, err
		}
		if kinds.From(err) == kinds.Conflict && !lost {
			return wire.Object{}, kinds.New(kinds.Conflict, "%s was changed by another writer; read it again", put.Name)
		}
		stored, settled, err := settle(ctx, store, put, pause)
		if settled {
			return stored, err
		}
	}
}

// settle reads until the store answers and says whether the write's outcome is known by that.
func settle(ctx context.Context, store Store, put wire.ObjectPut, pause backoff.BackOff) (stored wire.Object, settled bool, err error) {
	for {
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
			return stored, true, kinds.New(kinds.OutcomeUnknown, "%s: the store gave no answer; the change may be stored", put.Name)
		}
		stored, err = store.Get(ctx, put.Name)
		switch kinds.From(err) {
		case "":
			return compare(stored, put)
		case kinds.NotFound:
			return stored, false, nil
		}
	}
}

// compare tells from the object read what became of a write.
func compare(stored wire.Object, put wire.ObjectPut) (wire.Object, bool, error) {
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
