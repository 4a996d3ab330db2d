package flow

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/crash"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/wire"
)

// crashFleet simulates hosts that run this package's Component, with endpoints, callers and other hosts' news.
type crashFleet struct {
	crashFleetCase
	random    *rand.Rand
	now       time.Duration
	queue     simQueue
	hosts     []*crashHost
	endpoints []*simEndpoint
	requests  uint64

	crashes     []time.Duration
	harmfulRuns []time.Duration
	innocent    map[kinds.Kind]int // outcomes of all requests but the harmful one
	late        map[kinds.Kind]int // those of the requests that were made in the last quarter
	givenUp     []string           // digests of innocent requests that were refused as harmful
}

// crashFleetCase is one course of events.
type crashFleetCase struct {
	hosts, endpoints int
	harmful          bool    // a caller sends the harmful request again and again
	lostNews         float64 // fraction of the news and heartbeats that don't arrive
	lostAnswers      float64 // fraction of the runs whose connection closes although the endpoint lives
	crashTogether    bool    // at 3 s and at 6 s, half of the endpoints crash for another reason
	restart          bool    // each host restarts once, in turns, without what it knew
	baseline         bool    // no request is suspected
}

type crashHost struct {
	name  string
	state *reduce.State
	watch *crash.Component
	life  int
	open  map[uint64]string // digest of each open request
}

type simEndpoint struct {
	name string
	life int
	up   bool
	runs map[*simRun]bool
}

type simRun struct {
	host    *crashHost
	life    int
	start   event.StartAttempt
	sent    time.Duration
	harmful bool
}

// simQueue is a heap of what happens, the next first.
type simQueue []simAction

type simAction struct {
	at     time.Duration
	number int
	run    func()
}

// Len returns the number of actions.
func (q simQueue) Len() int { return len(q) }

// Less reports whether action i comes before action j.
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

// Swap exchanges two actions.
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an action at the end.
func (q *simQueue) Push(x any) { *q = append(*q, x.(simAction)) }

// Pop removes the last action.
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	crashSimulation = 20 * time.Second
	harmfulDigest   = "harmful"
	popularDigest   = "popular"
)

func (f *crashFleet) after(d time.Duration, run func()) {
	f.requests++
	heap.Push(&f.queue, simAction{at: f.now + d, number: int(f.requests), run: run})
}

// every repeats an action until the end of the simulation.
func (f *crashFleet) every(d time.Duration, run func()) {
	var repeat func()
	repeat = func() {
		run()
		f.after(d, repeat)
	}
	f.after(time.Duration(f.random.Int64N(int64(d))), repeat)
}

// simulate plays a case.
func (c crashFleetCase) simulate(seed uint64) *crashFleet {
	f := &crashFleet{crashFleetCase: c, random: rand.New(rand.NewPCG(seed, 3)), innocent: map[kinds.Kind]int{}, late: map[kinds.Kind]int{}}
	for i := range c.endpoints {
		f.endpoints = append(f.endpoints, &simEndpoint{name: fmt.Sprintf("e%d", i), up: true, runs: map[*simRun]bool{}})
	}
	for i := range c.hosts {
		f.hosts = append(f.hosts, &crashHost{name: fmt.Sprintf("h%d", i)})
	}
	for i, h := range f.hosts {
		f.start(h)
		f.every(50*time.Millisecond, func() { f.step(h, event.Tick{}) })
		f.every(600*time.Millisecond, func() { f.beat(h) })
		if c.restart {
			f.after(time.Duration(2+2*i)*time.Second, func() { f.start(h) })
		}
	}
	innocents := 0
	f.every(25*time.Millisecond, func() { innocents++; f.call(fmt.Sprintf("innocent-%d", innocents), 1) })
	f.every(100*time.Millisecond, func() { f.call(popularDigest, 1) })
	if c.harmful {
		f.every(400*time.Millisecond, func() { f.call(harmfulDigest, 1) })
		f.every(700*time.Millisecond, func() { f.call(harmfulDigest, 1) })
	}
	if c.crashTogether {
		for _, at := range []time.Duration{3 * time.Second, 6 * time.Second} {
			f.after(at, func() {
				for _, e := range f.endpoints[:len(f.endpoints)/2] {
					f.crash(e)
				}
			})
		}
	}
	for f.now < crashSimulation {
		a := heap.Pop(&f.queue).(simAction)
		f.now = a.at
		a.run()
	}
	return f
}

