package lots

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// simulation simulates the store, the trainers and the daemons of one property run.
type simulation struct {
	t             *rapid.T
	spec          wire.RolloutSpec
	epoch         uint64
	ledger        []byte
	holder        *daemon
	suspended     []*daemon // suspended former holders that have not noticed the loss of their lease
	lastCall      uint64
	engineVersion uint64 // on all engines
	blockSamples  map[string][]event.FinishedSample
	oldest        map[string]uint64
	delivered     map[string]bool // samples that a trainer has received
	cursor        uint64
	heldAttempt   uint64 // attempt at lot cursor that the trainer received
	lotsTaken     int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, spec: newSpec(), engineVersion: 1,
		blockSamples: map[string][]event.FinishedSample{}, oldest: map[string]uint64{}, delivered: map[string]bool{},
	}
	s.takeOver()
	return s
}

func (s *simulation) takeOver() {
	now := time.Duration(0)
	if s.holder != nil {
		now = s.holder.now + 10*time.Second
	}
	s.holder = newDaemon(s.spec, 1)
	s.holder.now = now
	s.epoch++
	s.holder.gainDuty(s.epoch, s.ledger)
}

func (s *simulation) newest() uint64 {
	l, err := readLedger(s.ledger)
	if err != nil {
		s.t.Fatal(err)
	}
	return l.Newest
}

func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"whole":                    s.buildAll,
		"whole2":                   s.buildAll,
		"whole3":                   s.buildAll,
		"tick":                     s.tick,
		"finish":                   s.finishRequests,
		"pack":                     s.finishPack,
		"store":                    s.storeWrite,
		"lost":                     oneInSix(s.loseAnswer),
		"ask":                      s.ask,
		"other":                    s.askOtherConsumer,
		"publish":                  oneInSix(s.publish),
		"crash":                    oneInSix(func(*rapid.T) { s.takeOver() }),
		"holder is suspended":      oneInSix(s.suspend),
		"suspended holder resumes": s.resume,
		"old":                      s.askAgain,
	}
}

func (s *simulation) tick(t *rapid.T) {
	s.holder.tick(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

// oneInSix runs an action on average once in six calls.
func oneInSix(action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 5).Draw(t, "does") == 0 {
			action(t)
		}
	}
}

// finishRequests ends up to six requests: with success, without a version, with mixed versions or with a failure.
func (s *simulation) finishRequests(t *rapid.T) {
	if len(s.holder.requests) == 0 {
		s.holder.tick(50 * time.Millisecond)
		return
	}
	for range rapid.IntRange(1, 6).Draw(t, "ends") {
		if len(s.holder.requests) > 0 {
			s.finishRandom(t)
		}
	}
}

// buildAll seals every lot that may be built now.
func (s *simulation) buildAll(t *rapid.T) {
	s.holder.tick(time.Second)
	for len(s.holder.requests) > 0 {
		s.holder.finishRequest(0, "", s.engineVersion)
	}
	for len(s.holder.packs) > 0 {
		s.finishPack(t)
	}
	for len(s.holder.writes) > 0 {
		s.storeWrite(t)
	}
	s.ask(t)
}

func (s *simulation) finishRandom(t *rapid.T) {
	i := rapid.IntRange(0, len(s.holder.requests)-1).Draw(t, "request")
	switch rapid.IntRange(0, 7).Draw(t, "end") {
	case 0:
		s.holder.finishRequest(i, kinds.StreamCut)
	case 1:
		s.holder.finishRequest(i, "")
	case 2:
		s.holder.finishRequest(i, "", max(1, s.engineVersion)-1, s.engineVersion)
	default:
		s.holder.finishRequest(i, "", s.engineVersion)
	}
}

func (s *simulation) finishPack(t *rapid.T) {
	if len(s.holder.packs) == 0 {
		return
	}
	if rapid.IntRange(0, 4).Draw(t, "packs") == 0 {
		s.holder.finishPack(kinds.StoreUnavailable)
		return
	}
	p := s.holder.finishPack("")
	name := blockName(p.Lot)
	s.deleteBlocks()
	if old, ok := s.blockSamples[name]; ok && !cmp.Equal(old, p.Samples) {
		t.Fatalf("block %s was written with other samples", name)
	}
	s.blockSamples[name] = p.Samples
	s.oldest[name] = ^uint64(0)
	for _, f := range p.Samples {
		for _, v := range f.Versions {
			s.oldest[name] = min(s.oldest[name], v)
		}
	}
}

// storeWrite stores one ledger write of the holder. Only the holder's writes succeed, since it has the newest epoch.
func (s *simulation) storeWrite(*rapid.T) {
	if len(s.holder.writes) == 0 {
		return
	}
	w := s.holder.writes[0]
	s.holder.writes = s.holder.writes[1:]
	s.ledger = w.Ledger
	s.holder.step(event.LedgerWritten{Duty: w.Duty, Epoch: w.Epoch, Seq: w.Seq})
}

// loseAnswer stores a write whose answer is lost: the lease lapses and the same daemon gains the duty again.
func (s *simulation) loseAnswer(*rapid.T) {
	if len(s.holder.writes) == 0 {
		return
	}
	s.ledger = s.holder.writes[0].Ledger
	s.holder.writes = nil
	s.holder.trusted = false
	s.holder.step(event.DutyLost{Duty: dutyName()})
	s.epoch++
	s.holder.gainDuty(s.epoch, s.ledger)
}

func (s *simulation) ask(t *rapid.T) {
	s.askAt(t, s.holder)
}

