package wire

// Paths of the endpoints' API. Plain services have only paths of their own.
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
	HeaderRequest      = "X-Figshift-Request"      // request id, set by the daemon
	HeaderAttempt      = "X-Figshift-Attempt"      // attempt id, set by the daemon
	HeaderOrganisation = "X-Figshift-Organisation" // organisation, set by the daemon; a value sent by the caller is dropped
	HeaderNotRun       = "X-Not-Run"               // "true" when an endpoint refuses a request before doing any work
	HeaderLoad         = "X-Endpoint-Load"         // queued and running tokens, on each answer
	HeaderLeaving      = "X-Endpoint-Leaving"      // "true" on each answer of an endpoint that accepts no new work
	HeaderLimit        = "X-Endpoint-Limit"        // requests and polls a second that the endpoint takes from all daemons together
)

// Generate is a generation request. Held are the tokens that a resumed answer has already delivered; the engine
// continues after them. A higher Priority is more urgent.
type Generate struct {
	Model     string
	Prompt    string
	MaxTokens int
	Seed      int64
	Priority  int
	Held      []string `json:",omitempty"`
}

// Segment is one line of a generation's answer. The last line has Done set and the token counts. A stream that ends
// without such a line is incomplete.
type Segment struct {
	Tokens          []string `json:",omitempty"`
	Version         uint64   // weight version that generated Tokens; 0 if the engine does not report it
	Done            bool     `json:",omitempty"`
	PromptTokens    int      `json:",omitempty"`
	CachedTokens    int      `json:",omitempty"`
	GeneratedTokens int      `json:",omitempty"`
	Error           string   `json:",omitempty"`
}

// Cancel stops the work of one attempt.
type Cancel struct{ Attempt string }

// EndpointLoad is the load that an endpoint reports for itself. It lags; AgeMS is the report's age.
type EndpointLoad struct {
	QueuedTokens  int
	RunningTokens int
	Running       int
	AgeMS         int
	Leaving       bool `json:",omitempty"` // accepts no new work
}

// EngineState is the engine's actual current state.
type EngineState struct {
	Endpoint       string
	Incarnation    string
	Model          string
	Version        uint64
	Role           string
	Fencing        uint64 // highest fencing number that the engine has received
	ChecksFencing  bool
	LastOrder      string
	LastOrderState string // Accepted, Done, Failed
}

// SwapOrder orders an engine to load a weight version or to change its role.
type SwapOrder struct {
	OrderID string
	Duty    string
	Fencing uint64
	Model   string
	Version uint64
	Role    string
}

// SwapReply answers a SwapOrder. Accepted does not mean that the engine has completed the swap.
type SwapReply struct {
	Accepted bool
	Reason   string
	Fencing  uint64
}

// CacheEvent reports that a prompt prefix entered or left an engine's cache.
type CacheEvent struct {
	Seq    uint64
	Prefix uint64
	Added  bool
}

// CacheEvents is a sequence of events; gaps in the Seq numbers are lost events.
type CacheEvents struct{ Events []CacheEvent }

// KVRef identifies the prompt whose KV cache is exported.
type KVRef struct{ Prompt string }

// KVBlob is the exported KV cache of a prompt.
type KVBlob struct {
	Prompt  string
	Version uint64
	Data    []byte
}
