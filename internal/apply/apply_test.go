package apply_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/apply"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// fakeStore is an object store in memory that can lose puts and the answers to puts.
type fakeStore struct {
	mu           sync.Mutex
	objects      map[string]wire.Object
	lostPuts     int // number of puts that will be lost before they take effect
	lostAnswers  int // number of puts whose answers will be lost
	puts         int
	onLostAnswer func() // called once, when an answer is lost
}

func (s *fakeStore) Get(_ context.Context, name string) (wire.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, "%s", name)
	}
	return o, nil
}

func (s *fakeStore) List(context.Context, string) (wire.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list wire.ObjectList
	for _, o := range s.objects {
		list.Objects = append(list.Objects, o)
	}
	return list, nil
}

func (s *fakeStore) Put(_ context.Context, put wire.ObjectPut) (wire.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.lostPuts > 0 {
		s.lostPuts--
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "lost")
	}
	o := s.objects[put.Name]
	if o.Version != put.Version {
		return wire.Object{}, kinds.New(kinds.Conflict, "%s", put.Name)
	}
	o = wire.Object{Name: put.Name, Version: put.Version + 1, Writer: put.Writer, Value: put.Value}
	if s.objects == nil {
		s.objects = map[string]wire.Object{}
	}
	s.objects[put.Name] = o
	if s.lostAnswers > 0 {
		s.lostAnswers--
		if s.onLostAnswer != nil {
			s.onLostAnswer()
			s.onLostAnswer = nil
		}
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "lost")
	}
	return o, nil
}

