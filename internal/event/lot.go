package event

import "github.com/figshift/figshift/internal/kinds"

// LotRef identifies one attempt at one lot of a rollout. Attempt numbers increase and are never reused.
type LotRef struct {
	Rollout string
	Lot     uint64
	Attempt uint64
}

// BlockRef identifies one immutable block of packed samples. Checksum is the xxhash of its value, in hex.
type BlockRef struct {
	Name     string
	Checksum string
	Bytes    int
	Samples  int
}

// FinishedSample is a sample whose answer is complete. Request is the request whose answer was used.
type FinishedSample struct {
	Ref      SampleRef
	Request  uint64
	Tokens   int
	Versions []uint64
	Score    float64
	Scored   bool
}

// KeepRollout gives the samples' executor a rollout's specification (wire.RolloutSpec as JSON), from which it builds
// the prompts.
type KeepRollout struct{ Spec []byte }

// ForgetRollout tells the samples' executor that a rollout was removed.
type ForgetRollout struct{ Name string }

// OpenLot tells the samples' executor to collect the answers for a lot.
type OpenLot struct{ Lot LotRef }

// DropLot tells the samples' executor to discard all answers for a lot.
type DropLot struct{ Lot LotRef }

// DropAnswer tells the samples' executor to discard the answer to one request.
type DropAnswer struct {
	Lot     LotRef
	Request uint64
}

// PackLot writes a lot's samples to blocks, in the given order; LotPacked answers.
type PackLot struct {
	Lot     LotRef
	Samples []FinishedSample
}

// LotPacked ends a PackLot. Checksum is the xxhash of the samples' JSON array, in hex. Kind is "" when all blocks are
// stored.
type LotPacked struct {
	Lot      LotRef
	Blocks   []BlockRef
	Count    int
	Checksum string
	Kind     kinds.Kind
}

// DeleteBlocks deletes blocks that no ledger refers to any more.
type DeleteBlocks struct{ Names []string }

// DeleteLot deletes all blocks of an attempt when their names are not known, for example after its holder crashed.
type DeleteLot struct{ Lot LotRef }

// BlockLeft reports that a block could not be deleted.
type BlockLeft struct{ Name string }

// ServeBlock reads a block for the daemon that requested it; BlockRead answers.
type ServeBlock struct {
	To   string
	ID   uint64
	Name string
}

// BlockRead ends a ServeBlock.
type BlockRead struct {
	To    string
	ID    uint64
	Name  string
	Value []byte
	Kind  kinds.Kind
}

// ScoreGroup asks a plain service to score the samples of one group; GroupScored answers with the same Turn.
type ScoreGroup struct {
	Lot     LotRef
	Group   int
	Turn    int
	Service string
	Address string // host:port
	Samples []FinishedSample
}

// GroupScored ends a ScoreGroup. Scores are in the order of the samples.
type GroupScored struct {
	Lot    LotRef
	Group  int
	Turn   int
	Scores []float64
	Kind   kinds.Kind
}

// SampleSent is raised when an attempt of a sample's request is sent to an endpoint.
type SampleSent struct {
	Request  uint64
	Endpoint string
}

// VersionPublished is raised when a newer version of a model is known to be published.
type VersionPublished struct {
	Model   string
	Version uint64
}

func (KeepRollout) isEffect()     {}
func (ForgetRollout) isEffect()   {}
func (OpenLot) isEffect()         {}
func (DropLot) isEffect()         {}
func (DropAnswer) isEffect()      {}
func (PackLot) isEffect()         {}
func (LotPacked) isEvent()        {}
func (DeleteBlocks) isEffect()    {}
func (DeleteLot) isEffect()       {}
func (BlockLeft) isEvent()        {}
func (ServeBlock) isEffect()      {}
func (BlockRead) isEvent()        {}
func (ScoreGroup) isEffect()      {}
func (GroupScored) isEvent()      {}
func (SampleSent) isEvent()       {}
func (VersionPublished) isEvent() {}
