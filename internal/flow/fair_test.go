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
	callTime   = 20 * time.Millisecond // that one call takes at an endpoint
	perNode    = 4                     // calls that an endpoint runs at once
	loadLength = 20 * time.Second
	callLimit  = 2 * time.Second
)

// caller sends calls of one organisation at an even rate.
type caller struct {
	key   string
	every time.Duration
	next  time.Duration

	sent    int
	served  int
	refused int
	took    []time.Duration
}

// p99 returns the 99th percentile of the served calls' times.
func (c *caller) p99() time.Duration {
	slices.Sort(c.took)
	if len(c.took) == 0 {
		return 0
	}
	return c.took[len(c.took)*99/100]
}

// load drives one daemon's part in virtual time: attempts run for callTime at its endpoints.
type load struct {
	rig     *rig
	callers []*caller
	owner   map[uint64]*caller
	began   map[uint64]time.Duration
	ends    timers
	running map[uint64]event.StartAttempt
	id      uint64
}

func newLoad(queue admit.Queue[uint64], callers ...*caller) *load {
	g := newRig()
	site := rigSite()
	site.Limits.ConcurrencyPerNode = perNode
	site.Limits.QueuePerOrg, site.Limits.QueuePerDaemon = 500, 2000
	fresh := &Part{Host: "h1", Zone: "z1", Trust: g.trust, Keys: g.keys, Random: g.part.Random, Queue: queue}
	g.part = fresh
	g.state.Parts = []event.Part{fresh}
	g.step(event.HostsChanged{Hosts: []event.Host{{Name: "h1"}}})
	g.step(event.ConfigInForce{Site: site})
	g.list(rigEndpoint("a"), rigEndpoint("b"))
	return &load{
		rig: g, callers: callers, owner: map[uint64]*caller{}, began: map[uint64]time.Duration{},
		running: map[uint64]event.StartAttempt{},
	}
}

// pass lets one millisecond pass.
func (l *load) pass() {
	l.rig.now += time.Millisecond
	now := l.rig.now
	for {
		id, ok := l.ends.due(now)
		if !ok {
			break
		}
		l.take(l.rig.state.Step(now, done(l.running[id], kinds.Ran, "")))
	}
	for _, c := range l.callers {
		for ; c.next <= now; c.next += c.every {
			l.id++
			c.sent++
			l.owner[l.id], l.began[l.id] = c, now
			a := arrival(l.id, c.key, "/lookup")
			a.Deadline = now + callLimit
			l.take(l.rig.state.Step(now, a))
		}
	}
	if now%(50*time.Millisecond) == 0 {
		l.take(l.rig.state.Step(now, event.Tick{}))
	}
}

func (l *load) take(effects []event.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case event.StartAttempt:
			l.running[e.Request] = e
			heap.Push(&l.ends, timer{at: l.rig.now + callTime, seq: e.Attempt, request: e.Request})
		case event.AnswerRequest:
			c := l.owner[e.Request]
			if e.Kind != "" {
				c.refused++
				continue
			}
			c.served++
			c.took = append(c.took, l.rig.now-l.began[e.Request])
		}
	}
}

func (l *load) run() {
	for end := l.rig.now + loadLength; l.rig.now < end; {
		l.pass()
	}
}

// TestFloodHarmsNoOther compares the fair queue with the baseline under one organisation that asks for five times
// what there is while another asks for a tenth.
func TestFloodHarmsNoOther(t *testing.T) {
	small := map[string]*caller{}
	for name, queue := range map[string]admit.Queue[uint64]{"fair": nil, "first in": &admit.Fifo[uint64]{}} {
		flood := &caller{key: "Ledger", every: time.Second / 2000}
		small[name] = &caller{key: "Andina", every: time.Second / 40}
		newLoad(queue, flood, small[name]).run()
		t.Logf("%s: small %d of %d served, p99 %v; flood %d of %d served, p99 %v", name,
			small[name].served, small[name].sent, small[name].p99(), flood.served, flood.sent, flood.p99())
		if capacity := int(loadLength/callTime) * 2 * perNode; flood.served+small[name].served < capacity*98/100 {
			t.Errorf("%s: capacity of %d calls was left unused", name, capacity)
		}
	}
	fair, baseline := small["fair"], small["first in"]
	if fair.refused > 0 || fair.p99() > 3*callTime {
		t.Errorf("the small organisation had %d of %d calls refused, p99 %v", fair.refused, fair.sent, fair.p99())
	}
	if baseline.p99() <= fair.p99() {
		t.Errorf("the baseline is no worse: p99 %v", baseline.p99())
	}
}

// TestSpreadingGainsNothing has one organisation flood two daemons and another only one of them.
func TestSpreadingGainsNothing(t *testing.T) {
	served := func(beats bool) (spread, one int) {
		const every = time.Second / 2000
		a1, a2 := &caller{key: "Ledger", every: every}, &caller{key: "Ledger", every: every}
		b := &caller{key: "Andina", every: every}
		first, second := newLoad(nil, a1, b), newLoad(nil, a2)
		for end := first.rig.now + loadLength; first.rig.now < end; {
			first.pass()
			second.pass()
			if beats && first.rig.now%(250*time.Millisecond) == 0 {
				exchange(first, second, "h2")
				exchange(second, first, "h1")
			}
		}
		return a1.served + a2.served, b.served
	}
	spread, one := served(true)
	without, oneWithout := served(false)
	t.Logf("with beats: spread %d, on one daemon %d; without: %d, %d", spread, one, without, oneWithout)
	if diff := cmp.Diff(true, one*100 >= spread*90); diff != "" {
		t.Error("the spread organisation gained:", spread, one)
	}
	if oneWithout*100 >= without*90 {
		t.Error("beats make no difference:", without, oneWithout)
	}
}

func exchange(to, from *load, host string) {
	var beat wire.Beat
	from.rig.part.Contribute(from.rig.now, &beat)
	to.take(to.rig.state.Step(to.rig.now, event.BeatSeen{Host: host, Beat: beat}))
}
