package items

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/relay"
	"github.com/figshift/figshift/internal/wire"
)

// settleTime is the time after which a position that a reader has got is shown to all readers.
const settleTime = time.Second

// lastCalls is the time in which calls end that nobody waits for any more.
const lastCalls = 5 * time.Second

// delays are the times that a call takes before and after it is carried out.
type delays struct{ before, after time.Duration }

// delayedStore delays the calls of one host to the store. A call that times out is carried out all the same.
type delayedStore struct {
	*memoryStore
	get, put, list func() delays
}

func delay[T any](ctx context.Context, d delays, do func() (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		time.Sleep(d.before)
		value, err := do()
		time.Sleep(d.after)
		done <- outcome{value, err}
	}()
	select {
	case o := <-done:
		return o.value, o.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

func (s *delayedStore) Get(ctx context.Context, name string) (wire.Object, error) {
	return delay(ctx, s.get(), func() (wire.Object, error) { return s.memoryStore.Get(ctx, name) })
}

func (s *delayedStore) Put(ctx context.Context, put wire.ObjectPut) (wire.Object, error) {
	return delay(ctx, s.put(), func() (wire.Object, error) { return s.memoryStore.Put(ctx, put) })
}

func (s *delayedStore) List(ctx context.Context, prefix string) (wire.ObjectList, error) {
	return delay(ctx, s.list(), func() (wire.ObjectList, error) { return s.memoryStore.List(ctx, prefix) })
}

// readingHosts are hosts with one store that read one job's results, some of which consider themselves its owner.
type readingHosts struct {
	t     *testing.T
	store *memoryStore
	hosts map[string]*readingHost
	peer  func() delays // of a call between hosts
	apart bool          // h1 and h2 don't reach each other
	mute  bool          // hosts don't tell the age of an empty page, as those of older builds

	mu       sync.Mutex
	shown    map[int]time.Time // when a reader first got a position
	late     []string          // empty answers that came too late
	answered int               // empty answers
}

type readingHost struct {
	*Executor
	store  *delayedStore
	stored chan event.ChunkStored
}

func none() delays { return delays{} }

func newReadingHosts(t *testing.T, names ...string) *readingHosts {
	t.Helper()
	r := &readingHosts{t: t, store: &memoryStore{objects: map[string]wire.Object{}}, hosts: map[string]*readingHost{}, shown: map[int]time.Time{}, peer: none}
	job := testJob()
	job.Host = names[0]
	job.Items = make([]wire.JobItem, 64)
	r.store.seed(t, wire.PrefixJobs+"j1", job)
	addresses := &relay.HostAddresses{Port: 1}
	var known []event.Host
	for _, name := range names {
		known = append(known, event.Host{Name: name, Address: name + ":1"})
	}
	addresses.Do(event.KnowHosts{Hosts: known})
	start := time.Now()
	for _, name := range names {
		h := &readingHost{store: &delayedStore{memoryStore: r.store, get: none, put: none, list: none}, stored: make(chan event.ChunkStored, 1)}
		client := &PeerClient{Hosts: addresses, Secret: "s", HTTP: hostTransport{r, name}}
		h.Executor = &Executor{Host: name, Incarnation: "1", Store: h.store, Peers: client, Now: func() time.Duration { return time.Since(start) }}
		h.Post = func(ev event.Event) bool {
			if stored, ok := ev.(event.ChunkStored); ok {
				h.stored <- stored
			}
			return true
		}
		h.Prepare()
		client.Executor = h.Executor
		r.hosts[name] = h
	}
	return r
}

// hostTransport carries a host's calls to other hosts, delayed.
type hostTransport struct {
	hosts *readingHosts
	from  string
}

func (h hostTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	host := h.hosts.hosts[r.URL.Hostname()]
	if h.hosts.apart && h.from != "h3" && host.Host != "h3" {
		return nil, errors.New("no route")
	}
	return delay(r.Context(), h.hosts.peer(), func() (*http.Response, error) {
		w := httptest.NewRecorder()
		host.Peers.(*PeerClient).ServeHTTP(w, r)
		if h.hosts.mute && r.Method == http.MethodGet && w.Code == http.StatusOK {
			h.hosts.removeAge(w.Body)
		}
		return w.Result(), nil
	})
}

func (r *readingHosts) removeAge(body *bytes.Buffer) {
	var page wire.JobPage
	if err := decode(body.Bytes(), &page); err != nil {
		r.t.Error(err)
	}
	page.AgeMS, page.TookMS = 0, 0
	value, err := encode(page)
	if err != nil {
		r.t.Error(err)
	}
	body.Reset()
	body.Write(value)
}

// own makes a host consider itself the owner, with the chunks that it knows.
func (r *readingHosts) own(host string) {
	h := r.hosts[host]
	job, err := h.loadJob(context.Background(), "j1")
	if err != nil {
		r.t.Fatal(err)
	}
	h.jobTable.add(job)
	h.jobTable.setOwned("j1", true)
}

// takeOver makes a host the owner.
func (r *readingHosts) takeOver(host string) {
	var done event.JobTaken
	if kind := r.hosts[host].tryTakeOver(context.Background(), event.TakeJob{Job: "j1", Epoch: 99}, &done); kind != "" {
		r.t.Errorf("takeover by %s: %s", host, kind)
	}
}

// list has a host store the next chunk that it knows of, which lists one item.
func (r *readingHosts) list(host string) {
	h := r.hosts[host]
	n := h.jobTable.chunkCount("j1")
	h.storeChunk(context.Background(), event.StoreChunk{Job: "j1", Number: n, Items: []int{n}, Down: []bool{false}})
	<-h.stored
}

// read reads from a position on at a host, and notes what the reader gets.
func (r *readingHosts) read(host string, after int, wait time.Duration) int {
	page, err := r.hosts[host].Page(context.Background(), "j1", after, wait)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		return 0
	}
	now := time.Now()
	for i := range page.Results {
		if _, ok := r.shown[after+i]; !ok {
			r.shown[after+i] = now
		}
	}
	if len(page.Results) > 0 {
		return len(page.Results)
	}
	r.answered++
	if shown, ok := r.shown[after]; ok && now.Sub(shown) > settleTime {
		r.late = append(r.late, fmt.Sprintf("%s has nothing at position %d, which was read %v before", host, after, now.Sub(shown)))
	}
	return 0
}

// A position that a reader has got at one host must not be empty at another one later than settleTime after.
func TestReadPositionIsNotEmptyElsewhere(t *testing.T) {
	const slow = 900 * time.Millisecond
	// answersLate delays the answers to calls that are carried out at once.
	answersLate := func(d time.Duration) func() delays { return func() delays { return delays{after: d} } }
	// listsElsewhere has h2 list one more result, which a reader gets there.
	listsElsewhere := func(r *readingHosts, position int) {
		r.takeOver("h2")
		r.list("h2")
		r.read("h2", position, 0)
	}
	cases := map[string]func(r *readingHosts){
		"the store's answer to the owner is slow": func(r *readingHosts) {
			r.own("h1")
			r.hosts["h1"].store.get = answersLate(slow)
			go r.read("h1", 0, 0)
			time.Sleep(50 * time.Millisecond)
			listsElsewhere(r, 0)
			time.Sleep(1500 * time.Millisecond)
			r.read("h1", 0, 0)
		},
		"the answer to the owner's own write is slow": func(r *readingHosts) {
			r.own("h1")
			r.hosts["h1"].store.put = answersLate(slow)
			go r.list("h1")
			time.Sleep(50 * time.Millisecond)
			listsElsewhere(r, 1)
			time.Sleep(1500 * time.Millisecond)
			r.read("h1", 1, 0)
		},
		"the owner finds a chunk of another owner in place of its own": func(r *readingHosts) {
			r.own("h1")
			listsElsewhere(r, 0)
			listsElsewhere(r, 1)
			time.Sleep(1100 * time.Millisecond)
			r.list("h1")
			r.read("h1", 1, 0)
		},
		"a takeover reads the list of chunks slowly": func(r *readingHosts) {
			r.own("h1")
			r.list("h1")
			r.hosts["h2"].store.list = answersLate(2 * slow)
			taken := make(chan struct{})
			go func() { r.takeOver("h2"); close(taken) }()
			time.Sleep(50 * time.Millisecond)
			r.list("h1")
			r.read("h1", 1, 0)
			<-taken
			r.read("h2", 1, 0)
		},
		"the owner's answer to another host is slow": func(r *readingHosts) {
			r.own("h1")
			r.list("h1")
			r.peer = answersLate(700 * time.Millisecond)
			go func() {
				time.Sleep(900 * time.Millisecond)
				r.read("h3", 1, 0)
			}()
			time.Sleep(50 * time.Millisecond)
			listsElsewhere(r, 1)
			time.Sleep(3 * time.Second)
		},
		"the owner is of an older build, and its answer to another host is slow": func(r *readingHosts) {
			r.mute = true
			r.own("h1")
			r.list("h1")
			r.peer = answersLate(700 * time.Millisecond)
			go r.read("h3", 1, 400*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			listsElsewhere(r, 1)
			time.Sleep(3 * time.Second)
		},
		"a host without any chunk reads the list slowly": func(r *readingHosts) {
			r.hosts["h3"].store.list = answersLate(2 * slow)
			go r.read("h3", 0, 0)
			time.Sleep(50 * time.Millisecond)
			listsElsewhere(r, 0)
			time.Sleep(3 * time.Second)
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReadingHosts(t, "h1", "h2", "h3")
				r.apart = true
				play(r)
				time.Sleep(lastCalls)
				for _, late := range r.late {
					t.Error(late)
				}
			})
		})
	}
}

