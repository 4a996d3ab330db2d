package keys

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	keyBytes      = 32
	writerIDBytes = 8
	maxAttempts   = 8 // attempts at a conditional write before a change fails with a conflict
)

// Store is the part of the object API that changes of keys need; objapi.Client implements it.
type Store interface {
	Get(ctx context.Context, name string) (wire.Object, error)
	Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error)
}

// Change is a stored change of one key. Revision is the store's revision of the write: the change is accepted once a
// majority of the hosts reports a KeysRevision that is not lower.
type Change struct {
	Hash     string
	Revision uint64
}

// Create stores a new key for an organisation and returns it. It can't be shown again, since only its hash is stored.
// After an error of kind StoreUnavailable the key may or may not be stored, but nobody knows it, so it can't be used.
func Create(ctx context.Context, store Store, organisation string) (string, Change, error) {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", Change{}, errors.Wrap(err, "generating a key")
	}
	key := base64.RawURLEncoding.EncodeToString(random)
	change, err := updateEntry(ctx, store, Hash(key), func(entry Entry, _ bool) (Entry, error) {
		entry.Organisation = organisation
		entry.State = Active
		return entry, nil
	})
	if err != nil {
		return "", Change{}, err
	}
	return key, change, nil
}

// Revoke makes a key permanently unusable. An unknown hash gives an error of kind NotFound; a key that is already
// withdrawn gives the revision of its shard. After StoreUnavailable the caller may call Revoke again.
func Revoke(ctx context.Context, store Store, hash string) (Change, error) {
	if !validHash(hash) {
		return Change{}, kinds.New(kinds.NotFound, "%q is not the hash of a key", hash)
	}
	return updateEntry(ctx, store, hash, func(entry Entry, found bool) (Entry, error) {
		if !found {
			return entry, kinds.New(kinds.NotFound, "no key has the hash %s", hash)
		}
		entry.State = Withdrawn
		return entry, nil
	})
}

// updateEntry changes one entry by a conditional write. After a conflict it reads the shard again and retries.
func updateEntry(ctx context.Context, store Store, hash string, change func(Entry, bool) (Entry, error)) (Change, error) {
	writer, err := newWriterID()
	if err != nil {
		return Change{}, err
	}
	for range maxAttempts {
		object, shard, err := readShard(ctx, store, ShardOf(hash))
		if err != nil {
			return Change{}, err
		}
		old, found := shard.Keys[hash]
		entry, err := change(old, found)
		if err != nil {
			return Change{}, err
		}
		if found && entry == old {
			return Change{Hash: hash, Revision: object.Revision}, nil
		}
		shard.Revision++
		entry.Revision = shard.Revision
		shard.Keys[hash] = entry
		stored, err := writeShard(ctx, store, object, shard, writer)
		if kinds.KindOf(err) == kinds.Conflict {
			continue
		}
		return Change{Hash: hash, Revision: stored.Revision}, err
	}
	return Change{}, kinds.New(kinds.Conflict, "the keys changed concurrently in every attempt")
}

func newWriterID() (string, error) {
	random := make([]byte, writerIDBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "generating a writer ID")
	}
	return "keys/" + hex.EncodeToString(random), nil
}

func readShard(ctx context.Context, store Store, name string) (wire.Object, Shard, error) {
	shard := Shard{Keys: map[string]Entry{}}
	object, err := store.Get(ctx, name)
	if kinds.KindOf(err) == kinds.NotFound {
		return wire.Object{Name: name}, shard, nil
	}
	if err != nil {
		return object, shard, err
	}
	if err := json.Unmarshal(object.Value, &shard); err != nil {
		return object, shard, errors.Wrapf(err, "decoding %s", name)
	}
	if shard.Keys == nil {
		shard.Keys = map[string]Entry{}
	}
	return object, shard, nil
}

// writeShard stores a shard. If the answer is lost, it reads the object back: the object's writer shows whether this
// write was stored last. A different writer proves nothing, since its write may have replaced this one; it is reported
// as a conflict, so that the caller reads the entry again.
func writeShard(ctx context.Context, store Store, current wire.Object, shard Shard, writer string) (wire.Object, error) {
	value, err := json.Marshal(shard)
	if err != nil {
		return wire.Object{}, errors.Wrap(err, "encoding a shard")
	}
	stored, err := store.Put(ctx, wire.ObjectPut{Name: current.Name, Version: current.Version, Writer: writer, Value: value})
	if kinds.KindOf(err) != kinds.StoreUnavailable {
		return stored, err
	}
	reread, readErr := store.Get(ctx, current.Name)
	if readErr != nil {
		return wire.Object{}, err
	}
	if reread.Writer != writer {
		return wire.Object{}, kinds.New(kinds.Conflict, "%s was changed by another writer", current.Name)
	}
	return reread, nil
}
