package wire

// Paths of the endpoints' API. A plain service has only its own paths.
const (
	PathGenerate = "/v1/generate"  // POST Generate, answered by Segment lines
	PathCancel   = "/v1/cancel"    // POST Cancel
	PathLoad     = "/load"         // GET EndpointLoad
	PathState    = "/state"        // GET EngineState
	PathSwap     = "/orders"       // POST SwapOrder, answered by SwapReply
	PathEvents   = "/cache/events" // GET ?After= CacheEvents
	PathExport   = "/kv/export"    // POST KVRef, answered by KVBlob
	PathImport   = "/kv/import"    // POST KVBlob
)

// Headers between daemons and endpoints.
const (
	HeaderRequest      = "X-Figshift-Request"      // request id, ours
	HeaderAttempt      = "X-Figshift-Attempt"      // attempt id, ours
	HeaderOrganisation = "X-Figshift-Organisation" // organisation, ours; a caller's own is dropped
	HeaderNotRun       = "X-Not-Run"               // "true" on an endpoint's refusal before any work
	HeaderLoad         = "X-Endpoint-Load"         // tokens queued and running, on each answer
	HeaderLeaving      = "X-Endpoint-Leaving"      // "true" on each answer of an endpoint that takes no new work
)

// Generate is a generation request. Held are the tokens that a resumed answer has already
// delivered; the engine continues behind them. Priority is higher for more urgent work.
type Generate struct {
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
	Priority  int
	Held      []string `json:",omitempty"`
}

// Segment is one line of a generation's answer. The last line has Done set and the counts.
// A stream that ends without such a line is not whole.
type Segment struct {
	Tokens          []string `json:",omitempty"`
	Version         uint64   // weight version that produced Tokens; 0 when the engine does not say
	Done            bool     `json:",omitempty"`
	PromptTokens    int      `json:",omitempty"`
	CachedTokens    int      `json:",omitempty"`
	GeneratedTokens int      `json:",omitempty"`
	Error           string   `json:",omitempty"`
}

// Cancel stops the work of one attempt.
type Cancel struct{ Attempt string }

// EndpointLoad is an endpoint's own report, which lags. AgeMS is the report's age.
type EndpointLoad struct {
	QueuedTokens  int
	RunningTokens int
	Running       int
	AgeMS         int
	Leaving       bool `json:",omitempty"` // takes no new work
}

// EngineState is the engine's true state now.
type EngineState struct {
	Endpoint       string
	Incarnation    string
	Model          string
	Version        uint64
	Role           string
	Fencing        uint64 // highest fencing number seen
	ChecksFencing  bool
	LastOrder      string
	LastOrderState string // Accepted, Done, Failed
}

// SwapOrder tells an engine to load a model version or change its role.
type SwapOrder struct {
	OrderID string
	Duty    string
	Fencing uint64
	Model   string
	Version uint64
	Role    string
}

// SwapReply answers a SwapOrder; Accepted does not mean that the engine has swapped.
type SwapReply struct {
	Accepted bool
	Reason   string
	Fencing  uint64
}

// CacheEvent says that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Seq    uint64
	Prefix uint64
	Added  bool
}

// CacheEvents is a run of events; Seq numbers that are missing were lost.
type CacheEvents struct{ Events []CacheEvent }

// KVRef names a prompt whose KV cache is exported.
type KVRef struct{ Prompt string }

// KVBlob is an exported KV cache of a prompt.
type KVBlob struct {
	Prompt  string
	Version uint64
	Data    []byte
}
