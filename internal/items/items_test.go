package items

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/call"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// memory is a store in this process. It fails the writes and deletions that its hooks refuse.
type memory struct {
	mu      sync.Mutex
	objects map[string]wire.Object
	puts    []string
	lose    func() lost // outcome of each change, nil for none lost
}

// lost says what becomes of a change and its answer.
type lost int

const (
	nothing lost = iota
	answer       // the change is made
	change       // it is not, and the caller can't tell
)

func (m *memory) loses() lost {
	if m.lose == nil {
		return nothing
	}
	return m.lose()
}

func (m *memory) Get(_ context.Context, name string) (wire.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, "%s", name)
	}
	return o, nil
}

func (m *memory) Put(_ context.Context, put wire.ObjectPut) (wire.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	fate := m.loses()
	if fate == change {
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "lost")
	}
	if m.objects[put.Name].Version != put.Version {
		return wire.Object{}, kinds.New(kinds.Conflict, "%s", put.Name)
	}
	o := wire.Object{Name: put.Name, Version: put.Version + 1, Writer: put.Writer, Value: put.Value}
	m.objects[put.Name] = o
	m.puts = append(m.puts, put.Name)
	if fate == answer {
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "answer lost")
	}
	return o, nil
}

func (m *memory) Delete(_ context.Context, name string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	fate := m.loses()
	o, ok := m.objects[name]
	switch {
	case fate == change:
		return kinds.New(kinds.StoreUnavailable, "lost")
	case !ok:
		return kinds.New(kinds.NotFound, "%s", name)
	case o.Version != version:
		return kinds.New(kinds.Conflict, "%s", name)
	}
	delete(m.objects, name)
	if fate == answer {
		return kinds.New(kinds.StoreUnavailable, "answer lost")
	}
	return nil
}

func (m *memory) List(_ context.Context, prefix string) (wire.ObjectList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all wire.ObjectList
	for _, name := range m.names() {
		if strings.HasPrefix(name, prefix) {
			all.Objects = append(all.Objects, m.objects[name])
		}
	}
	return all, nil
}

// names returns the names of the objects, sorted.
func (m *memory) names() []string { return slices.Sorted(maps.Keys(m.objects)) }

func (m *memory) Watch(context.Context, string, uint64, time.Duration) (wire.ObjectList, error) {
	return wire.ObjectList{}, nil
}

func (m *memory) Endpoints(context.Context) (wire.EndpointList, error) {
	return wire.EndpointList{}, nil
}

// owners are the other hosts, of which some answer for a job.
type owners struct {
	answers map[string]bool // by host
	ended   []string
	copies  []jobCopy
}

func (o *owners) Page(_ context.Context, host, _ string, _ int, _ time.Duration) (wire.JobPage, bool) {
	return wire.JobPage{}, o.answers[host]
}

func (o *owners) Ended(_ context.Context, host, job string) { o.ended = append(o.ended, host+"/"+job) }

func (o *owners) Copy(_ context.Context, _ string, all []jobCopy) bool {
	o.copies = append(o.copies, all...)
	return true
}

func testJob() wire.Job {
	job := wire.Job{ID: "j1", Organisation: "North", Host: "h2", Incarnation: "1", Submitted: time.Now().UnixMilli(), GiveUpMS: 40_000}
	for _, id := range []string{"i0", "i1", "i2", "i3"} {
		job.Items = append(job.Items, wire.JobItem{ID: id, Body: []byte("body of " + id)})
	}
	return job
}

func chunkOf(items ...int) wire.JobChunk {
	var c wire.JobChunk
	for _, i := range items {
		c.Results = append(c.Results, wire.JobResult{Item: i, Text: "text"})
	}
	return c
}

func (m *memory) keep(t *testing.T, name string, v any) {
	t.Helper()
	value, err := encode(v)
	if err != nil {
		t.Fatal(err)
	}
	m.objects[name] = wire.Object{Name: name, Version: 1, Value: value}
}

func newExecutor(t *testing.T) (*Executor, *memory, *owners) {
	t.Helper()
	store, peers := &memory{objects: map[string]wire.Object{}}, &owners{answers: map[string]bool{}}
	start := time.Now()
	x := &Executor{
		Host: "h1", Incarnation: "1", Store: store, Peers: peers,
		Post: func(event.Event) bool { return true },
		Now:  func() time.Duration { return time.Since(start) },
	}
	x.Prepare()
	store.keep(t, wire.PrefixJobs+"j1", testJob())
	return x, store, peers
}