// start starts a host, without what it knew.
func (f *crashFleet) start(h *crashHost) {
	h.life++
	h.open = map[uint64]string{}
	h.watch = &crash.Component{Self: h.name, Membership: f}
	table := &keys.Table{Entries: map[string]keys.Entry{"Ledger": {Organisation: "Ledger", State: keys.Active}}}
	c := &Component{Host: h.name, Zone: "z1", Trust: &fakeTrust{until: time.Hour}, Keys: table, Random: rand.New(rand.NewPCG(f.random.Uint64(), 2)), Crashes: h.watch, DisablePolling: true}
	if f.baseline {
		c.Crashes = crash.Trusting{}
	}
	h.state = &reduce.State{Components: []event.Part{h.watch, c}}
	site := rigSite()
	site.Limits.ConcurrencyPerNode, site.Limits.QueuePerOrg, site.Limits.QueuePerDaemon = 8, 100, 100
	f.step(h, event.HostsChanged{Hosts: []event.Host{{Name: h.name}}})
	f.step(h, event.ConfigInForce{Site: site})
	f.list(h)
}

// Alive implements crash.Membership.
func (f *crashFleet) Alive(time.Duration) []event.Host {
	var all []event.Host
	for _, h := range f.hosts {
		all = append(all, event.Host{Name: h.name})
	}
	return all
}

func (f *crashFleet) list(h *crashHost) {
	var all []wire.Endpoint
	for _, e := range f.endpoints {
		if !e.up {
			continue
		}
		listed := rigEndpoint(e.name)
		listed.Incarnation = fmt.Sprint(e.life)
		all = append(all, listed)
	}
	f.step(h, event.EndpointsListed{List: wire.EndpointList{Endpoints: all}})
}

// beat sends a heartbeat of a host to all others.
func (f *crashFleet) beat(h *crashHost) {
	var heartbeat wire.Beat
	h.watch.FillBeat(f.now, &heartbeat)
	for _, to := range f.hosts {
		if to != h && f.random.Float64() >= f.lostNews {
			f.step(to, event.BeatSeen{Host: h.name, Beat: heartbeat})
		}
	}
}

// call makes a request at a host drawn at random, with one retry by its caller at another.
func (f *crashFleet) call(digest string, retries int) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	f.requests++
	number := f.requests
	h.open[number] = digest
	if retries > 0 {
		h.open[number] = digest + "+"
	}
	a := arrival(number, "Ledger", "/lookup")
	a.Digest, a.Deadline = digest, f.now+2*time.Second
	f.step(h, a)
}

func (f *crashFleet) step(h *crashHost, ev event.Event) {
	for _, effect := range h.state.Step(f.now, ev) {
		switch e := effect.(type) {
		case event.StartAttempt:
			f.post(h, time.Millisecond, event.AttemptConnected{Request: e.Request, Attempt: e.Attempt})
			run := &simRun{host: h, life: h.life, start: e, harmful: strings.HasPrefix(h.open[e.Request], harmfulDigest)}
			f.after(2*time.Millisecond, func() { f.run(run) })
		case event.AnswerRequest:
			f.answered(h, e)
		case event.SendPeer:
			if f.random.Float64() >= f.lostNews {
				to := f.hosts[slices.IndexFunc(f.hosts, func(o *crashHost) bool { return o.name == e.Host })]
				f.post(to, 3*time.Millisecond, event.PeerReceived{Host: h.name, Message: e.Message})
			}
		}
	}
}

// post gives a host an event later, unless it has restarted by then.
func (f *crashFleet) post(h *crashHost, d time.Duration, ev event.Event) {
	life := h.life
	f.after(d, func() {
		if h.life == life {
			f.step(h, ev)
		}
	})
}

