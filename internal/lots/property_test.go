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

// site is the store, the trainers and the daemons of one property run.
type site struct {
	t       *rapid.T
	spec    wire.RolloutSpec
	epoch   uint64
	ledger  []byte
	holder  *daemon
	frozen  []*daemon // former holders that still believe in their lease until it is checked
	id      uint64
	engine  uint64 // version on the engines
	content map[string][]event.FinishedSample
	oldest  map[string]uint64
	seen    map[string]bool // samples that a trainer has taken
	cursor  uint64
	held    uint64 // attempt of lot cursor that the trainer holds
	taken   int
}

func newSite(t *rapid.T) *site {
	s := &site{
		t: t, spec: newSpec(), engine: 1,
		content: map[string][]event.FinishedSample{}, oldest: map[string]uint64{}, seen: map[string]bool{},
	}
	s.takeOver()
	return s
}

func (s *site) takeOver() {
	now := time.Duration(0)
	if s.holder != nil {
		now = s.holder.now + 10*time.Second
	}
	s.holder = newDaemon(s.spec, 1)
	s.holder.now = now
	s.epoch++
	s.holder.gain(s.epoch, s.ledger)
}

func (s *site) newest() uint64 {
	l, err := readLedger(s.ledger)
	if err != nil {
		s.t.Fatal(err)
	}
	return l.Newest
}

func (s *site) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"whole":   s.whole,
		"whole2":  s.whole,
		"whole3":  s.whole,
		"tick":    s.tick,
		"finish":  s.finish,
		"pack":    s.pack,
		"store":   s.store,
		"lost":    sometimes(s.loseAnswer),
		"ask":     s.ask,
		"other":   s.askOther,
		"publish": sometimes(s.publish),
		"crash":   sometimes(func(*rapid.T) { s.takeOver() }),
		"freeze":  sometimes(s.freeze),
		"thaw":    s.thaw,
		"old":     s.askOld,
	}
}