// askAt has the trainer request a lot from d; the transfer of the lot fails in one of three cases.
func (s *simulation) askAt(t *rapid.T, d *daemon) {
	s.lastCall++
	d.call(s.lastCall, wire.AskLot, wire.RolloutCall{Lot: wire.LotAsk{Consumer: "one", Cursor: s.cursor, Attempt: s.heldAttempt}})
	if _, ok := d.answers[s.lastCall]; !ok && d == s.holder {
		s.storeWrite(t)
	}
	a, ok := d.answers[s.lastCall]
	if !ok {
		return
	}
	if a.Kind == kinds.BadCursor {
		t.Fatalf("the trainer's cursor %d was refused", s.cursor)
	}
	if a.Kind != "" {
		return
	}
	g := decodeGrant(a)
	s.checkGrant(t, g)
	if rapid.IntRange(0, 2).Draw(t, "cut") == 0 {
		return
	}
	s.receive(t, g)
}

// deleteBlocks deletes the blocks that the daemons have requested to delete.
func (s *simulation) deleteBlocks() {
	for _, d := range append(s.suspended, s.holder) {
		for _, name := range d.deletedBlocks {
			delete(s.blockSamples, name)
		}
		d.deletedBlocks = nil
	}
}

// checkGrant checks a grant's lot number, block and staleness against the stored state.
func (s *simulation) checkGrant(t *rapid.T, g wire.LotGrant) {
	if g.Lot != s.cursor+1 {
		t.Fatalf("lot %d was handed over to cursor %d", g.Lot, s.cursor)
	}
	s.deleteBlocks()
	if _, ok := s.blockSamples[g.Blocks[0].Name]; !ok {
		t.Fatalf("lot %d was handed over without its block", g.Lot)
	}
	oldest := s.oldest[g.Blocks[0].Name]
	if oldest+uint64(s.spec.MaxStaleness) < s.newest() {
		t.Fatalf("lot %d with version %d was handed over at version %d", g.Lot, oldest, s.newest())
	}
}

// receive has the trainer receive a complete lot and checks its samples.
func (s *simulation) receive(t *rapid.T, g wire.LotGrant) {
	samples := s.blockSamples[g.Blocks[0].Name]
	if len(samples) != s.spec.Groups*s.spec.SamplesPerGroup || g.Count != len(samples) {
		t.Fatalf("lot %d has %d samples", g.Lot, len(samples))
	}
	for _, f := range samples {
		id := fmt.Sprint(f.Ref)
		if s.delivered[id] {
			t.Fatalf("sample %s was delivered twice", id)
		}
		s.delivered[id] = true
		if len(f.Versions) == 0 || f.Versions[0] == 0 {
			t.Fatalf("sample %s names no version", id)
		}
	}
	s.cursor, s.heldAttempt = g.Lot, g.Attempt
	s.lotsTaken++
}

// askOtherConsumer has a second consumer request a lot; it must get none once the first consumer has received one.
func (s *simulation) askOtherConsumer(t *rapid.T) {
	if s.cursor == 0 {
		return
	}
	s.lastCall++
	a, ok := s.holder.call(s.lastCall, wire.AskLot, wire.RolloutCall{Lot: wire.LotAsk{Consumer: "two", Cursor: s.cursor}})
	if ok && a.Kind == "" {
		t.Fatalf("a second consumer was handed lot %d", s.cursor+1)
	}
}

func (s *simulation) publish(t *rapid.T) {
	version := s.engineVersion + uint64(rapid.IntRange(1, 2).Draw(t, "step"))
	s.lastCall++
	s.holder.publish(s.lastCall, "one", version)
	s.engineVersion = version
}

// suspend suspends the holder with its state as it is; another daemon takes over.
func (s *simulation) suspend(*rapid.T) {
	s.holder.leaseEnd = s.holder.now + time.Second
	s.suspended = append(s.suspended, s.holder)
	s.takeOver()
}

// resume resumes a suspended holder, whose lease has ended in the meantime, with its old state.
func (s *simulation) resume(t *rapid.T) {
	if len(s.suspended) == 0 {
		return
	}
	d := s.suspended[0]
	s.suspended = s.suspended[1:]
	d.now = s.holder.now
	s.askAt(t, d)
	d.tick(50 * time.Millisecond)
	s.askAt(t, d)
}

// askAgain repeats a request with the previous cursor, as a late duplicate does; it must not get a lot that the consumer
// has acknowledged.
func (s *simulation) askAgain(t *rapid.T) {
	if s.cursor == 0 {
		return
	}
	s.lastCall++
	a, ok := s.holder.call(s.lastCall, wire.AskLot, wire.RolloutCall{Lot: wire.LotAsk{Consumer: "one", Cursor: s.cursor - 1}})
	if ok && a.Kind == "" && s.acked() >= s.cursor {
		t.Fatalf("lot %d was handed over again after its acknowledgement", s.cursor)
	}
}

func (s *simulation) acked() uint64 { return s.holder.component.rollouts[rolloutName].ledger.Acked }

// TestEachSampleOnce checks that no sample is delivered twice or stale in random runs of failures, publishes, crashes
// and suspended holders.
func TestEachSampleOnce(t *testing.T) {
	if err := flag.Set("rapid.steps", "200"); err != nil {
		t.Fatal(err)
	}
	const wantedLots = 10
	maxLots := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(s.actions())
		maxLots = max(maxLots, s.lotsTaken)
	})
	if maxLots < wantedLots {
		t.Errorf("no run delivered %d lots; the maximum was %d", wantedLots, maxLots)
	}
}