func TestWriteSettlesLostAnswers(t *testing.T) {
	cases := map[string]struct {
		storedVersion uint64 // stored before; 0 if none
		putVersion    uint64 // condition of the write
		lostPuts      int
		lostAnswers   int
		otherWrites   uint64 // other writers' writes after the lost answer
		wantKind      kinds.Kind
		wantVersion   uint64 // stored after
		wantPuts      int
	}{
		"plain":                      {wantVersion: 1, wantPuts: 1},
		"outdated version":           {storedVersion: 3, putVersion: 2, wantKind: kinds.Conflict, wantVersion: 3, wantPuts: 1},
		"put lost":                   {storedVersion: 3, putVersion: 3, lostPuts: 2, wantVersion: 4, wantPuts: 3},
		"answer lost":                {storedVersion: 3, putVersion: 3, lostAnswers: 1, wantVersion: 4, wantPuts: 1},
		"create, answer lost":        {lostAnswers: 1, wantVersion: 1, wantPuts: 1},
		"overwritten":                {storedVersion: 3, putVersion: 3, lostAnswers: 1, otherWrites: 1, wantKind: kinds.OutcomeUnknown, wantVersion: 5, wantPuts: 1},
		"put lost, other write":      {storedVersion: 4, putVersion: 3, lostPuts: 1, wantKind: kinds.Conflict, wantVersion: 4, wantPuts: 1},
		"put lost, two other writes": {storedVersion: 5, putVersion: 3, lostPuts: 1, wantKind: kinds.OutcomeUnknown, wantVersion: 5, wantPuts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{objects: map[string]wire.Object{}, lostPuts: c.lostPuts, lostAnswers: c.lostAnswers}
			if c.storedVersion > 0 {
				s.objects["a"] = wire.Object{Name: "a", Version: c.storedVersion, Writer: "other"}
			}
			s.onLostAnswer = func() {
				o := s.objects["a"]
				if c.otherWrites > 0 {
					s.objects["a"] = wire.Object{Name: "a", Version: o.Version + c.otherWrites, Writer: "other"}
				}
			}
			_, err := apply.Write(context.Background(), s, wire.ObjectPut{Name: "a", Version: c.putVersion, Writer: "mine"})
			got := []any{kinds.KindOf(err), s.objects["a"].Version, s.puts}
			if diff := cmp.Diff([]any{c.wantKind, c.wantVersion, c.wantPuts}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTwoOperatorsLoseNothing(t *testing.T) {
	s := &fakeStore{}
	const operators = 8
	results := make([]error, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			site := config.Defaults()
			site.Organisations["o"] = config.Organisation{Name: "o", Weight: i + 1}
			_, results[i] = apply.WriteSite(context.Background(), s, *site, 0, apply.NewWriterName())
		}()
	}
	wait.Wait()
	won := -1
	for i, err := range results {
		switch {
		case err == nil && won < 0:
			won = i
		case kinds.KindOf(err) != kinds.Conflict:
			t.Errorf("operator %d: %v, want one winner and kind Conflict for the others", i, err)
		}
	}
	site, _, err := apply.ReadSite(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	if site.Revision != 1 || site.Organisations["o"].Weight != won+1 {
		t.Errorf("stored revision %d by operator %d, want revision 1 by operator %d", site.Revision, site.Organisations["o"].Weight-1, won)
	}
}

func TestWriteSiteNeedsTheRevisionRead(t *testing.T) {
	s := &fakeStore{}
	site := *config.Defaults()
	for i, c := range []struct {
		base uint64
		kind kinds.Kind
	}{{0, ""}, {0, kinds.Conflict}, {1, ""}, {1, kinds.Conflict}, {7, kinds.Conflict}, {2, ""}} {
		if _, err := apply.WriteSite(context.Background(), s, site, c.base, apply.NewWriterName()); kinds.KindOf(err) != c.kind {
			t.Errorf("step %d: %v, want kind %q", i, err, c.kind)
		}
	}
	var stored config.Site
	if err := json.Unmarshal(s.objects[apply.SiteObjectName].Value, &stored); err != nil || stored.Revision != 3 {
		t.Errorf("revision %d, %v, want 3", stored.Revision, err)
	}
	site.Lease.Margin = time.Hour
	if _, err := apply.WriteSite(context.Background(), s, site, 3, apply.NewWriterName()); kinds.KindOf(err) != kinds.ConfigInvalid {
		t.Errorf("invalid site: %v, want kind ConfigInvalid", err)
	}
}

func TestWaitNeedsAMajority(t *testing.T) {
	s := &fakeStore{objects: map[string]wire.Object{"Hosts/new": {Name: "Hosts/new", Value: []byte(`{"Name": "new"}`)}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		value := fmt.Sprintf(`{"Name": %q, "Admitted": true}`, name)
		s.objects[apply.HostsPrefix+name] = wire.Object{Name: apply.HostsPrefix + name, Value: []byte(value)}
	}
	cases := map[string]struct {
		reports []wire.Status
		kind    kinds.Kind
		missing []string
	}{
		"none":     {kind: kinds.NotReady, missing: []string{"a", "b", "c", "d"}},
		"half":     {reports: []wire.Status{{Host: "a", ConfigRevision: 5}, {Host: "b", ConfigRevision: 5}}, kind: kinds.NotReady, missing: []string{"c", "d"}},
		"majority": {reports: []wire.Status{{Host: "a", ConfigRevision: 5, Hosts: []wire.HostStatus{{Host: "b", ConfigRevision: 6}, {Host: "c", ConfigRevision: 5}, {Host: "d", ConfigRevision: 4}}}}, missing: []string{"d"}},
		"unknown hosts do not count": {
			reports: []wire.Status{{Host: "a", ConfigRevision: 5}, {Host: "x", ConfigRevision: 5}, {Host: "y", ConfigRevision: 5}},
			kind:    kinds.NotReady, missing: []string{"b", "c", "d"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			a, err := apply.WaitForMajority(ctx, s, func(context.Context) []wire.Status { return c.reports }, apply.ConfigRevision, 5)
			if kinds.KindOf(err) != c.kind {
				t.Errorf("WaitForMajority() = %v, want kind %q", err, c.kind)
			}
			if diff := cmp.Diff(c.missing, a.Missing); diff != "" {
				t.Error(diff)
			}
		})
	}
}
