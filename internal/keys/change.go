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
	keyBytes     = 32
	writerBytes  = 8
	conflictsMax = 8 // conditional writes that are tried before a change gives up
)

// Store is the part of the object API that a change of keys needs; objapi.Client has it.
type Store interface {
	Get(ctx context.Context, name string) (wire.Object, error)
	Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error)
}

// Change is a stored change of one key. Revision is the store's revision of the write: the change is accepted
// when a majority of the hosts shows a KeysRevision of at least that.
type Change struct {
	Hash     string
	Revision uint64
}

// Give makes a new key for an organisation and returns it, to be shown once; only its hash is stored.
// An error of kind StoreUnavailable says that the key may or may not be stored; it is then unusable by anyone.
func Give(ctx context.Context, store Store, organisation string) (string, Change, error) {
	random := make([]byte, keyBytes)
	if _, err := rand.Read(random); err != nil {
		return "", Change{}, errors.Wrap(err, "making a key")
	}
	key := base64.RawURLEncoding.EncodeToString(random)
	change, err := update(ctx, store, Hash(key), func(entry Entry, _ bool) (Entry, error) {
		entry.Organisation = organisation
		entry.State = Active
		return entry, nil
	})
	if err != nil {
		return "", Change{}, err
	}
	return key, change, nil
}

// Withdraw makes a key unusable for good. An unknown hash gives NotFound; a key withdrawn before gives the
// revision of its shard. After StoreUnavailable the caller may call Withdraw again.
func Withdraw(ctx context.Context, store Store, hash string) (Change, error) {
	if !validHash(hash) {
		return Change{}, kinds.New(kinds.NotFound, "%q is no key's hash", hash)
	}
	return update(ctx, store, hash, func(entry Entry, found bool) (Entry, error) {
		if !found {
			return entry, kinds.New(kinds.NotFound, "no key has the hash %s", hash)
		}
		entry.State = Withdrawn
		return entry, nil
	})
}

// update changes one entry by a conditional write, read again after each conflict.
func update(ctx context.Context, store Store, hash string, change func(Entry, bool) (Entry, error)) (Change, error) {
	writer, err := newWriter()
	if err != nil {
		return Change{}, err
	}
	for range conflictsMax {
		object, shard, err := read(ctx, store, ShardOf(hash))
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
		stored, err := write(ctx, store, object, shard, writer)
		if kinds.From(err) == kinds.Conflict {
			continue
		}
		return Change{Hash: hash, Revision: stored.Revision}, err
	}
	return Change{}, kinds.New(kinds.Conflict, "the keys change too often")
}

func newWriter() (string, error) {
	random := make([]byte, writerBytes)
	if _, err := rand.Read(random); err != nil {
		return "", errors.Wrap(err, "making a writer's id")
	}
	return "keys/" + hex.EncodeToString(random), nil
}

func read(ctx context.Context, store Store, name string) (wire.Object, Shard, error) {
	shard := Shard{Keys: map[string]Entry{}}
	object, err := store.Get(ctx, name)
	if kinds.From(err) == kinds.NotFound {
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

// write stores a shard; when the answer is lost, the object's writer tells whether it was stored. Another's writer
// tells nothing, since that write may have covered this one: it counts as a conflict, after which the entry is read
// again.
func write(ctx context.Context, store Store, read wire.Object, shard Shard, writer string) (wire.Object, error) {
	value, err := json.Marshal(shard)
	if err != nil {
		return wire.Object{}, errors.Wrap(err, "encoding a shard")
	}
	stored, err := store.Put(ctx, wire.ObjectPut{Name: read.Name, Version: read.Version, Writer: writer, Value: value})
	if kinds.From(err) != kinds.StoreUnavailable {
		return stored, err
	}
	again, readErr := store.Get(ctx, read.Name)
	if readErr != nil {
		return wire.Object{}, err
	}
	if again.Writer != writer {
		return wire.Object{}, kinds.New(kinds.Conflict, "%s was written by another", read.Name)
	}
	return again, nil
}