// run begins a run at its endpoint.
func (f *crashFleet) run(r *simRun) {
	e := f.endpoints[slices.IndexFunc(f.endpoints, func(o *simEndpoint) bool { return o.name == r.start.Endpoint })]
	if !e.up || fmt.Sprint(e.life) != r.start.Incarnation || r.host.life != r.life {
		f.post(r.host, time.Millisecond, event.AttemptDone{Request: r.start.Request, Attempt: r.start.Attempt, Run: kinds.NotRun, Reason: event.ReasonDial})
		return
	}
	r.sent = f.now
	e.runs[r] = true
	work := 5*time.Millisecond + time.Duration(f.random.ExpFloat64()*float64(25*time.Millisecond))
	if r.harmful {
		f.harmfulRuns = append(f.harmfulRuns, f.now)
		life := e.life
		f.after(60*time.Millisecond, func() {
			if e.life == life {
				f.crash(e)
			}
		})
		return
	}
	f.after(work, func() {
		if !e.runs[r] {
			return
		}
		delete(e.runs, r)
		if f.random.Float64() < f.lostAnswers {
			f.close(r)
			return
		}
		f.post(r.host, time.Millisecond, limit.Answered(wire.LeaveMark{Endpoint: r.start.Endpoint, Incarnation: r.start.Incarnation}, r.sent, ""))
		f.post(r.host, time.Millisecond, event.AttemptDone{Request: r.start.Request, Attempt: r.start.Attempt, Run: kinds.Ran, Whole: true, Begun: true, Status: 200})
	})
}

// close closes the connection of a run.
func (f *crashFleet) close(r *simRun) {
	f.post(r.host, time.Millisecond, event.AttemptDone{Request: r.start.Request, Attempt: r.start.Attempt, Run: kinds.Unknown, Reason: event.ReasonBroken, Closed: true})
}

// crash ends an endpoint, which is back after two seconds as another incarnation.
func (f *crashFleet) crash(e *simEndpoint) {
	if !e.up {
		return
	}
	e.up, e.life = false, e.life+1
	f.crashes = append(f.crashes, f.now)
	runs := make([]*simRun, 0, len(e.runs))
	for r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *simRun) int { return int(a.start.Attempt) - int(b.start.Attempt) })
	for _, r := range runs {
		f.close(r)
	}
	e.runs = map[*simRun]bool{}
	f.listAll()
	f.after(2*time.Second, func() { e.up = true; f.listAll() })
}

func (f *crashFleet) listAll() {
	for _, h := range f.hosts {
		f.after(300*time.Millisecond, func() { f.list(h) })
	}
}

// answered counts the outcome of a request and repeats it once after a failure.
func (f *crashFleet) answered(h *crashHost, e event.AnswerRequest) {
	digest, ok := h.open[e.Request]
	if !ok {
		return
	}
	delete(h.open, e.Request)
	plain, mayRetry := strings.CutSuffix(digest, "+")
	if e.Kind != "" && mayRetry {
		f.after(50*time.Millisecond, func() { f.call(plain, 0) })
		return
	}
	if plain == harmfulDigest {
		return
	}
	f.innocent[e.Kind]++
	if e.Kind == kinds.EndpointsCrashed {
		f.givenUp = append(f.givenUp, plain)
	}
	if f.now > crashSimulation*3/4 {
		f.late[e.Kind]++
	}
}

// stillGivenUp returns the innocent requests that were refused and would be refused still, by any host.
func (f *crashFleet) stillGivenUp() []string {
	var still []string
	for _, digest := range append(f.givenUp, popularDigest) {
		for _, h := range f.hosts {
			if h.watch.Verdict(f.now, crash.ID{Organisation: "Ledger", Digest: digest}) == crash.GivenUp {
				still = append(still, digest)
			}
		}
	}
	return still
}

// runsAfterThird returns the runs of the harmful request later than crashGrace after the third crash.
func (f *crashFleet) runsAfterThird() int {
	if len(f.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range f.harmfulRuns {
		if at > f.crashes[2]+crashGrace {
			n++
		}
	}
	return n
}
