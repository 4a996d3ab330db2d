package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
)

// Under delays, suspensions and lost answers, and with clocks that differ by any offset, at most one host holds a duty
// at any time. No epoch is gained twice, no stored ledger entry is lost, and one host holds the duty once the faults
// end.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Int64Range(1, int64(1000*time.Hour))
		offsets := []time.Duration{
			time.Duration(offset.Draw(t, "first")), time.Duration(offset.Draw(t, "second")), time.Duration(offset.Draw(t, "third")),
		}
		suspendRate := rapid.Float64Range(0, 0.02).Draw(t, "suspend")
		w := newWorld(rapid.Int64().Draw(t, "seed"), rapid.Float64Range(0, 0.5).Draw(t, "faulty"), offsets)
		if rapid.Bool().Draw(t, "large fleet") {
			site := config.Defaults()
			site.Trust.MeshUpTo = 1
			for _, h := range w.hosts {
				h.step(event.ConfigInForce{Site: site})
			}
		}
		for round := range 1200 {
			w.advance(round)
			if holders := w.holders(); len(holders) > 1 {
				t.Fatalf("at %v two hosts hold the duty: %v", w.now, holders)
			}
			if h := w.hosts[w.random.Intn(len(w.hosts))]; w.random.Float64() < suspendRate {
				h.suspendedUntil = w.now + time.Duration(w.random.Int63n(int64(15*time.Second)))
			}
		}
		if w.ledgerReverted {
			t.Fatal("a successor's ledger lacks an entry that was known to be stored")
		}
		checkEpochsUnique(t, w)
		w.faultRate = 0
		for round := range 800 {
			w.advance(round)
		}
		if holders := w.holders(); len(holders) != 1 {
			t.Fatalf("after the faults ended the duty is held by %v, want one host", holders)
		}
	})
}

func checkEpochsUnique(t *rapid.T, w *world) {
	gained := map[uint64]string{}
	for _, h := range w.hosts {
		for _, epoch := range h.gainedEpochs {
			if other, ok := gained[epoch]; ok {
				t.Fatalf("epoch %d was gained by %s and %s", epoch, other, h.component.Self.Name)
			}
			gained[epoch] = h.component.Self.Name
		}
	}
}

// In a fleet that is not fully connected the reads of one duty's object must grow far slower than the number of hosts.
func TestCandidatesRead(t *testing.T) {
	cases := map[string]struct {
		hosts       int
		maxReadRate float64 // reads per second of all hosts together
	}{
		"fully connected fleet": {hosts: 8, maxReadRate: 3 / readInterval.Seconds()},
		"large fleet":           {hosts: 100, maxReadRate: 6 / readInterval.Seconds()},
		"larger fleet":          {hosts: 400, maxReadRate: 8 / readInterval.Seconds()},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 0, make([]time.Duration, test.hosts))
			var readRate float64
			for _, h := range w.hosts {
				if _, interval, ok := h.component.candidateRank(&duty{name: testDuty}, 0); ok {
					readRate += 1 / interval.Seconds()
				}
			}
			if readRate > test.maxReadRate {
				t.Errorf("%.1f reads per second, want at most %.1f", readRate, test.maxReadRate)
			}
		})
	}
}

func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		stop    func(h *testHost)
		maxWait time.Duration
	}{
		"released by its owner": {stop: func(h *testHost) {
			h.step(event.StopAsked{})
			h.step(event.ReleaseDuty{Duty: testDuty})
		}, maxWait: 4 * time.Second},
		"released after the delay": {stop: func(h *testHost) { h.step(event.StopAsked{}) }, maxWait: 5 * time.Second},
		"killed":                   {stop: func(h *testHost) { h.suspendedUntil = time.Hour }, maxWait: 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 0, []time.Duration{time.Hour, time.Second, time.Minute})
			for round := range 100 {
				w.advance(round)
			}
			first := w.holders()
			for _, h := range w.hosts {
				if h.component.Self.Name == first[0] {
					test.stop(h)
				}
			}
			stopped := w.now
			for round := 0; w.now < stopped+test.maxWait; round++ {
				w.advance(round)
			}
			now := w.holders()
			if len(now) != 1 || now[0] == first[0] {
				t.Fatalf("held by %v before and by %v after %v", first, now, test.maxWait)
			}
			record, _ := decodeRecord(w.store.object.Value)
			if diff := cmp.Diff(uint64(2), record.Epoch); diff != "" {
				t.Errorf("epoch (-want +got):\n%s", diff)
			}
		})
	}
}

// The process of a duty's holder is suspended repeatedly. Each DutyGained must be counted once.
func TestDutyChangesAreCounted(t *testing.T) {
	w := newWorld(1, 0, []time.Duration{time.Hour, time.Second, time.Minute})
	for round := range 1200 {
		w.advance(round)
		if round%200 != 199 {
			continue
		}
		for _, h := range w.hosts {
			if slices.Contains(w.holders(), h.component.Self.Name) {
				h.suspendedUntil = w.now + 15*time.Second
			}
		}
	}
	gained := 0
	for _, h := range w.hosts {
		gained += len(h.gainedEpochs)
		if diff := cmp.Diff(len(h.gainedEpochs), h.counters["DutiesGained"]); diff != "" {
			t.Errorf("duties gained by %s (-want +got):\n%s", h.component.Self.Name, diff)
		}
	}
	if gained < 3 {
		t.Errorf("the duty was gained %d times, want 3 or more", gained)
	}
}
