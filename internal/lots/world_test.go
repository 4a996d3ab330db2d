package lots

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/reduce"
	"github.com/figshift/figshift/internal/wire"
)

const rolloutName = "tariffs"

// newSpec returns a small rollout.
func newSpec() wire.RolloutSpec {
	return wire.RolloutSpec{
		Name: rolloutName, Organisation: "andina", Model: "m", Groups: 2, SamplesPerGroup: 2, SpareGroups: 1,
		MaxTokens: 8, MaxStaleness: 1, SealAhead: 1, Prompts: []string{"a", "b", "c"},
	}
}

// daemon is one holder, alive or frozen, with what its part has asked for and not been answered.
type daemon struct {
	part     *Part
	state    *reduce.State
	trusted  bool
	until    time.Duration // end of the lease's trust, 0 for no end
	epoch    uint64
	now      time.Duration
	requests []event.RequestArrived
	writes   []event.WriteLedger
	packs    []event.PackLot
	scores   []event.ScoreGroup
	answers  map[uint64]event.AnswerDuty
	sent     []event.SendPeer
	deleted  []event.LotRef
	gone     []string // blocks
	counts   map[string]int64
	asks     []event.AskDuty
	raised   []event.Event
}

// Trusted is not asked by the part.
func (d *daemon) Trusted(time.Duration) (time.Duration, bool) { return 0, false }

// Holds answers for the only duty of the tests.
func (d *daemon) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	if !d.trusted || (d.until > 0 && now >= d.until) {
		return 0, 0, false
	}
	if d.until > 0 {
		return d.until, d.epoch, true
	}
	return now + time.Minute, d.epoch, true
}

// Step records what the part raises.
func (d *daemon) Step(_ time.Duration, ev event.Event, _ *event.Batch) {
	switch e := ev.(type) {
	case event.RequestArrived:
		d.requests = append(d.requests, e)
	case event.CancelRequest:
		d.dropRequest(e.Request)
	case event.WriteLedger:
		d.writes = append(d.writes, e)
	case event.AnswerDuty:
		d.answers[e.ID] = e
	case event.AskDuty:
		d.asks = append(d.asks, e)
	case event.VersionPublished, event.ReleaseDuty:
		d.raised = append(d.raised, ev)
	}
}

// told reports whether a version was announced.
func (d *daemon) told(version uint64) bool {
	return slices.Contains(d.raised, event.Event(event.VersionPublished{Model: newSpec().Model, Version: version}))
}

func (d *daemon) dropRequest(id uint64) {
	for i, r := range d.requests {
		if r.Request == id {
			d.requests = append(d.requests[:i], d.requests[i+1:]...)
			return
		}
	}
}

// newDaemon returns a daemon that knows the rollout and its engines and holds nothing.
func newDaemon(spec wire.RolloutSpec, engines int) *daemon {
	d := &daemon{answers: map[uint64]event.AnswerDuty{}, counts: map[string]int64{}}
	d.part = &Part{Host: "h1", Trust: d}
	d.state = &reduce.State{Parts: []event.Part{d.part, d}}
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	d.step(event.ObjectSeen{Object: wire.Object{Name: wire.PrefixRollouts + spec.Name, Value: value}})
	list := wire.EndpointList{Revision: 1}
	for range engines {
		list.Endpoints = append(list.Endpoints, wire.Endpoint{Kind: wire.Engine, Model: spec.Model, State: wire.Live})
	}
	d.step(event.EndpointsListed{List: list})
	return d
}

func (d *daemon) step(ev event.Event) {
	for _, effect := range d.state.Step(d.now, ev) {
		switch e := effect.(type) {
		case event.PackLot:
			d.packs = append(d.packs, e)
		case event.ScoreGroup:
			d.scores = append(d.scores, e)
		case event.SendPeer:
			d.sent = append(d.sent, e)
		case event.DeleteLot:
			d.deleted = append(d.deleted, e.Lot)
			d.gone = append(d.gone, blockOf(e.Lot))
		case event.DeleteBlocks:
			d.gone = append(d.gone, e.Names...)
		case event.Count:
			d.counts[e.Name] += e.N
		}
	}
}

func (d *daemon) tick(after time.Duration) {
	d.now += after
	d.step(event.Tick{})
}

func (d *daemon) gain(epoch uint64, ledger []byte) {
	d.trusted, d.epoch = true, epoch
	d.step(event.DutyGained{Duty: duty(), Epoch: epoch, Ledger: ledger})
}

func duty() string { return wire.PrefixRolloutDuty + rolloutName }

// finish ends the i-th running request.
func (d *daemon) finish(i int, kind kinds.Kind, versions ...uint64) {
	r := d.requests[i]
	d.requests = append(d.requests[:i:i], d.requests[i+1:]...)
	done := event.RequestDone{Request: r.Request, Sample: r.Sample, Kind: kind, GeneratedTokens: 1}
	for _, v := range versions {
		done.Versions = append(done.Versions, event.VersionRun{Version: v, Tokens: 1})
	}
	d.step(done)
}

// pack ends the first PackLot with one block.
func (d *daemon) pack(kind kinds.Kind) event.PackLot {
	p := d.packs[0]
	d.packs = d.packs[1:]
	packed := event.LotPacked{Lot: p.Lot, Count: len(p.Samples), Checksum: "c", Kind: kind}
	if kind == "" {
		packed.Blocks = []event.BlockRef{{Name: blockOf(p.Lot), Samples: len(p.Samples)}}
	}
	d.step(packed)
	return p
}

func blockOf(lot event.LotRef) string {
	return "Blocks/" + lot.Rollout + "/" + string(mustJSON(lot))
}

// call asks the holder and returns its answer, false while it has none.
func (d *daemon) call(id uint64, name string, call wire.RolloutCall) (event.AnswerDuty, bool) {
	if call.Organisation == "" {
		call.Organisation = "andina"
	}
	d.step(event.DutyAsked{From: "h2", ID: id, Duty: duty(), Call: name, Body: mustJSON(call)})
	a, ok := d.answers[id]
	return a, ok
}

func (d *daemon) askLot(id uint64, consumer string, cursor uint64) (event.AnswerDuty, bool) {
	return d.call(id, wire.AskLot, wire.RolloutCall{Lot: wire.LotAsk{Consumer: consumer, Cursor: cursor}})
}

func (d *daemon) publish(id uint64, consumer string, version uint64) (event.AnswerDuty, bool) {
	return d.call(id, wire.AskPublish, wire.RolloutCall{Publish: wire.Publish{Consumer: consumer, Version: version}})
}

// store stores every write and tells the part.
func (d *daemon) store() []byte {
	var last []byte
	for len(d.writes) > 0 {
		w := d.writes[0]
		d.writes = d.writes[1:]
		last = w.Ledger
		d.step(event.LedgerWritten{Duty: w.Duty, Epoch: w.Epoch, Seq: w.Seq})
	}
	return last
}

// makeLot finishes all samples with one version, packs and stores until no request runs.
func (d *daemon) makeLot(version uint64) []byte {
	var ledger []byte
	d.tick(time.Millisecond)
	for len(d.requests) > 0 || len(d.packs) > 0 {
		if len(d.requests) > 0 {
			d.finish(0, "", version)
		}
		if len(d.packs) > 0 {
			d.pack("")
		}
		if l := d.store(); l != nil {
			ledger = l
		}
	}
	return ledger
}

func grantIn(a event.AnswerDuty) wire.LotGrant {
	var g wire.LotGrant
	if a.Kind == "" {
		_ = json.Unmarshal(a.Body, &g)
	}
	return g
}
