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
	callerCount   = 20 // spread over all hosts, with at least one per host
	trainerCount  = 4
	streamerCount = 4
	checkInterval = 3 * time.Second
	// recoveryTime is how long after the last fault the load goes on. By its end the hosts must serve every call again.
	recoveryTime = 15 * time.Second
	// finalReadTimeout is how long a job may take that was unfinished when the load ended.
	finalReadTimeout  = 20 * time.Second
	finalCallsPerHost = 10 // to each host after the load has ended
	initialVersion    = 1
)

// Soak is the configuration of one run. Set its fields before calling Run.
type Soak struct {
	Seed  uint64
	Span  time.Duration // period in which faults start
	Hosts int
	Port  int // first of a range of ports that must be free on the hosts' loopback addresses
	// Faults replaces the faults drawn from the seed, unless it is nil.
	Faults []Fault
	// OldPrograms is the folder with figd of another build, which all hosts run at first; "" for none. The faults then
	// include those of DrawUpgrade.
	OldPrograms string
}

// runner holds the state of a run.
type runner struct {
	t        proc.T
	soak     Soak
	recorder *recorder
	testbed  *testbed

	mu            sync.Mutex
	faultCounts   map[FaultKind]int // number of active faults by kind
	configVersion int               // of the platform's configuration
	weightVersion int               // newest target weight version of the model
	reported      []string          // violations reported so far
	limited       map[string]bool   // servers that name a limit
	restarts      map[string]int    // of engines, by name
	replacing     sync.Mutex        // held while a host changes its build, so that one does at a time
}

// Run performs the soak, fails t for each violated guarantee, and returns the history.
func (s Soak) Run(t proc.T) History {
	rec := &recorder{history: History{Started: time.Now(), Events: streamEvents, Window: usageWindow, WithdrawnKeys: map[string]time.Time{}}}
	r := &runner{t: t, soak: s, recorder: rec, testbed: newTestbed(t, s.Hosts, s.Port, s.OldPrograms, rec), faultCounts: map[FaultKind]int{}, limited: map[string]bool{}, restarts: map[string]int{}, configVersion: initialVersion, weightVersion: initialVersion}
	r.testbed.start()
	r.mu.Lock()
	r.testbed.platform.Configure(initialVersion, estate.Key, r.rotatingKey())
	r.mu.Unlock()
	faults := s.Faults
	if faults == nil {
		faults = merge(DrawFaults(s.Seed, s.Hosts, plainServerCount+engineCount, s.Span), DrawCrowds(s.Seed, s.Hosts, s.Span))
		if s.OldPrograms != "" {
			faults = merge(faults, DrawUpgrade(s.Seed, s.Hosts, s.Span))
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := r.startLoad(ctx)
	r.runFaults(faults)
	r.checkFor(recoveryTime)
	cancel()
	load.Wait()
	r.verifyRecovery()
	h := r.snapshot()
	h.Starts = r.testbed.told()
	r.report(append(CheckHistory(h), CheckCompleteness(h)...))
	t.Logf("Seed=%d Faults=%d Calls=%d Jobs=%d Reads=%d Runs=%d Reports=%d Broken=%d",
		s.Seed, len(faults), len(h.Calls), len(h.Jobs), len(h.Reads), len(h.Runs), len(h.Reports), len(r.reported))
	return h
}

// startLoad starts the callers and trainers, which run until ctx ends. The returned group waits for them.
func (r *runner) startLoad(ctx context.Context) *sync.WaitGroup {
	var wg sync.WaitGroup
	for host := 1; host <= r.soak.Hosts; host++ {
		for n := range max(1, callerCount/r.soak.Hosts) {
			c := &caller{runner: r, name: fmt.Sprintf("c%d.%d", host, n), host: host, random: r.newRandom(uint64(1 + host*callerCount + n)), client: newClient()}
			wg.Go(func() { c.run(ctx) })
		}
	}
	for n := range streamerCount {
		s := &streamer{runner: r, name: fmt.Sprintf("s%d", n), random: r.newRandom(uint64(2000 + n)), client: newClient()}
		wg.Go(func() { s.run(ctx) })
	}
	for n := range trainerCount {
		t := &trainer{runner: r, name: fmt.Sprintf("t%d", n), random: r.newRandom(uint64(1000 + n)), client: newClient()}
		wg.Go(func() { t.run(ctx) })
	}
	a := &auditor{trainer{runner: r, random: r.newRandom(3000), client: newClient()}}
	wg.Go(func() { a.run(ctx) })
	if r.soak.OldPrograms != "" {
		e := &ender{trainer{runner: r, name: "e", random: r.newRandom(3000), client: newClient(), groups: endedJobGroups}}
		wg.Go(func() { e.run(ctx) })
	}
	return &wg
}

func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

func (r *runner) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(r.soak.Seed, stream))
}