// Answers the pattern: in a large fleet a host that hears of a job by a repeated submission does not hear its owner.
func TestTakeoverAsksTheOwner(t *testing.T) {
	cases := map[string]struct {
		alive bool
		kind  kinds.Kind
		puts  []string
	}{
		"owner answers": {true, kinds.Conflict, nil},
		"owner is gone": {false, "", []string{wire.PrefixOwners + "j1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, peers := newExecutor(t)
			store.keep(t, chunkName("j1", 0), chunkOf(2, 0))
			peers.answers["h2"] = c.alive
			var done event.JobTaken
			if kind := x.tryTake(context.Background(), event.TakeJob{Job: "j1"}, &done); kind != c.kind {
				t.Fatalf("kind %q, want %q", kind, c.kind)
			}
			if diff := cmp.Diff(c.puts, store.puts); diff != "" {
				t.Errorf("writes (-want +got):\n%s", diff)
			}
			if c.kind == "" {
				if diff := cmp.Diff([]int{2, 0}, done.Listed); diff != "" {
					t.Errorf("listed (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// Answers the pattern: a host was frozen while another took its job over and listed more. It must not answer from its
// memory that there is nothing at a position that was read elsewhere.
func TestFrozenOwnerReadsTheStore(t *testing.T) {
	x, store, _ := newExecutor(t)
	x.keeper.add(testJob())
	x.keeper.setOwned("j1", true)
	store.keep(t, chunkName("j1", 0), chunkOf(0))
	x.keeper.extend("j1", 0, chunkOf(0).Results)
	store.keep(t, chunkName("j1", 1), chunkOf(3))
	x.keeper.jobs["j1"].sureAt = time.Now().Add(-2 * sureFor)
	page, err := x.Page(context.Background(), "j1", 1, 0)
	if err != nil || len(page.Results) != 1 || page.Results[0].Item != 3 {
		t.Errorf("page = %+v, %v; want item 3", page, err)
	}
}

// Answers the pattern: a job is ended at a host that its owner does not hear.
func TestEndReachesTheOwner(t *testing.T) {
	x, _, peers := newExecutor(t)
	if kind := x.tryEnd(context.Background(), "j1"); kind != "" {
		t.Fatalf("kind %q", kind)
	}
	if diff := cmp.Diff([]string{"h2/j1"}, peers.ended); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}

// Answers the pattern: an owner dies in the middle of long texts. The copies go on from where they were, also when a
// text began anew in between.
func TestCopiesFollowTheTexts(t *testing.T) {
	x, _, peers := newExecutor(t)
	x.keeper.add(testJob())
	x.keeper.setOwned("j1", true)
	x.copyJob(event.CopyJob{Job: "j1", To: "h3"})
	other, _, _ := newExecutor(t)
	own := x.keeper.get("j1")
	send := func() {
		peers.copies = nil
		x.sendCopies(context.Background())
		other.takeCopies(peers.copies)
	}
	own.texts[0].add("1", []byte("a"), 4)
	own.texts[1].add("1", []byte("x"), 4)
	send()
	own.texts[0].add("2", []byte("b"), 5)
	own.texts[1].reset()
	own.texts[1].add("1", []byte("y"), 5)
	x.keeper.extend("j1", 0, chunkOf(2).Results)
	send()
	copied := other.keeper.get("j1")
	want := []event.ItemHeld{{Item: 0, Events: 2, Versions: []uint64{4, 5}}}
	if diff := cmp.Diff(want, copied.held()[:1]); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	if got := string(copied.texts[0].data); got != "a\nb" {
		t.Errorf("text of item 0 = %q", got)
	}
	if copied.chunks != 1 || copied.listed[0].Item != 2 {
		t.Errorf("copied list = %+v", copied.listed)
	}
}

func TestStreams(t *testing.T) {
	cases := map[string]struct {
		last     string // id of the last event held before
		body     string
		text     string
		versions []uint64
		fails    bool
	}{
		"whole":             {"", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb", []uint64{3}, false},
		"from zero":         {"", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", "a\nb", []uint64{3}, false},
		"goes on":           {"4", "id: 5\ndata: e\n\n", "e", []uint64{3}, false},
		"several lines":     {"", "id: 1\ndata: a\ndata: b\n\n", "a\nb", []uint64{3}, false},
		"version changes":   {"", "id: 1\ndata: a\n\nversions: 7\nid: 2\ndata: b\n\n", "a\nb", []uint64{3, 7}, false},
		"event is missing":  {"", "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", "a", []uint64{3}, true},
		"event comes twice": {"", "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", "a", []uint64{3}, true},
		"cut in an event":   {"", "id: 1\ndata: a\n\nid: 2\ndata: b", "a", []uint64{3}, true},
		"cut behind data":   {"", "id: 1\ndata: a\n\nid: 2\ndata: b\n", "a", []uint64{3}, true},
		"not where it was":  {"4", "id: 7\ndata: g\n\n", "", nil, true},
		"no number":         {"", "id: x\ndata: a\n\n", "", nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := &Executor{Names: Names{Names: call.Names{}, Made: "Versions"}}
			text := &text{}
			err := x.stream(strings.NewReader(c.body), text, c.last, 3, func() {})
			if (err != nil) != c.fails {
				t.Errorf("error %v, want one: %v", err, c.fails)
			}
			_, _, versions := text.state()
			if diff := cmp.Diff([]any{c.text, c.versions}, []any{string(text.data), versions}); diff != "" {
				t.Errorf("text and versions (-want +got):\n%s", diff)
			}
		})
	}
}
