package block

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

// Texts collects the answers to samples' requests until their lot is dropped.
// It implements call.Samples. Its methods may be called concurrently.
type Texts struct {
	mu      sync.Mutex
	specs   map[string]*wire.RolloutSpec
	answers map[event.LotRef]map[uint64]*strings.Builder // by request
}

func (t *Texts) addSpec(data []byte) {
	spec := &wire.RolloutSpec{}
	if err := json.Unmarshal(data, spec); err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.specs == nil {
		t.specs = map[string]*wire.RolloutSpec{}
	}
	t.specs[spec.Name] = spec
}

func (t *Texts) removeSpec(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.specs, name)
}

// HasRollout reports whether this daemon knows a rollout of this name.
func (t *Texts) HasRollout(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.specs[name] != nil
}

func (t *Texts) openLot(lot event.LotRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answers == nil {
		t.answers = map[event.LotRef]map[uint64]*strings.Builder{}
	}
	if t.answers[lot] == nil {
		t.answers[lot] = map[uint64]*strings.Builder{}
	}
}

func (t *Texts) dropLot(lot event.LotRef) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.answers, lot)
}

func (t *Texts) dropAnswer(lot event.LotRef, request uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.answers[lot], request)
}

// Generate returns the request for a sample, false if its lot is not open on this daemon.
func (t *Texts) Generate(ref event.SampleRef) (wire.Generate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	spec, ok := t.specs[ref.Rollout]
	if !ok || t.answers[lotRef(ref)] == nil {
		return wire.Generate{}, false
	}
	return wire.Generate{
		Model: spec.Model, Prompt: spec.Prompt(ref.Lot, ref.Group), MaxTokens: spec.MaxTokens,
		Seed: int64(xxhash.Sum64String(SampleID(ref)) >> 1),
	}, true
}

// AppendSegment appends the next segment of a request's answer. It is ignored if the lot is not open.
func (t *Texts) AppendSegment(ref event.SampleRef, request uint64, segment wire.Segment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	texts := t.answers[lotRef(ref)]
	if texts == nil {
		return
	}
	text := texts[request]
	if text == nil {
		text = &strings.Builder{}
		texts[request] = text
	}
	for _, token := range segment.Tokens {
		text.WriteString(token)
	}
}

// samples returns the finished samples with their texts, false if the specification or a text is missing.
func (t *Texts) samples(lot event.LotRef, finished []event.FinishedSample) ([]wire.Sample, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	spec, texts := t.specs[lot.Rollout], t.answers[lot]
	if spec == nil || texts == nil {
		return nil, false
	}
	all := make([]wire.Sample, len(finished))
	for i, f := range finished {
		text := texts[f.Request]
		if text == nil {
			return nil, false
		}
		all[i] = wire.Sample{
			ID: SampleID(f.Ref), Group: f.Ref.Group, Index: f.Ref.Index,
			Prompt: spec.Prompt(f.Ref.Lot, f.Ref.Group), Text: text.String(),
			Tokens: f.Tokens, Versions: f.Versions, Score: f.Score, Scored: f.Scored,
		}
	}
	return all, true
}

func lotRef(ref event.SampleRef) event.LotRef {
	return event.LotRef{Rollout: ref.Rollout, Lot: ref.Lot, Attempt: ref.Attempt}
}

// SampleID returns a sample's ID: rollout, lot, attempt, group and index. It may be called concurrently.
func SampleID(ref event.SampleRef) string {
	return fmt.Sprintf("%s/%d/%d/%d/%d", ref.Rollout, ref.Lot, ref.Attempt, ref.Group, ref.Index)
}