// The same holds for any delays of the store and of calls between hosts, while several hosts take the job from each other.
func TestReadPositionIsNotEmptyElsewhereUnderAnyDelays(t *testing.T) {
	answered := 0
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReadingHosts(t, "h1", "h2", "h3")
				r.playDelays(rand.New(rand.NewPCG(seed, 1)))
				for _, late := range r.late {
					t.Error(late)
				}
				answered += r.answered
			})
		})
	}
	const least = 1000
	if answered < least {
		t.Errorf("%d empty answers in all, want %d or more: the hosts refuse too much to show anything", answered, least)
	}
}

// playDelays lets readers at all hosts follow the list while hosts take the job over and list results, with random delays.
func (r *readingHosts) playDelays(random *rand.Rand) {
	const playTime = 20 * time.Second
	var mu sync.Mutex // of random
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	drawDelays := func() delays {
		longest := []time.Duration{5, 5, 50, 900}[draw(4)] * time.Millisecond
		return delays{time.Duration(draw(int(longest))), time.Duration(draw(int(longest)))}
	}
	r.peer = drawDelays
	names := []string{"h1", "h2", "h3"}
	for _, h := range r.hosts {
		h.store.get, h.store.put, h.store.list = drawDelays, drawDelays, drawDelays
	}
	end := time.Now().Add(playTime)
	var group sync.WaitGroup
	for _, name := range names {
		group.Go(func() {
			for time.Now().Before(end) {
				var done event.JobTaken
				if draw(3) == 0 && r.hosts[name].tryTakeOver(context.Background(), event.TakeJob{Job: "j1", Epoch: 99}, &done) != "" {
					continue
				}
				if n := r.hosts[name].jobTable.chunkCount("j1"); r.hosts[name].jobTable.owns("j1") && n < 60 {
					r.list(name)
				}
				time.Sleep(time.Duration(draw(1500)) * time.Millisecond)
			}
		})
	}
	for range 6 {
		group.Go(func() {
			for after := 0; time.Now().Before(end); time.Sleep(time.Duration(draw(100)) * time.Millisecond) {
				after += r.read(names[draw(3)], after, time.Duration(draw(3))*200*time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(lastCalls)
}
