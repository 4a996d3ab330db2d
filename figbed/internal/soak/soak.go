package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

const (
	callers    = 20 // of all hosts, one of each at least
	trainers   = 4
	checkEvery = 3 * time.Second
	// recovery is the time after the last fault in which the hosts must serve everything again.
	recovery = 15 * time.Second
	// lastReads is the time that a job may take which was open when the load ended.
	lastReads    = 20 * time.Second
	lastCalls    = 10 // of each host
	firstVersion = 1
)

// Soak is one run. Its fields are set before Run.
type Soak struct {
	Seed  uint64
	Span  time.Duration // in which faults begin
	Hosts int
	Port  int // the first of a range of ports that are free on the hosts' loopback addresses
	// Faults replaces those that the seed draws.
	Faults []Fault
}

// runner is a run under way.
type runner struct {
	t     proc.T
	soak  Soak
	book  *book
	world *world

	mu      sync.Mutex
	counts  map[Kind]int // faults of a kind that are under way
	version int          // of the configuration
	weights int          // newest version of the weights
	told    []string
}

// Run carries out the soak on t, which fails for each broken promise, and returns the history.
func (s Soak) Run(t proc.T) History {
	b := &book{history: History{Began: time.Now(), Events: eventsOf, Window: usageWindow, Gone: map[string]time.Time{}}}
	r := &runner{t: t, soak: s, book: b, world: newWorld(t, s.Hosts, s.Port, b), counts: map[Kind]int{}, version: firstVersion, weights: firstVersion}
	r.world.start()
	r.mu.Lock()
	r.world.estate.Configure(firstVersion, estate.Key, r.extraKey())
	r.mu.Unlock()
	faults := s.Faults
	if faults == nil {
		faults = Draw(s.Seed, s.Hosts, plainServers+engines, s.Span)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := r.load(ctx)
	r.play(faults)
	r.watch(recovery)
	cancel()
	load.Wait()
	r.settle()
	h := r.snapshot()
	r.tell(append(Check(h), CheckEnd(h)...))
	t.Logf("Seed=%d Faults=%d Calls=%d Jobs=%d Reads=%d Runs=%d Reports=%d Broken=%d",
		s.Seed, len(faults), len(h.Calls), len(h.Jobs), len(h.Reads), len(h.Runs), len(h.Reports), len(r.told))
	return h
}

// load starts the callers and trainers.
func (r *runner) load(ctx context.Context) *sync.WaitGroup {
	var all sync.WaitGroup
	for host := 1; host <= r.soak.Hosts; host++ {
		for n := range max(1, callers/r.soak.Hosts) {
			c := &caller{r: r, name: fmt.Sprintf("c%d.%d", host, n), host: host, random: r.random(uint64(1 + host*callers + n)), client: newClient()}
			all.Go(func() { c.run(ctx) })
		}
	}
	for n := range trainers {
		t := &trainer{r: r, name: fmt.Sprintf("t%d", n), random: r.random(uint64(1000 + n)), client: newClient()}
		all.Go(func() { t.run(ctx) })
	}
	return &all
}

func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

func (r *runner) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.soak.Seed, stream)) }

// play causes the faults at their times and returns when the last has ended.
func (r *runner) play(faults []Fault) {
	began := time.Now()
	var all sync.WaitGroup
	for _, f := range faults {
		r.watch(time.Until(began.Add(f.At)))
		all.Go(func() { r.cause(f) })
	}
	ended := make(chan struct{})
	go func() {
		all.Wait()
		close(ended)
	}()
	for {
		select {
		case <-ended:
			return
		case <-time.After(checkEvery):
			r.check()
		}
	}
}

// watch checks for a time.
func (r *runner) watch(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		time.Sleep(min(checkEvery, max(0, time.Until(until))))
		r.check()
	}
}

func (r *runner) check() { r.tell(append(Check(r.snapshot()), r.world.lost()...)) }

// snapshot returns the history up to now. Callers' answers that came after the servers were asked for their runs are left out.
func (r *runner) snapshot() History {
	e := r.world.estate
	reports, orders := e.Reports(), map[string][]estate.Order{}
	var runs []Run
	now := time.Now()
	for _, s := range e.Servers {
		orders[s.Name] = s.Orders()
		for _, run := range s.Runs() {
			runs = append(runs, Run{Run: run, Server: s.Name})
		}
	}
	h := r.book.copyOf()
	h.Reports, h.Orders, h.Runs = reports, orders, runs
	for i := range h.Calls {
		if h.Calls[i].Ended.After(now) {
			h.Calls[i].Ended, h.Calls[i].Status = time.Time{}, 0
		}
	}
	h.Reads = slices.DeleteFunc(h.Reads, func(read Read) bool { return read.At.After(now) })
	return h
}

// tell reports each broken promise once.
func (r *runner) tell(broken []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, line := range broken {
		if !slices.Contains(r.told, line) {
			r.told = append(r.told, line)
			r.t.Errorf("%s", line)
		}
	}
}

// settle reads the open jobs to their ends and calls each host.
func (r *runner) settle() {
	ctx := context.Background()
	t := &trainer{r: r, random: r.random(0), client: newClient()}
	var all sync.WaitGroup
	for _, id := range open(r.book.copyOf()) {
		reader := &trainer{r: r, random: r.random(uint64(len(id))), client: newClient()}
		all.Go(func() { reader.readWhole(ctx, id, lastReads) })
	}
	all.Wait()
	h := r.book.copyOf()
	for host := 1; host <= r.soak.Hosts; host++ {
		for _, j := range h.Jobs {
			if !j.Accepted.IsZero() {
				t.read(j.ID, host, 0)
			}
		}
		c := &caller{r: r, name: "last", host: host, random: r.random(0), client: newClient()}
		for n := range lastCalls {
			c.call(fmt.Sprintf("last-%d-%d", host, n))
		}
	}
	r.tell(unserved(r.book.copyOf()))
}

// unserved returns the last calls that failed.
func unserved(h History) (broken []string) {
	for _, c := range h.Calls {
		if len(c.ID) > 4 && c.ID[:5] == "last-" && c.Key == estate.Key && c.Status != http.StatusOK {
			broken = append(broken, fmt.Sprintf("RECOVER: %s got status %d from host-%d after the faults", c.ID, c.Status, c.Host))
		}
	}
	return broken
}

// nameVersion names the next version of the weights.
func (r *runner) nameVersion() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weights++
	r.world.estate.Name(r.weights)
}

// leastVersion returns the oldest version that a job asks for.
func (r *runner) leastVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(firstVersion, r.weights-1)
}

// pickKey returns the extra key or one that was withdrawn.
func (r *runner) pickKey(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if random.IntN(2) == 0 && r.version > firstVersion {
		return fmt.Sprintf("key-%d", firstVersion+random.IntN(r.version-firstVersion))
	}
	return r.extraKey()
}
