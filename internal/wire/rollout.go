package wire

// Paths of the trainers' API on the callers' listener; {name} is the rollout's.
const (
	PathRollouts = "/v1/rollouts/" // prefix of all
	CallLots     = "lots"          // POST /v1/rollouts/{name}/lots: LotAsk, answered by Lot
	CallVersions = "versions"      // POST /v1/rollouts/{name}/versions: Publish, answered by Published
	CallRelease  = "release"       // POST /v1/rollouts/{name}/release: Release
)

// PrefixRollouts is the prefix of the objects that hold RolloutSpec values as JSON.
const PrefixRollouts = "Rollouts/"

// RolloutSpec is what an operator creates for a trainer. It never changes once created.
type RolloutSpec struct {
	Name            string
	Organisation    string
	Model           string
	Scorer          string // name of the plain service that scores samples; "" for none
	Lots            uint64 // number of lots; 0 for no end
	Groups          int    // groups of a lot
	SamplesPerGroup int
	SpareGroups     int
	MaxTokens       int
	MaxStaleness    int // greatest age in versions of any of a sample's versions at hand-over
	SealAhead       int // lots that may be sealed before they are asked for
	Prompts         []string
	HedgeMultiple   float64 // a sample slower than this multiple of its lot's median is hedged; 0 for the default, below 0 for never
}

// LotAsk asks for the lot after Cursor ("I hold lots up to Cursor"), which acknowledges all up to Cursor.
// Attempt names the attempt that the consumer holds of lot Cursor, 0 when it does not say.
type LotAsk struct {
	Consumer string
	Cursor   uint64
	Attempt  uint64
}

// Lot is a sealed lot, whole. Checksum is the xxhash of the samples' JSON array, in hex.
// Replaces names voided attempts at the same lot: a consumer that received one of them drops it.
type Lot struct {
	Rollout  string
	Lot      uint64
	Attempt  uint64
	Replaces []uint64 `json:",omitempty"`
	Newest   uint64   // newest published version at hand-over
	Count    int
	Checksum string
	Samples  []Sample
}

// Sample is one finished sample. Versions are those that the engine reported, in order.
type Sample struct {
	ID       string // rollout/lot/attempt/group/index
	Group    int
	Index    int
	Prompt   string
	Text     string
	Tokens   int
	Versions []uint64
	Score    float64
	Scored   bool
}

// Publish says that a new version of the rollout's model is in the weight store. Cursor acknowledges lots as in
// LotAsk; a publish that does so need not wait for the hand-over of those lots to have ended.
type Publish struct {
	Consumer string
	Version  uint64
	Cursor   uint64
}

// Published answers a Publish once it is recorded.
type Published struct{ Version uint64 }

// Release gives up the consumer's hold on the rollout, so that another consumer may take it.
// Cursor acknowledges the lots that the consumer holds, as in LotAsk.
type Release struct {
	Consumer string
	Cursor   uint64
}

// ScoreAsk asks a scorer for the scores of samples.
type ScoreAsk struct{ Samples []ScoreItem }

// ScoreItem is one sample to be scored.
type ScoreItem struct {
	ID     string
	Prompt string
	Text   string
}

// ScoreReply holds the scores in the order of the samples.
type ScoreReply struct{ Scores []float64 }

// PathScore is the scorers' path: POST ScoreAsk, answered by ScoreReply.
const PathScore = "/score"

// Prompt returns the prompt of one group of a lot; lots count from 1, spare groups follow the needed ones.
func (s *RolloutSpec) Prompt(lot uint64, group int) string {
	if len(s.Prompts) == 0 {
		return ""
	}
	i := (lot-1)*uint64(s.Groups) + uint64(group)
	return s.Prompts[i%uint64(len(s.Prompts))]
}

// PrefixRolloutDuty is the prefix of the duties that keep the rollouts.
const PrefixRolloutDuty = "Rollout."

// Calls to the holder of a rollout, between daemons. The body of each is a RolloutCall.
const (
	AskLot     = "Lot"     // answered by LotGrant
	AskPublish = "Publish" // answered by Published
	AskRelease = "Release"
	AskBlock   = "Block"  // answered by the block's value
	AskNewest  = "Newest" // Publish.Version was published by another rollout of the model
)

// RolloutCall is a trainer's call with the organisation of its key; the call's own field is set.
type RolloutCall struct {
	Organisation string
	Lot          LotAsk
	Publish      Publish
	Release      Release
	Block        string
}

// LotGrant tells the daemon before the trainer which blocks to hand over. It must not begin to do so later
// than ValidMS after it asked.
type LotGrant struct {
	Lot      uint64
	Attempt  uint64
	Replaces []uint64
	Newest   uint64
	Count    int
	Checksum string
	Blocks   []GrantBlock
	ValidMS  int64
}

// GrantBlock names one block of a granted lot with its checksum.
type GrantBlock struct {
	Name     string
	Checksum string
}

// Probe asks a host what it knows of a duty, for the last holder of the duty in a store outage.
type Probe struct {
	ID   uint64
	Duty string
}

// ProbeReply answers a Probe: the highest epoch of the duty that the host knows, and the age of its own last
// answer from the store, -1 for none since its start.
type ProbeReply struct {
	ID        uint64
	Duty      string
	Epoch     uint64
	ContactMS int64
}