// runFaults injects each fault at its time, checks the history meanwhile, and returns when the last fault has ended.
func (r *runner) runFaults(faults []Fault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		r.checkFor(time.Until(start.Add(f.Start)))
		wg.Go(func() { r.inject(f) })
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(checkInterval):
			r.check()
		}
	}
}

// checkFor checks the history at intervals until duration has passed.
func (r *runner) checkFor(duration time.Duration) {
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
		time.Sleep(min(checkInterval, max(0, time.Until(deadline))))
		r.check()
	}
}

func (r *runner) check() {
	r.report(CheckHistory(r.snapshot()))
	r.report(r.testbed.overLimits())
	r.report(r.testbed.restartExited())
}

// snapshot returns the history up to now. It leaves out responses that callers got after it started to collect the servers'
// runs, since the runs behind such responses may be missing from it.
func (r *runner) snapshot() History {
	platform := r.testbed.platform
	reports, orders := platform.Reports(), map[string][]estate.Order{}
	arrivals := map[string][]estate.Arrival{}
	var runs []Run
	var crashes []estate.Crash
	now := time.Now()
	for _, s := range platform.Servers {
		orders[s.Name], arrivals[s.Name] = s.Orders(), s.Arrivals()
		crashes = append(crashes, s.Crashes()...)
		for _, run := range s.Runs() {
			runs = append(runs, Run{Run: run, Server: s.Name})
		}
	}
	h := r.recorder.clone()
	slices.SortFunc(crashes, func(a, b estate.Crash) int { return a.At.Compare(b.At) })
	h.Reports, h.Orders, h.Runs, h.Arrivals, h.Crashes = reports, orders, runs, arrivals, crashes
	for i := range h.Calls {
		if h.Calls[i].Ended.After(now) {
			h.Calls[i].Ended, h.Calls[i].Status = time.Time{}, 0
		}
	}
	h.Reads = slices.DeleteFunc(h.Reads, func(read Read) bool { return read.At.After(now) })
	return h
}

// report fails the test for each violation that has not been reported yet.
func (r *runner) report(violations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, violation := range violations {
		if !slices.Contains(r.reported, violation) {
			r.reported = append(r.reported, violation)
			r.t.Errorf("%s", violation)
		}
	}
}

// verifyRecovery reads all unfinished jobs to their end, then reads every accepted job from every host and makes the final
// calls to every host.
func (r *runner) verifyRecovery() {
	ctx := context.Background()
	reader := &trainer{runner: r, random: r.newRandom(0), client: newClient()}
	var wg sync.WaitGroup
	for _, id := range unfinishedJobs(r.recorder.clone()) {
		jobReader := &trainer{runner: r, random: r.newRandom(uint64(len(id))), client: newClient()}
		wg.Go(func() { jobReader.readToEnd(ctx, id, finalReadTimeout) })
	}
	wg.Wait()
	h := r.recorder.clone()
	for host := 1; host <= r.soak.Hosts; host++ {
		for _, j := range h.Jobs {
			if !j.Accepted.IsZero() && j.Ending.IsZero() {
				reader.read(j.ID, host, 0)
			}
		}
		finalCaller := &caller{runner: r, name: "last", host: host, random: r.newRandom(0), client: newClient()}
		for n := range finalCallsPerHost {
			finalCaller.call(fmt.Sprintf("last-%d-%d", host, n))
		}
	}
	r.report(failedFinalCalls(r.recorder.clone()))
}

// failedFinalCalls returns a violation for each final call with the permanent key that failed.
func failedFinalCalls(h History) (violations []string) {
	for _, c := range h.Calls {
		if len(c.ID) > 4 && c.ID[:5] == "last-" && c.Key == estate.Key && c.Status != http.StatusOK {
			violations = append(violations, fmt.Sprintf("RECOVER: %s got status %d from host-%d after the faults", c.ID, c.Status, c.Host))
		}
	}
	return violations
}

// advanceWeights makes the next weight version the target.
func (r *runner) advanceWeights() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weightVersion++
	r.testbed.platform.SetTargetVersion(r.weightVersion)
}

// minVersion returns the oldest weight version that a new job accepts.
func (r *runner) minVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(initialVersion, r.weightVersion-1)
}

// pickRotatingKey returns the current rotating key or one that was withdrawn.
func (r *runner) pickRotatingKey(random *rand.Rand) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if random.IntN(2) == 0 && r.configVersion > initialVersion {
		return fmt.Sprintf("key-%d", initialVersion+random.IntN(r.configVersion-initialVersion))
	}
	return r.rotatingKey()
}
