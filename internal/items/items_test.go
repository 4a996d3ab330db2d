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

// memoryStore is a store in memory that loses the writes and deletions, or their answers, that nextLoss selects.
type memoryStore struct {
	mu       sync.Mutex
	objects  map[string]wire.Object
	puts     []string
	reads    int         // number of Get and List calls
	nextLoss func() loss // called for each change; nil when nothing is lost
}

// loss says whether a change, which is a write or a deletion, or its answer is lost.
type loss int

const (
	lossNone    loss = iota
	lossAnswer       // the change is made, but the caller gets an error
	lossChange       // the change is not made, and the caller gets the same kind of error
	lossRefused      // the store says that the change is not made
)

func (m *memoryStore) drawLoss() loss {
	if m.nextLoss == nil {
		return lossNone
	}
	return m.nextLoss()
}

func (m *memoryStore) Get(_ context.Context, name string) (wire.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	o, ok := m.objects[name]
	if !ok {
		return o, kinds.New(kinds.NotFound, "%s", name)
	}
	return o, nil
}

func (m *memoryStore) Put(_ context.Context, put wire.ObjectPut) (wire.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.drawLoss()
	if lost == lossChange {
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "lost")
	}
	if lost == lossRefused {
		return wire.Object{}, kinds.New(kinds.StoreRefused, "busy")
	}
	if m.objects[put.Name].Version != put.Version {
		return wire.Object{}, kinds.New(kinds.Conflict, "%s", put.Name)
	}
	o := wire.Object{Name: put.Name, Version: put.Version + 1, Writer: put.Writer, Value: put.Value}
	m.objects[put.Name] = o
	m.puts = append(m.puts, put.Name)
	if lost == lossAnswer {
		return wire.Object{}, kinds.New(kinds.StoreUnavailable, "answer lost")
	}
	return o, nil
}

func (m *memoryStore) Delete(_ context.Context, name string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	lost := m.drawLoss()
	o, ok := m.objects[name]
	switch {
	case lost == lossChange:
		return kinds.New(kinds.StoreUnavailable, "lost")
	case !ok:
		return kinds.New(kinds.NotFound, "%s", name)
	case o.Version != version:
		return kinds.New(kinds.Conflict, "%s", name)
	}
	delete(m.objects, name)
	if lost == lossAnswer {
		return kinds.New(kinds.StoreUnavailable, "answer lost")
	}
	return nil
}

func (m *memoryStore) List(_ context.Context, prefix string) (wire.ObjectList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	var list wire.ObjectList
	for _, name := range m.names() {
		if strings.HasPrefix(name, prefix) {
			list.Objects = append(list.Objects, m.objects[name])
		}
	}
	return list, nil
}

// names returns the names of the objects, sorted.
func (m *memoryStore) names() []string { return slices.Sorted(maps.Keys(m.objects)) }

func (m *memoryStore) Watch(context.Context, string, uint64, time.Duration) (wire.ObjectList, error) {
	return wire.ObjectList{}, nil
}

func (m *memoryStore) Endpoints(context.Context) (wire.EndpointList, error) {
	return wire.EndpointList{}, nil
}

// fakePeers takes the place of the other hosts.
type fakePeers struct {
	mu       sync.Mutex      // protects ends and unheard
	running  map[string]bool // hosts that answer that they run the job
	jobEnded map[string]bool // hosts at which the job has ended
	ends     []string        // calls of NotifyEnded, as host/job
	unheard  int             // number of the next calls of NotifyEnded that are not confirmed
	copies   []jobCopy       // that were sent
	copyTo   *Executor       // applies them, nil for none
	loses    bool            // the answers to copies are lost
	submit   func() (event.JobAnswer, bool, error)
}

func (p *fakePeers) Page(_ context.Context, host, _ string, _ int, _ time.Duration) (wire.JobPage, bool) {
	return wire.JobPage{}, p.running[host]
}

func (p *fakePeers) Runs(_ context.Context, host, _ string) (runs, ended bool) {
	return p.running[host], p.jobEnded[host]
}

