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

// store is a small object store whose next answers can be lost.
type store struct {
	mu         sync.Mutex
	objects    map[string]wire.Object
	loseBefore int // writes that are lost on the way
	loseAfter  int // writes whose answer is lost
	puts       int
	between    func() // called once behind a lost answer
}

func (s *store) Get(_ context.Context, name string) (wire.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, "%s", name)
	}
	return o, nil
}

func (s *store) List(context.Context, string) (wire.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list wire.ObjectList
	for _, o := range s.objects {
		list.Objects = append(list.Objects, o)
	}
	return list, nil
}

func (s *store) Put(_ context.Context, put wire.ObjectPut) (wire.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.loseBefore > 0 {
		s.loseBefore--
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
	if s.loseAfter > 0 {
		s.loseAfter--
		if s.between != nil {
			s.between()
			s.between = nil
		}
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "lost")
	}
	return o, nil
}

func TestWriteSettlesLostAnswers(t *testing.T) {
	cases := map[string]struct {
		version    uint64 // stored before
		read       uint64 // that the writer has read
		loseBefore int
		loseAfter  int
		others     uint64 // writes of others behind the lost answer
		kind       kinds.Kind
		version2   uint64 // stored after
		puts       int
	}{
		"plain":                {version2: 1, puts: 1},
		"old version":          {version: 3, read: 2, kind: kinds.Conflict, version2: 3, puts: 1},
		"lost on the way":      {version: 3, read: 3, loseBefore: 2, version2: 4, puts: 3},
		"answer lost":          {version: 3, read: 3, loseAfter: 1, version2: 4, puts: 1},
		"create, answer lost":  {loseAfter: 1, version2: 1, puts: 1},
		"covered":              {version: 3, read: 3, loseAfter: 1, others: 1, kind: kinds.OutcomeUnknown, version2: 5, puts: 1},
		"other while unsent":   {version: 4, read: 3, loseBefore: 1, kind: kinds.Conflict, version2: 4, puts: 1},
		"two others meanwhile": {version: 5, read: 3, loseBefore: 1, kind: kinds.OutcomeUnknown, version2: 5, puts: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &store{objects: map[string]wire.Object{}, loseBefore: c.loseBefore, loseAfter: c.loseAfter}
			if c.version > 0 {
				s.objects["a"] = wire.Object{Name: "a", Version: c.version, Writer: "other"}
			}
			s.between = func() {
				o := s.objects["a"]
				if c.others > 0 {
					s.objects["a"] = wire.Object{Name: "a", Version: o.Version + c.others, Writer: "other"}
				}
			}
			_, err := apply.Write(context.Background(), s, wire.ObjectPut{Name: "a", Version: c.read, Writer: "mine"})
			got := []any{kinds.From(err), s.objects["a"].Version, s.puts}
			if diff := cmp.Diff([]any{c.kind, c.version2, c.puts}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestTwoOperatorsLoseNothing(t *testing.T) {
	s := &store{}
	const operators = 8
	results := make([]error, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			site := config.Defaults()
			site.Organisations["o"] = config.Organisation{Name: "o", Weight: i + 1}
			_, results[i] = apply.WriteSite(context.Background(), s, *site, 0, apply.NewWriter())
		}()
	}
	wait.Wait()
	won := -1
	for i, err := range results {
		switch {
		case err == nil && won < 0:
			won = i
		case kinds.From(err) != kinds.Conflict:
			t.Errorf("operator %d: %v, want one winner and kind Conflict for the others", i, err)
		}
	}
	site, _, err := apply.ReadSite(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	if site.Revision != 1 || site.Organisations["o"].Weight != won+1 {
		t.Errorf("stored revision %d of operator %d, want 1 of %d", site.Revision, site.Organisations["o"].Weight-1, won)
	}
}

func TestWriteSiteNeedsTheRevisionRead(t *testing.T) {
	s := &store{}
	site := *config.Defaults()
	for i, c := range []struct {
		after uint64
		kind  kinds.Kind
	}{{0, ""}, {0, kinds.Conflict}, {1, ""}, {1, kinds.Conflict}, {7, kinds.Conflict}, {2, ""}} {
		if _, err := apply.WriteSite(context.Background(), s, site, c.after, apply.NewWriter()); kinds.From(err) != c.kind {
			t.Errorf("step %d: %v, want kind %q", i, err, c.kind)
		}
	}
	var stored config.Site
	if err := json.Unmarshal(s.objects[apply.SiteObject].Value, &stored); err != nil || stored.Revision != 3 {
		t.Errorf("revision %d, %v, want 3", stored.Revision, err)
	}
	site.Lease.Margin = time.Hour
	if _, err := apply.WriteSite(context.Background(), s, site, 3, apply.NewWriter()); kinds.From(err) != kinds.ConfigInvalid {
		t.Errorf("invalid site: %v", err)
	}
}

func TestWaitNeedsAMajority(t *testing.T) {
	s := &store{objects: map[string]wire.Object{"Hosts/new": {Name: "Hosts/new", Value: []byte(`{"Name": "new"}`)}}}
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
			a, err := apply.Wait(ctx, s, func(context.Context) []wire.Status { return c.reports }, apply.ConfigRevision, 5)
			if kinds.From(err) != c.kind {
				t.Errorf("Wait() = %v, want kind %q", err, c.kind)
			}
			if diff := cmp.Diff(c.missing, a.Missing); diff != "" {
				t.Error(diff)
			}
		})
	}
}
