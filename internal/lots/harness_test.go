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

// newSpec returns the specification of a small rollout.
func newSpec() wire.RolloutSpec {
	return wire.RolloutSpec{
		Name: rolloutName, Organisation: "andina", Model: "m", Groups: 2, SamplesPerGroup: 2, SpareGroups: 1,
		MaxTokens: 8, MaxStaleness: 1, SealAhead: 1, Prompts: []string{"a", "b", "c"},
	}
}

// daemon runs one Component and records the events and effects that it emits. Requests, packs and writes stay listed
// until a test finishes them.
type daemon struct {
	component     *Component
	state         *reduce.State
	trusted       bool
	leaseEnd      time.Duration // 0 for a lease that does not end
	epoch         uint64
	now           time.Duration
	requests      []event.RequestArrived
	writes        []event.WriteLedger
	packs         []event.PackLot
	scores        []event.ScoreGroup
	answers       map[uint64]event.AnswerDuty
	peerMessages  []event.SendPeer
	deletedLots   []event.LotRef
	deletedBlocks []string
	counts        map[string]int64
	dutyCalls     []event.AskDuty
	raised        []event.Event
}

// Trusted is not called by the component.
func (d *daemon) Trusted(time.Duration) (time.Duration, bool) { return 0, false }

// Holds reports the lease of the only duty in the tests.
func (d *daemon) Holds(_ string, now time.Duration) (time.Duration, uint64, bool) {
	if !d.trusted || (d.leaseEnd > 0 && now >= d.leaseEnd) {
		return 0, 0, false
	}
	if d.leaseEnd > 0 {
		return d.leaseEnd, d.epoch, true
	}
	return now + time.Minute, d.epoch, true
}

// Step records the events that the component raises.
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
		d.dutyCalls = append(d.dutyCalls, e)
	case event.VersionPublished, event.ReleaseDuty:
		d.raised = append(d.raised, ev)
	}
}

// raisedPublished reports whether VersionPublished was raised for a version.
func (d *daemon) raisedPublished(version uint64) bool {
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

// newDaemon returns a daemon that knows the rollout and its engines but holds no duty.
func newDaemon(spec wire.RolloutSpec, engines int) *daemon {
	d := &daemon{answers: map[uint64]event.AnswerDuty{}, counts: map[string]int64{}}
	d.component = &Component{Host: "h1", Trust: d}
	d.state = &reduce.State{Components: []event.Part{d.component, d}}
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
			d.peerMessages = append(d.peerMessages, e)
		case event.DeleteLot:
			d.deletedLots = append(d.deletedLots, e.Lot)
			d.deletedBlocks = append(d.deletedBlocks, blockName(e.Lot))
		case event.DeleteBlocks:
			d.deletedBlocks = append(d.deletedBlocks, e.Names...)
		case event.Count:
			d.counts[e.Name] += e.N
		}
	}
}

func (d *daemon) tick(after time.Duration) {
	d.now += after
	d.step(event.Tick{})
}

func (d *daemon) gainDuty(epoch uint64, ledger []byte) {
	d.trusted, d.epoch = true, epoch
	d.step(event.DutyGained{Duty: dutyName(), Epoch: epoch, Ledger: ledger})
}

func dutyName() string { return wire.PrefixRolloutDuty + rolloutName }

// finishRequest ends the i-th running request.
func (d *daemon) finishRequest(i int, kind kinds.Kind, versions ...uint64) {
	r := d.requests[i]
	d.requests = append(d.requests[:i:i], d.requests[i+1:]...)
	done := event.RequestDone{Request: r.Request, Sample: r.Sample, Kind: kind, GeneratedTokens: 1}
	for _, v := range versions {
		done.Versions = append(done.Versions, event.VersionRun{Version: v, Tokens: 1})
	}
	d.step(done)
}

// finishPack ends the first PackLot, with one block if kind is "".
func (d *daemon) finishPack(kind kinds.Kind) event.PackLot {
	p := d.packs[0]
	d.packs = d.packs[1:]
	packed := event.LotPacked{Lot: p.Lot, Count: len(p.Samples), Checksum: "c", Kind: kind}
	if kind == "" {
		packed.Blocks = []event.BlockRef{{Name: blockName(p.Lot), Samples: len(p.Samples)}}
	}
	d.step(packed)
	return p
}

func blockName(lot event.LotRef) string {
	return "Blocks/" + lot.Rollout + "/" + string(mustJSON(lot))
}

// call calls the holder and returns its answer, false if there is none yet.
func (d *daemon) call(id uint64, name string, call wire.RolloutCall) (event.AnswerDuty, bool) {
	if call.Organisation == "" {
		call.Organisation = "andina"
	}
	d.step(event.DutyAsked{From: "h2", ID: id, Duty: dutyName(), Call: name, Body: mustJSON(call)})
	a, ok := d.answers[id]
	return a, ok
}

func (d *daemon) askLot(id uint64, consumer string, cursor uint64) (event.AnswerDuty, bool) {
	return d.call(id, wire.AskLot, wire.RolloutCall{Lot: wire.LotAsk{Consumer: consumer, Cursor: cursor}})
}

func (d *daemon) publish(id uint64, consumer string, version uint64) (event.AnswerDuty, bool) {
	return d.call(id, wire.AskPublish, wire.RolloutCall{Publish: wire.Publish{Consumer: consumer, Version: version}})
}

// storeWrites confirms every ledger write to the component and returns the last ledger.
func (d *daemon) storeWrites() []byte {
	var last []byte
	for len(d.writes) > 0 {
		w := d.writes[0]
		d.writes = d.writes[1:]
		last = w.Ledger
		d.step(event.LedgerWritten{Duty: w.Duty, Epoch: w.Epoch, Seq: w.Seq})
	}
	return last
}

// buildLots finishes all requests with one version, and all packs and writes, until no request or pack is left. It
// returns the last ledger written.
func (d *daemon) buildLots(version uint64) []byte {
	var ledger []byte
	d.tick(time.Millisecond)
	for len(d.requests) > 0 || len(d.packs) > 0 {
		if len(d.requests) > 0 {
			d.finishRequest(0, "", version)
		}
		if len(d.packs) > 0 {
			d.finishPack("")
		}
		if l := d.storeWrites(); l != nil {
			ledger = l
		}
	}
	return ledger
}

func decodeGrant(a event.AnswerDuty) wire.LotGrant {
	var g wire.LotGrant
	if a.Kind == "" {
		_ = json.Unmarshal(a.Body, &g)
	}
	return g
}
