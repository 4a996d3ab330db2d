package wire

// Paths of the trainers' API on the callers' listener; {name} is the rollout's name.
const (
	PathRollouts = "/v1/rollouts/" // prefix of all paths
	CallLots     = "lots"          // POST /v1/rollouts/{name}/lots: LotAsk, answered by Lot
	CallVersions = "versions"      // POST /v1/rollouts/{name}/versions: Publish, answered by Published
	CallRelease  = "release"       // POST /v1/rollouts/{name}/release: Release
)

// PrefixRollouts is the prefix of the objects that hold RolloutSpec values as JSON.
const PrefixRollouts = "Rollouts/"

// RolloutSpec is the specification of a rollout, created by an operator for a trainer. It never changes once created.
type RolloutSpec struct {
	Name            string
	Organisation    string
	Model           string
	Scorer          string // name of the plain service that scores samples; "" for none
	Lots            uint64 // number of lots; 0 for no limit
	Groups          int    // groups per lot
	SamplesPerGroup int
	SpareGroups     int
	MaxTokens       int
	// MaxStaleness is how many versions any version in a sample may lag behind the newest at hand-over.
	MaxStaleness int
	SealAhead    int // number of lots that may be sealed before they are requested
	Prompts      []string
	// HedgeMultiple hedges a sample that runs longer than this multiple of its lot's median time; 0 for the default,
	// negative for never.
	HedgeMultiple float64
}

// LotAsk requests the lot after Cursor and acknowledges that the consumer holds all lots up to Cursor. Attempt is the
// attempt that the consumer holds of lot Cursor, 0 if it does not say.
type LotAsk struct {
	Consumer string
	Cursor   uint64
	Attempt  uint64
}

// Lot is a sealed lot with all its samples. Checksum is the xxhash of the samples' JSON array, in hex. Replaces lists
// voided attempts at the same lot: a consumer that received one of them discards it.
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

// Sample is one finished sample. Versions are the weight versions that the engine reported, in order.
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

// Publish announces that a new version of the rollout's model is in the weight store. Cursor acknowledges lots as in
// LotAsk; when it does, the publish need not wait until the hand-over of those lots has ended.
type Publish struct {
	Consumer string
	Version  uint64
	Cursor   uint64
}

// Published answers a Publish once the version is recorded.
type Published struct{ Version uint64 }

// Release ends the consumer's hold on the rollout, so that another consumer may take it over. Cursor acknowledges the
// lots that the consumer holds, as in LotAsk.
type Release struct {
	Consumer string
	Cursor   uint64
}

// ScoreAsk asks a scorer to score samples.
type ScoreAsk struct{ Samples []ScoreItem }

// ScoreItem is one sample to score.
type ScoreItem struct {
	ID     string
	Prompt string
	Text   string
}

// ScoreReply holds the scores in the order of the samples.
type ScoreReply struct{ Scores []float64 }

// PathScore is the path of a scorer's API: POST ScoreAsk, answered by ScoreReply.
const PathScore = "/score"

// Prompt returns the prompt of one group of a lot. Lots count from 1; spare groups follow the required ones.
func (s *RolloutSpec) Prompt(lot uint64, group int) string {
	if len(s.Prompts) == 0 {
		return ""
	}
	i := (lot-1)*uint64(s.Groups) + uint64(group)
	return s.Prompts[i%uint64(len(s.Prompts))]
}

// PrefixRolloutDuty is the prefix of the duties that run the rollouts.
const PrefixRolloutDuty = "Rollout."

// Calls between daemons to the holder of a rollout's duty. The body of each is a RolloutCall.
const (
	AskLot     = "Lot"     // answered by LotGrant
	AskPublish = "Publish" // answered by Published
	AskRelease = "Release"
	AskBlock   = "Block"  // answered by the block's value
	AskNewest  = "Newest" // tells that Publish.Version was published by another rollout of the same model
)

// RolloutCall is a trainer's call with the organisation of its key. Only the field of the call itself is set.
type RolloutCall struct {
	Organisation string
	Lot          LotAsk
	Publish      Publish
	Release      Release
	Block        string
}

// LotGrant tells the daemon that serves the trainer which blocks to hand over. The daemon must start to do so within
// ValidMS of its request.
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

// GrantBlock identifies one block of a granted lot, with its checksum.
type GrantBlock struct {
	Name     string
	Checksum string
}

// Probe asks a host what it knows of a duty. The duty's last holder sends it while the store is down.
type Probe struct {
	ID   uint64
	Duty string
}

// ProbeReply answers a Probe with the highest epoch of the duty that the host knows and the age of its own last
// answer from the store, -1 if it had none since its start.
type ProbeReply struct {
	ID        uint64
	Duty      string
	Epoch     uint64
	ContactMS int64
}
