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
	gets    int
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
	m.gets++
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
	m.gets++
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
	over    map[string]bool // hosts at which the job has ended
	ended   []string
	copies  []jobCopy
	taken   func() (event.JobAnswer, bool, error) // what comes of a submission
}

func (o *owners) Page(_ context.Context, host, _ string, _ int, _ time.Duration) (wire.JobPage, bool) {
	return wire.JobPage{}, o.answers[host]
}

func (o *owners) Runs(_ context.Context, host, _ string) (runs, ended bool) {
	return o.answers[host], o.over[host]
}

func (o *owners) Ended(_ context.Context, host, job string) { o.ended = append(o.ended, host+"/"+job) }

func (o *owners) Submit(context.Context, string, Call, []byte) (event.JobAnswer, bool, error) {
	return o.taken()
}

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
		known bool // the host that asks knows who the owner is
		alive bool
		over  bool
		kind  kinds.Kind
		puts  []string
		gets  int // calls to the store that read
	}{
		"owner answers":       {false, true, false, kinds.Conflict, nil, 2},
		"owner is gone":       {false, false, false, "", []string{wire.PrefixOwners + "j1"}, 4},
		"known owner answers": {true, true, false, kinds.Conflict, nil, 0},
		"known owner is gone": {true, false, false, "", []string{wire.PrefixOwners + "j1"}, 4},
		"job has ended there": {true, true, true, "", nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, peers := newExecutor(t)
			store.keep(t, chunkName("j1", 0), chunkOf(2, 0))
			peers.answers["h2"], peers.over = c.alive, map[string]bool{"h2": c.over}
			take := event.TakeJob{Job: "j1"}
			if c.known {
				take.Host = "h2"
			}
			var done event.JobTaken
			if kind := x.tryTake(context.Background(), take, &done); kind != c.kind {
				t.Fatalf("kind %q, want %q", kind, c.kind)
			}
			if diff := cmp.Diff([]any{c.over, c.gets}, []any{done.Ended, store.gets}); diff != "" {
				t.Errorf("ended and reads of the store (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.puts, store.puts); diff != "" {
				t.Errorf("writes (-want +got):\n%s", diff)
			}
			if c.kind == "" && !c.over {
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

// Answers the pattern: all hosts lose power, and every job is read from its start at hosts that have not read it before.
func TestStoredPageIsReadByOneCall(t *testing.T) {
	const chunks = 12 // the names of ten and more come before those of two
	cases := map[string]struct {
		missing int // number of a chunk that the list lacks, -1 for none
		want    int // results
	}{
		"whole": {-1, chunks},
		"gap":   {5, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, _ := newExecutor(t)
			job := testJob()
			job.Items = make([]wire.JobItem, chunks)
			store.keep(t, wire.PrefixJobs+"j1", job)
			for n := range chunks {
				if n != c.missing {
					store.keep(t, chunkName("j1", n), chunkOf(n))
				}
			}
			store.keep(t, chunkName("j10", 0), chunkOf(0))
			page, err := x.storedPage(context.Background(), "j1", 0, 0)
			if err != nil {
				t.Fatal(err)
			}
			var got []int
			for _, r := range page.Results {
				got = append(got, r.Item)
			}
			want := []int{}
			for n := range c.want {
				want = append(want, n)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
			if store.gets > 2 {
				t.Errorf("%d calls, want the job and its chunks", store.gets)
			}
		})
	}
}

// Answers the pattern: texts are long, and a chunk of all finished results would not fit into an object.
func TestChunkFitsIntoAnObject(t *testing.T) {
	x, store, _ := newExecutor(t)
	x.keeper.add(testJob())
	for i, size := range []int{chunkBytes / 2, chunkBytes / 3, chunkBytes / 2, 2 * chunkBytes} {
		x.keeper.get("j1").texts[i].add("1", make([]byte, size), 1)
	}
	var got [][]int
	x.Post = func(ev event.Event) bool {
		got = append(got, ev.(event.ChunkStored).Items)
		return true
	}
	for number, items := range [][]int{{0, 1, 2, 3}, {2, 3}, {3}} {
		x.storeChunk(context.Background(), event.StoreChunk{Job: "j1", Number: number, Items: items, Down: make([]bool, len(items))})
	}
	if diff := cmp.Diff([][]int{{0, 1}, {2}, {3}}, got); diff != "" {
		t.Errorf("items stored (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{chunkName("j1", 0), chunkName("j1", 1), chunkName("j1", 2)}, store.puts); diff != "" {
		t.Errorf("chunks (-want +got):\n%s", diff)
	}
}