func (s *site) tick(t *rapid.T) {
	s.holder.tick(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
}

// sometimes makes an action rarer than the others.
func sometimes(action func(*rapid.T)) func(*rapid.T) {
	return func(t *rapid.T) {
		if rapid.IntRange(0, 5).Draw(t, "does") == 0 {
			action(t)
		}
	}
}

// finish ends a request well, without a version, mixed in its versions or failed.
func (s *site) finish(t *rapid.T) {
	if len(s.holder.requests) == 0 {
		s.holder.tick(50 * time.Millisecond)
		return
	}
	for range rapid.IntRange(1, 6).Draw(t, "ends") {
		if len(s.holder.requests) > 0 {
			s.finishOne(t)
		}
	}
}

// whole brings every lot that may be made to its seal.
func (s *site) whole(t *rapid.T) {
	s.holder.tick(time.Second)
	for len(s.holder.requests) > 0 {
		s.holder.finish(0, "", s.engine)
	}
	for len(s.holder.packs) > 0 {
		s.pack(t)
	}
	for len(s.holder.writes) > 0 {
		s.store(t)
	}
	s.ask(t)
}

func (s *site) finishOne(t *rapid.T) {
	i := rapid.IntRange(0, len(s.holder.requests)-1).Draw(t, "request")
	switch rapid.IntRange(0, 7).Draw(t, "end") {
	case 0:
		s.holder.finish(i, kinds.StreamCut)
	case 1:
		s.holder.finish(i, "")
	case 2:
		s.holder.finish(i, "", max(1, s.engine)-1, s.engine)
	default:
		s.holder.finish(i, "", s.engine)
	}
}

func (s *site) pack(t *rapid.T) {
	if len(s.holder.packs) == 0 {
		return
	}
	if rapid.IntRange(0, 4).Draw(t, "packs") == 0 {
		s.holder.pack(kinds.StoreUnavailable)
		return
	}
	p := s.holder.pack("")
	name := blockOf(p.Lot)
	s.deleteBlocks()
	if old, ok := s.content[name]; ok && !cmp.Equal(old, p.Samples) {
		t.Fatalf("block %s was written with other samples", name)
	}
	s.content[name] = p.Samples
	s.oldest[name] = ^uint64(0)
	for _, f := range p.Samples {
		for _, v := range f.Versions {
			s.oldest[name] = min(s.oldest[name], v)
		}
	}
}

// store takes one write of the holder: only the writer of the newest epoch succeeds.
func (s *site) store(*rapid.T) {
	if len(s.holder.writes) == 0 {
		return
	}
	w := s.holder.writes[0]
	s.holder.writes = s.holder.writes[1:]
	s.ledger = w.Ledger
	s.holder.step(event.LedgerWritten{Duty: w.Duty, Epoch: w.Epoch, Seq: w.Seq})
}

// loseAnswer stores a write whose answer is lost: the lease lapses and the same daemon gains it again.
func (s *site) loseAnswer(*rapid.T) {
	if len(s.holder.writes) == 0 {
		return
	}
	s.ledger = s.holder.writes[0].Ledger
	s.holder.writes = nil
	s.holder.trusted = false
	s.holder.step(event.DutyLost{Duty: duty()})
	s.epoch++
	s.holder.gain(s.epoch, s.ledger)
}

func (s *site) ask(t *rapid.T) {
	s.askAt(t, s.holder)
}

// askAt has the trainer ask d; the answer is cut in one of three cases.
func (s *site) askAt(t *rapid.T, d *daemon) {
	s.id++
	d.call(s.id, wire.AskLot, wire.RolloutCall{Lot: wire.LotAsk{Consumer: "one", Cursor: s.cursor, Attempt: s.held}})
	if _, ok := d.answers[s.id]; !ok && d == s.holder {
		s.store(t)
	}
	a, ok := d.answers[s.id]
	if !ok {
		return
	}
	if a.Kind == kinds.BadCursor {
		t.Fatalf("the trainer's cursor %d was refused", s.cursor)
	}
	if a.Kind != "" {
		return
	}
	g := grantIn(a)
	s.check(t, g)
	if rapid.IntRange(0, 2).Draw(t, "cut") == 0 {
		return
	}
	s.take(t, g)
}

// deleteBlocks carries out what the daemons wanted deleted.
func (s *site) deleteBlocks() {
	for _, d := range append(s.frozen, s.holder) {
		for _, name := range d.gone {
			delete(s.content, name)
		}
		d.gone = nil
	}
}

// check is the staleness bound at the hand-over, against what is stored.
func (s *site) check(t *rapid.T, g wire.LotGrant) {
	if g.Lot != s.cursor+1 {
		t.Fatalf("lot %d was handed over to cursor %d", g.Lot, s.cursor)
	}
	s.deleteBlocks()
	if _, ok := s.content[g.Blocks[0].Name]; !ok {
		t.Fatalf("lot %d was handed over without its block", g.Lot)
	}
	oldest := s.oldest[g.Blocks[0].Name]
	if oldest+uint64(s.spec.MaxStaleness) < s.newest() {
		t.Fatalf("lot %d with version %d was handed over at version %d", g.Lot, oldest, s.newest())
	}
}

// take is the trainer's receipt of a whole lot.
func (s *site) take(t *rapid.T, g wire.LotGrant) {
	samples := s.content[g.Blocks[0].Name]
	if len(samples) != s.spec.Groups*s.spec.SamplesPerGroup || g.Count != len(samples) {
		t.Fatalf("lot %d has %d samples", g.Lot, len(samples))
	}
	for _, f := range samples {
		id := fmt.Sprint(f.Ref)
		if s.seen[id] {
			t.Fatalf("sample %s was delivered twice", id)
		}
		s.seen[id] = true
		if len(f.Versions) == 0 || f.Versions[0] == 0 {
			t.Fatalf("sample %s names no version", id)
		}
	}
	s.cursor, s.held = g.Lot, g.Attempt
	s.taken++
}

// askOther has a second consumer ask; it must get nothing once the first one has got something.
func (s *site) askOther(t *rapid.T) {
	if s.cursor == 0 {
		return
	}
	s.id++
	a, ok := s.holder.call(s.id, wire.AskLot, wire.RolloutCall{Lot: wire.LotAsk{Consumer: "two", Cursor: s.cursor}})
	if ok && a.Kind == "" {
		t.Fatalf("a second consumer was handed lot %d", s.cursor+1)
	}
}

func (s *site) publish(t *rapid.T) {
	version := s.engine + uint64(rapid.IntRange(1, 2).Draw(t, "step"))
	s.id++
	s.holder.publish(s.id, "one", version)
	s.engine = version
}

// freeze leaves the holder behind with all its belief; another takes over.
func (s *site) freeze(*rapid.T) {
	s.holder.until = s.holder.now + time.Second
	s.frozen = append(s.frozen, s.holder)
	s.takeOver()
}

// thaw wakes a former holder, whose lease ended meanwhile, and lets it act on what it had.
func (s *site) thaw(t *rapid.T) {
	if len(s.frozen) == 0 {
		return
	}
	d := s.frozen[0]
	s.frozen = s.frozen[1:]
	d.now = s.holder.now
	s.askAt(t, d)
	d.tick(50 * time.Millisecond)
	s.askAt(t, d)
}

// askOld repeats an ask of an earlier cursor, as a late duplicate would; it must hand nothing over.
func (s *site) askOld(t *rapid.T) {
	if s.cursor == 0 {
		return
	}
	s.id++
	a, ok := s.holder.call(s.id, wire.AskLot, wire.RolloutCall{Lot: wire.LotAsk{Consumer: "one", Cursor: s.cursor - 1}})
	if ok && a.Kind == "" && s.acked() >= s.cursor {
		t.Fatalf("lot %d was handed over again after its acknowledgement", s.cursor)
	}
}

func (s *site) acked() uint64 { return s.holder.part.rollouts[rolloutName].ledger.Acked }

// TestEachSampleOnce draws runs of failures, publishes, crashes and freezes.
func TestEachSampleOnce(t *testing.T) {
	if err := flag.Set("rapid.steps", "200"); err != nil {
		t.Fatal(err)
	}
	const wanted = 10
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t)
		t.Repeat(s.actions())
		most = max(most, s.taken)
	})
	if most < wanted {
		t.Errorf("no run delivered %d lots, the most was %d", wanted, most)
	}
}