func (p *fakePeers) NotifyEnded(_ context.Context, host, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, host+"/"+id)
	p.unheard--
	return p.unheard < 0
}

func (p *fakePeers) Submit(context.Context, string, JobCall, []byte) (event.JobAnswer, bool, error) {
	return p.submit()
}

func (p *fakePeers) Copy(_ context.Context, _ string, updates []jobCopy) CopyOutcome {
	p.copies = append(p.copies, updates...)
	fits := p.copyTo == nil || p.copyTo.applyCopies(updates)
	switch {
	case p.loses:
		return CopyUnknown
	case !fits:
		return CopyUnfitting
	default:
		return CopyTaken
	}
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

func (m *memoryStore) seed(t *testing.T, name string, v any) {
	t.Helper()
	value, err := encode(v)
	if err != nil {
		t.Fatal(err)
	}
	m.objects[name] = wire.Object{Name: name, Version: 1, Value: value}
}

func newExecutor(t *testing.T) (*Executor, *memoryStore, *fakePeers) {
	t.Helper()
	store, peers := &memoryStore{objects: map[string]wire.Object{}}, &fakePeers{running: map[string]bool{}}
	start := time.Now()
	x := &Executor{
		Host: "h1", Incarnation: "1", Store: store, Peers: peers,
		Post: func(event.Event) bool { return true },
		Now:  func() time.Duration { return time.Since(start) },
	}
	x.Prepare()
	store.seed(t, wire.PrefixJobs+"j1", testJob())
	return x, store, peers
}

// TestTakeoverAsksTheOwner covers a large fleet, in which a host may learn of a job by a repeated submission although it
// is not connected to the job's owner. It must ask the owner before it takes the job over.
func TestTakeoverAsksTheOwner(t *testing.T) {
	cases := map[string]struct {
		known    bool // the host that takes the job over knows who the owner is
		alive    bool // the owner answers that it runs the job
		jobEnded bool // the owner answers that the job has ended
		kind     kinds.Kind
		puts     []string
		reads    int // calls to the store that read
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
			store.seed(t, chunkName("j1", 0), chunkOf(2, 0))
			peers.running["h2"], peers.jobEnded = c.alive, map[string]bool{"h2": c.jobEnded}
			take := event.TakeJob{Job: "j1"}
			if c.known {
				take.Host = "h2"
			}
			var done event.JobTaken
			if kind := x.tryTakeOver(context.Background(), take, &done); kind != c.kind {
				t.Fatalf("kind %q, want %q", kind, c.kind)
			}
			if diff := cmp.Diff([]any{c.jobEnded, c.reads}, []any{done.Ended, store.reads}); diff != "" {
				t.Errorf("ended and reads of the store (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.puts, store.puts); diff != "" {
				t.Errorf("writes (-want +got):\n%s", diff)
			}
			if c.kind == "" && !c.jobEnded {
				if diff := cmp.Diff([]int{2, 0}, done.Listed); diff != "" {
					t.Errorf("listed (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestSuspendedOwnerReadsTheStore covers a host that was suspended while another one took its job over and listed more
// results. It must not answer from memory that there is no result at a position that a reader has already seen at the
// other host.
func TestSuspendedOwnerReadsTheStore(t *testing.T) {
	x, store, _ := newExecutor(t)
	x.jobTable.add(testJob())
	x.jobTable.setOwned("j1", true)
	store.seed(t, chunkName("j1", 0), chunkOf(0))
	x.jobTable.appendChunk("j1", 0, chunkOf(0).Results, time.Now())
	store.seed(t, chunkName("j1", 1), chunkOf(3))
	x.jobTable.jobs["j1"].completeAt = time.Now().Add(-2 * defaultSettle)
	page, err := x.Page(context.Background(), "j1", 1, 0)
	if err != nil || len(page.Results) != 1 || page.Results[0].Item != 3 {
		t.Errorf("page = %+v, %v; want item 3", page, err)
	}
}

// TestEndReachesTheOwner covers a job that is ended at a host whose messages do not reach the job's owner.
func TestEndReachesTheOwner(t *testing.T) {
	x, _, peers := newExecutor(t)
	if kind := x.tryEndJob(context.Background(), "j1", &ending{}); kind != "" {
		t.Fatalf("kind %q", kind)
	}
	if diff := cmp.Diff([]string{"h2/j1"}, peers.ends); diff != "" {
		t.Errorf("hosts notified (-want +got):\n%s", diff)
	}
}

// TestCopiesFollowTheTexts covers an owner that dies while its items run. The copy at another host must continue each
// text where the last copy ended, also when the text of another item was restarted in between.
func TestCopiesFollowTheTexts(t *testing.T) {
	x, _, peers := newExecutor(t)
	x.jobTable.add(testJob())
	x.jobTable.setOwned("j1", true)
	x.setCopyHost(event.CopyJob{Job: "j1", To: "h3"})
	other, _, _ := newExecutor(t)
	own := x.jobTable.get("j1")
	send := func() {
		peers.copies = nil
		x.sendCopies(context.Background())
		other.applyCopies(peers.copies)
	}
	own.texts[0].add("1", []byte("a"), 4, "")
	own.texts[1].add("1", []byte("x"), 4, "")
	send()
	own.texts[0].add("2", []byte("b"), 5, "")
	own.texts[1].reset()
	own.texts[1].add("1", []byte("y"), 5, "")
	x.jobTable.appendChunk("j1", 0, chunkOf(2).Results, time.Now())
	send()
	copied := other.jobTable.get("j1")
	want := []event.ItemHeld{{Item: 0, Events: 2, Versions: []uint64{4, 5}}}
	if diff := cmp.Diff(want, copied.heldItems()[:1]); diff != "" {
		t.Errorf("held (-want +got):\n%s", diff)
	}
	if got := string(copied.texts[0].text.data); got != "a\nb" {
		t.Errorf("text of item 0 = %q", got)
	}
	if copied.chunks != 1 || copied.listed[0].Item != 2 {
		t.Errorf("list in the copy = %+v", copied.listed)
	}
}

// An owner's copies must become whole again after an answer to one was lost, after the receiver's process restarted, and
// after a text was begun anew between two copies. Otherwise the items of a lost owner begin again at what was held before.
func TestCopiesBecomeWholeAgain(t *testing.T) {
	cases := map[string]func(peers *fakePeers, text *itemText, send func(), restart func()){
		"no fault": func(_ *fakePeers, _ *itemText, send, _ func()) { send() },
		"lost answer": func(peers *fakePeers, _ *itemText, send, _ func()) {
			peers.loses = true
			send()
			peers.loses = false
		},
		"receiver restarts": func(_ *fakePeers, _ *itemText, send, restart func()) {
			send()
			restart()
		},
		"text begins anew and grows as long": func(_ *fakePeers, text *itemText, send, _ func()) {
			send()
			text.reset()
			text.add("1", []byte("w"), 5, "")
			text.add("2", []byte("x"), 5, "")
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			x, _, peers := newExecutor(t)
			x.jobTable.add(testJob())
			x.jobTable.setOwned("j1", true)
			x.setCopyHost(event.CopyJob{Job: "j1", To: "h3"})
			restart := func() { peers.copyTo, _, _ = newExecutor(t) }
			restart()
			send := func() { x.sendCopies(context.Background()) }
			text := x.jobTable.get("j1").texts[0]
			text.add("1", []byte("a"), 4, "")
			send()
			text.add("2", []byte("b"), 4, "")
			disturb(peers, text, send, restart)
			text.add("3", []byte("c"), 5, "")
			for range 3 {
				send()
			}
			copied := peers.copyTo.jobTable.get("j1")
			if copied == nil {
				t.Fatal("the receiver does not hold the job")
			}
			if diff := cmp.Diff(string(text.text.data), string(copied.texts[0].text.data)); diff != "" {
				t.Errorf("copied text (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReadEvents(t *testing.T) {
	cases := map[string]struct {
		lastID   string // id of the last event that was held before
		body     string
		itemText string
		versions []uint64
		fails    bool
	}{
		"whole":                 {"", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "a\nb", []uint64{3}, false},
		"first id is 0":         {"", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", "a\nb", []uint64{3}, false},
		"continues":             {"4", "id: 5\ndata: e\n\n", "e", []uint64{3}, false},
		"several lines":         {"", "id: 1\ndata: a\ndata: b\n\n", "a\nb", []uint64{3}, false},
		"version changes":       {"", "id: 1\ndata: a\n\nversions: 7\nid: 2\ndata: b\n\n", "a\nb", []uint64{3, 7}, false},
		"event is missing":      {"", "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", "a", []uint64{3}, true},
		"event comes twice":     {"", "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", "a", []uint64{3}, true},
		"cut in an event":       {"", "id: 1\ndata: a\n\nid: 2\ndata: b", "a", []uint64{3}, true},
		"cut after data":        {"", "id: 1\ndata: a\n\nid: 2\ndata: b\n", "a", []uint64{3}, true},
		"gap after held events": {"4", "id: 7\ndata: g\n\n", "", nil, true},
		"id is no number":       {"", "id: x\ndata: a\n\n", "", nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := &Executor{Names: HeaderNames{HeaderNames: call.HeaderNames{}, GeneratedVersion: "Versions"}}
			itemText := &itemText{lastID: c.lastID}
			err := x.readEvents(strings.NewReader(c.body), itemText, c.lastID, madeBy{weights: 3}, func() {})
			if (err != nil) != c.fails {
				t.Errorf("error %v, want one: %v", err, c.fails)
			}
			_, _, versions := itemText.state()
			if diff := cmp.Diff([]any{c.itemText, c.versions}, []any{string(itemText.text.data), versions}); diff != "" {
				t.Errorf("text and versions (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStoredPageIsReadByOneCall covers the time after all hosts have lost power, when every job is read from its start
// at hosts that have none of it in memory. All chunks of a job must be read by one call to the store.
func TestStoredPageIsReadByOneCall(t *testing.T) {
	const chunks = 12 // sorted by name, chunks 10 and 11 come before chunk 2
	cases := map[string]struct {
		missing int // number of a chunk that is not stored, -1 for none
		want    int // number of results
	}{
		"whole": {-1, chunks},
		"gap":   {5, 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x, store, _ := newExecutor(t)
			job := testJob()
			job.Items = make([]wire.JobItem, chunks)
			store.seed(t, wire.PrefixJobs+"j1", job)
			for n := range chunks {
				if n != c.missing {
					store.seed(t, chunkName("j1", n), chunkOf(n))
				}
			}
			store.seed(t, chunkName("j10", 0), chunkOf(0))
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
			if store.reads > 2 {
				t.Errorf("%d reads of the store, want one for the job and one for its chunks", store.reads)
			}
		})
	}
}

// TestChunkFitsIntoAnObject covers long texts: a chunk of all finished results would not fit into a stored object.
func TestChunkFitsIntoAnObject(t *testing.T) {
	x, store, _ := newExecutor(t)
	x.jobTable.add(testJob())
	for i, size := range []int{maxChunkBytes / 2, maxChunkBytes / 3, maxChunkBytes / 2, 2 * maxChunkBytes} {
		x.jobTable.get("j1").texts[i].add("1", make([]byte, size), 1, "")
	}
	var stored [][]int
	x.Post = func(ev event.Event) bool {
		stored = append(stored, ev.(event.ChunkStored).Items)
		return true
	}
	for number, items := range [][]int{{0, 1, 2, 3}, {2, 3}, {3}} {
		x.storeChunk(context.Background(), event.StoreChunk{Job: "j1", Number: number, Items: items, Down: make([]bool, len(items))})
	}
	if diff := cmp.Diff([][]int{{0, 1}, {2}, {3}}, stored); diff != "" {
		t.Errorf("items stored (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{chunkName("j1", 0), chunkName("j1", 1), chunkName("j1", 2)}, store.puts); diff != "" {
		t.Errorf("chunks (-want +got):\n%s", diff)
	}
}
