// Package keys stores and looks up the organisations' API keys by their hash. A key itself is never stored.
package keys

import (
	"crypto/sha256"
	"encoding/hex"
)

// Prefix is the prefix of the objects that hold Shard values as JSON.
const Prefix = "Keys/"

// State is the state of a key.
type State string

// The states of a key.
const (
	Active    State = "Active"
	Withdrawn State = "Withdrawn"
)

// Entry is the record of one key.
type Entry struct {
	Organisation string
	State        State
	Revision     uint64
}

// Shard is the value of one object under Prefix. Keys is indexed by the hash of a key; Revision rises with each change.
type Shard struct {
	Revision uint64
	Keys     map[string]Entry
}

// Table holds all known keys. It must not be used concurrently.
type Table struct {
	Entries map[string]Entry
}

// Lookup returns the entry of the key with the given hash.
func (t *Table) Lookup(hash string) (Entry, bool) {
	e, ok := t.Entries[hash]
	return e, ok
}

// SetShard replaces the entries of the shard called name, as returned by ShardOf, by those of shard.
func (t *Table) SetShard(name string, shard Shard) {
	t.RemoveShard(name)
	if t.Entries == nil {
		t.Entries = map[string]Entry{}
	}
	for hash, e := range shard.Keys {
		if validHash(hash) && ShardOf(hash) == name {
			t.Entries[hash] = e
		}
	}
}

// RemoveShard removes the entries of the shard called name.
func (t *Table) RemoveShard(name string) {
	for hash := range t.Entries {
		if ShardOf(hash) == name {
			delete(t.Entries, hash)
		}
	}
}

func validHash(hash string) bool { return len(hash) == hex.EncodedLen(sha256.Size) }

// Hash returns the lower-case hex SHA-256 of a key. It may be called concurrently.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ShardOf returns the name of the object that holds the entry of a hash. It may be called concurrently.
func ShardOf(hash string) string {
	return Prefix + hash[:1]
}
