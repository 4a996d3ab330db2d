package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// Hashes of two valid keys and of an unknown one.
var (
	northKey   = "a1" + strings.Repeat("0", 62)
	southKey   = "a2" + strings.Repeat("0", 62)
	unknownKey = "a3" + strings.Repeat("0", 62)
)

const bootSteps = 40

// fakeStore is an in-memory object API and endpoint list that answers the reducer's effects.
type fakeStore struct {
	objects   map[string]wire.Object
	revision  uint64
	endpoints []wire.Endpoint
}

func newFakeStore(site *config.Site) *fakeStore {
	s := &fakeStore{objects: map[string]wire.Object{}}
	s.write("Config/Site", site)
	s.write("Keys/a", keyShard(keys.Active))
	return s
}

// keyShard returns the shard with the test keys; north is the state of North's key.
func keyShard(north keys.State) keys.Shard {
	return keys.Shard{Revision: 1, Keys: map[string]keys.Entry{
		northKey: {Organisation: "North", State: north, Revision: 1},
		southKey: {Organisation: "South", State: keys.Active, Revision: 1},
	}}
}

func (s *fakeStore) write(name string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.revision++
	s.objects[name] = wire.Object{Name: name, Version: s.objects[name].Version + 1, Revision: s.revision, Value: text}
}

// put writes conditionally and reports whether the write took effect. It returns the object as stored afterwards.
func (s *fakeStore) put(e event.PutObject) (wire.Object, bool) {
	old := s.read(e.Name)
	if old.Version != e.Version {
		return old, false
	}
	s.revision++
	now := wire.Object{Name: e.Name, Version: e.Version + 1, Revision: s.revision, Writer: e.Writer, Value: e.Value}
	s.objects[e.Name] = now
	return now, true
}

func (s *fakeStore) read(name string) wire.Object {
	if o, ok := s.objects[name]; ok {
		return o
	}
	return wire.Object{Name: name}
}

func (s *fakeStore) list(prefix string, after uint64) wire.ObjectList {
	l := wire.ObjectList{Revision: s.revision}
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) && o.Revision > after {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b wire.Object) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// answer returns the event that ends a call. kind is "" for success; lost drops the effect of a write.
func (s *fakeStore) answer(now time.Duration, call event.Effect, kind kinds.Kind, lost bool) event.Event {
	switch e := call.(type) {
	case event.GetObject:
		o := s.read(e.Name)
		if kind == "" && o.Version == 0 {
			kind = kinds.NotFound
		}
		return event.ObjectDone{Call: e.Call, Object: o, Kind: kind, SentAt: now}
	case event.PutObject:
		return s.answerPut(now, e, kind, lost)
	case event.ListObjects:
		return event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kind, SentAt: now, List: s.list(e.Prefix, 0)}
	case event.WatchObjects:
		return event.ObjectsDone{Call: e.Call, Prefix: e.Prefix, Kind: kind, SentAt: now, List: s.list(e.Prefix, e.After)}
	case event.ListEndpoints:
		list := wire.EndpointList{Revision: s.revision, Endpoints: slices.Clone(s.endpoints)}
		return event.EndpointsDone{Call: e.Call, Kind: kind, SentAt: now, List: list}
	}
	return nil
}

func (s *fakeStore) answerPut(now time.Duration, e event.PutObject, kind kinds.Kind, lost bool) event.Event {
	if lost {
		return event.ObjectDone{Call: e.Call, Object: s.read(e.Name), Kind: kind, SentAt: now}
	}
	o, ok := s.put(e)
	if !ok && kind == "" {
		kind = kinds.Conflict
	}
	return event.ObjectDone{Call: e.Call, Object: o, Kind: kind, SentAt: now}
}

// bootDaemon steps a daemon against a store that answers every call, and returns the time afterwards and whether the
// daemon is ready.
func bootDaemon(s *fakeStore, now time.Duration, step func(now time.Duration, ev event.Event) []event.Effect) (time.Duration, bool) {
	ready := false
	for range bootSteps {
		now += tickInterval
		calls := step(now, event.Tick{})
		for len(calls) > 0 {
			effect := calls[0]
			calls = calls[1:]
			if e, ok := effect.(event.Ready); ok {
				ready = e.Ready
			}
			if ev := s.answer(now, effect, "", false); ev != nil {
				calls = append(calls, step(now, ev)...)
			}
		}
	}
	return now, ready
}

// daemonFactory returns a function that composes a daemon without running it.
func daemonFactory(t testing.TB) func(fail func(...any)) *daemon {
	folder := t.TempDir()
	secret := filepath.Join(folder, "secret")
	if err := os.WriteFile(secret, []byte("a secret of thirty-two characters"), 0o600); err != nil {
		t.Fatal(err)
	}
	process := config.Process{
		Host: "h1", Zone: "a", Listen: "127.0.0.1:0", Operators: "127.0.0.1:0", Peer: "127.0.0.1:0",
		Platform: "http://127.0.0.1:0", PeerSecretFile: secret, CredentialFile: secret, LogLevel: "error",
	}
	return func(fail func(...any)) *daemon {
		d, err := newDaemon(process, identity{incarnation: "i", seed: 1}, io.Discard)
		if err != nil {
			fail(err)
		}
		return d
	}
}
