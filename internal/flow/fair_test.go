package flow

import (
	"container/heap"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/admit"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

const (
	serviceTime            = 20 * time.Millisecond // duration of one request at an endpoint
	concurrencyPerEndpoint = 4                     // requests that an endpoint runs at once
	simulatedTime          = 20 * time.Second
	requestTimeout         = 2 * time.Second
)

// caller sends requests of one organisation at a constant rate.
type caller struct {
	organisation string
	interval     time.Duration
	nextAt       time.Duration

	sent      int
	served    int
	refused   int
	latencies []time.Duration
}

// p99 returns the 99th percentile of the latencies of the served requests.
func (c *caller) p99() time.Duration {
	slices.Sort(c.latencies)
	if len(c.latencies) == 0 {
		return 0
	}
	return c.latencies[len(c.latencies)*99/100]
}

// simulation runs the component of one daemon in virtual time; attempts at its endpoints take serviceTime.
type simulation struct {
	rig         *rig
	callers     []*caller
	callerOf    map[uint64]*caller
	arrivedAt   map[uint64]time.Duration
	completions timers
	running     map[uint64]event.StartAttempt
	lastRequest uint64
}

func newSimulation(queue admit.Queue[uint64], callers ...*caller) *simulation {
	g := newRig()
	site := rigSite()
	site.Limits.ConcurrencyPerNode = concurrencyPerEndpoint
	site.Limits.QueuePerOrg, site.Limits.QueuePerDaemon = 500, 2000
	newComponent := &Component{Host: "h1", Zone: "z1", Trust: g.trust, Keys: g.keys, Random: g.component.Random, Queue: queue}
	g.component = newComponent
	g.state.Components = []event.Part{newComponent}
	g.step(event.HostsChanged{Hosts: []event.Host{{Name: "h1"}}})
	g.step(event.ConfigInForce{Site: site})
	g.list(rigEndpoint("a"), rigEndpoint("b"))
	return &simulation{
		rig: g, callers: callers, callerOf: map[uint64]*caller{}, arrivedAt: map[uint64]time.Duration{},
		running: map[uint64]event.StartAttempt{},
	}
}

// advance moves the clock by one millisecond.
func (s *simulation) advance() {
	s.rig.now += time.Millisecond
	now := s.rig.now
	for {
		id, ok := s.completions.popDue(now)
		if !ok {
			break
		}
		s.apply(s.rig.state.Step(now, attemptDone(s.running[id], kinds.Ran, "")))
	}
	for _, c := range s.callers {
		for ; c.nextAt <= now; c.nextAt += c.interval {
			s.lastRequest++
			c.sent++
			s.callerOf[s.lastRequest], s.arrivedAt[s.lastRequest] = c, now
			a := arrival(s.lastRequest, c.organisation, "/lookup")
			a.Deadline = now + requestTimeout
			s.apply(s.rig.state.Step(now, a))
		}
	}
	if now%(50*time.Millisecond) == 0 {
		s.apply(s.rig.state.Step(now, event.Tick{}))
	}
}

func (s *simulation) apply(effects []event.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case event.StartAttempt:
			s.running[e.Request] = e
			heap.Push(&s.completions, timer{at: s.rig.now + serviceTime, seq: e.Attempt, request: e.Request})
		case event.AnswerRequest:
			c := s.callerOf[e.Request]
			if e.Kind != "" {
				c.refused++
				continue
			}
			c.served++
			c.latencies = append(c.latencies, s.rig.now-s.arrivedAt[e.Request])
		}
	}
}

func (s *simulation) run() {
	for end := s.rig.now + simulatedTime; s.rig.now < end; {
		s.advance()
	}
}

// TestFloodDoesNotHarmOtherOrganisations compares the fair queue with a FIFO queue while one organisation requests five
// times the capacity and another a tenth of it.
func TestFloodDoesNotHarmOtherOrganisations(t *testing.T) {
	small := map[string]*caller{}
	for name, queue := range map[string]admit.Queue[uint64]{"fair": nil, "fifo": &admit.FIFO[uint64]{}} {
		flood := &caller{organisation: "Ledger", interval: time.Second / 2000}
		small[name] = &caller{organisation: "Andina", interval: time.Second / 40}
		newSimulation(queue, flood, small[name]).run()
		t.Logf("%s: small %d of %d served, p99 %v; flood %d of %d served, p99 %v", name,
			small[name].served, small[name].sent, small[name].p99(), flood.served, flood.sent, flood.p99())
		if capacity := int(simulatedTime/serviceTime) * 2 * concurrencyPerEndpoint; flood.served+small[name].served < capacity*98/100 {
			t.Errorf("%s: less than 98%% of the capacity of %d requests was used", name, capacity)
		}
	}
	fair, baseline := small["fair"], small["fifo"]
	if fair.refused > 0 || fair.p99() > 3*serviceTime {
		t.Errorf("the small organisation had %d of %d requests refused, p99 %v", fair.refused, fair.sent, fair.p99())
	}
	if baseline.p99() <= fair.p99() {
		t.Errorf("the FIFO queue is no worse than the fair queue: p99 %v", baseline.p99())
	}
}

// TestSpreadingOverDaemonsGainsNothing checks that an organisation that floods two daemons is not served more than one
// that floods only one of them, since heartbeats carry the served tokens.
func TestSpreadingOverDaemonsGainsNothing(t *testing.T) {
	served := func(heartbeats bool) (spread, single int) {
		const sendInterval = time.Second / 2000
		a1, a2 := &caller{organisation: "Ledger", interval: sendInterval}, &caller{organisation: "Ledger", interval: sendInterval}
		b := &caller{organisation: "Andina", interval: sendInterval}
		first, second := newSimulation(nil, a1, b), newSimulation(nil, a2)
		for end := first.rig.now + simulatedTime; first.rig.now < end; {
			first.advance()
			second.advance()
			if heartbeats && first.rig.now%(250*time.Millisecond) == 0 {
				deliverHeartbeat(first, second, "h2")
				deliverHeartbeat(second, first, "h1")
			}
		}
		return a1.served + a2.served, b.served
	}
	spread, single := served(true)
	spreadWithout, singleWithout := served(false)
	t.Logf("with heartbeats: on two daemons %d, on one %d; without: %d, %d", spread, single, spreadWithout, singleWithout)
	if diff := cmp.Diff(true, single*100 >= spread*90); diff != "" {
		t.Error("the organisation on two daemons was served more:", spread, single)
	}
	if singleWithout*100 >= spreadWithout*90 {
		t.Error("heartbeats make no difference:", spreadWithout, singleWithout)
	}
}

// deliverHeartbeat steps the heartbeat of one simulation, under the name of its host, in the other.
func deliverHeartbeat(to, from *simulation, host string) {
	var heartbeat wire.Beat
	from.rig.component.FillBeat(from.rig.now, &heartbeat)
	to.apply(to.rig.state.Step(to.rig.now, event.BeatSeen{Host: host, Beat: heartbeat}))
}
