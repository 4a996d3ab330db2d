package keys_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// fakeStore keeps objects in memory. It can lose answers, report conflicts and let another writer overwrite an object.
type fakeStore struct {
	objects     map[string]wire.Object
	revision    uint64
	lostAnswers int
	conflicts   int
	overwrite   bool // another writer overwrites the object after a lost answer, before it is read back
}

// Get implements keys.Store.
func (s *fakeStore) Get(_ context.Context, name string) (wire.Object, error) {
	o, ok := s.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, "%s", name)
	}
	return o, nil
}

// Put implements keys.Store.
func (s *fakeStore) Put(_ context.Context, put wire.ObjectPut) (wire.Object, error) {
	if s.conflicts > 0 {
		s.conflicts--
		return wire.Object{}, kinds.New(kinds.Conflict, "%s", put.Name)
	}
	if put.Version != s.objects[put.Name].Version {
		return wire.Object{}, kinds.New(kinds.Conflict, "%s", put.Name)
	}
	s.revision++
	o := wire.Object{Name: put.Name, Version: put.Version + 1, Revision: s.revision, Writer: put.Writer, Value: put.Value}
	s.objects[put.Name] = o
	if s.lostAnswers > 0 {
		s.lostAnswers--
		if s.overwrite {
			s.revision++
			o.Version, o.Revision, o.Writer = o.Version+1, s.revision, "another"
			s.objects[put.Name] = o
		}
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "lost")
	}
	return o, nil
}

func TestCreateAndRevoke(t *testing.T) {
	cases := map[string]struct {
		store fakeStore
		kind  kinds.Kind
	}{
		"plain":           {},
		"answers lost":    {store: fakeStore{lostAnswers: 2}},
		"two conflicts":   {store: fakeStore{conflicts: 2}},
		"always conflict": {store: fakeStore{conflicts: 100}, kind: kinds.Conflict},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			store := &test.store
			store.objects = map[string]wire.Object{}
			ctx := context.Background()
			key, created, err := keys.Create(ctx, store, "North")
			if diff := cmp.Diff(test.kind, kinds.KindOf(err)); diff != "" {
				t.Fatalf("kind (-want +got):\n%s", diff)
			}
			if err != nil {
				return
			}
			withdrawn, err := keys.Revoke(ctx, store, keys.Hash(key))
			again, _ := keys.Revoke(ctx, store, keys.Hash(key))
			got := []any{err, created.Hash, created.Revision, withdrawn.Revision, again.Revision}
			if diff := cmp.Diff([]any{nil, keys.Hash(key), uint64(1), uint64(2), uint64(2)}, got); diff != "" {
				t.Errorf("error, hash and revisions (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWithdrawOverwrittenAfterLostAnswer(t *testing.T) {
	store := &fakeStore{objects: map[string]wire.Object{}}
	ctx := context.Background()
	key, _, err := keys.Create(ctx, store, "North")
	if err != nil {
		t.Fatal(err)
	}
	store.lostAnswers, store.overwrite = 1, true
	withdrawn, err := keys.Revoke(ctx, store, keys.Hash(key))
	if diff := cmp.Diff([]any{nil, uint64(3)}, []any{err, withdrawn.Revision}); diff != "" {
		t.Errorf("error and revision (-want +got):\n%s", diff)
	}
}

func TestWithdrawUnknown(t *testing.T) {
	store := &fakeStore{objects: map[string]wire.Object{}}
	for _, hash := range []string{"", "x", keys.Hash("never given")} {
		_, err := keys.Revoke(context.Background(), store, hash)
		if diff := cmp.Diff(kinds.NotFound, kinds.KindOf(err)); diff != "" {
			t.Errorf("hash %q (-want +got):\n%s", hash, diff)
		}
	}
}

func ExampleTable_SetShard() {
	hash := keys.Hash("secret")
	table := &keys.Table{}
	table.SetShard(keys.ShardOf(hash), keys.Shard{Keys: map[string]keys.Entry{hash: {Organisation: "North", State: keys.Active}}})
	entry, ok := table.Lookup(hash)
	fmt.Println(entry.Organisation, entry.State, ok)
	// Output: North Active true
}
