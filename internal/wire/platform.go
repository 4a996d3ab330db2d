package wire

// Paths of the platform's other interfaces.
const (
	PathEndpoints = "/endpoints"       // GET EndpointList (lagging)
	PathOrder     = "/endpoints/order" // POST EndpointOrder, answered by OrderReply
	PathUsage     = "/usage"           // POST UsageReport
	PathWeights   = "/weights"         // POST WeightRead: the weight store, rate-limited
	PathFaults    = "/faults"          // POST Faults (stand-in only)
	PathCalls     = "/calls"           // GET Calls (stand-in only)
)

// EndpointKind says what an endpoint is.
type EndpointKind string

// The kinds of endpoint.
const (
	Engine  EndpointKind = "Engine"
	Service EndpointKind = "Service"
)

// Price says how an endpoint is paid.
type Price string

// The price classes. The platform may reclaim a cheap endpoint at a few seconds' notice.
const (
	OnDemand Price = "OnDemand"
	Cheap    Price = "Cheap"
)

// EndpointState is the state that the platform's list shows.
type EndpointState string

// The states of an endpoint.
const (
	Starting EndpointState = "Starting"
	Live     EndpointState = "Live"
	Leaving  EndpointState = "Leaving"
)

// Endpoint is one entry of the platform's lagging list. Incarnation changes when the same name starts again.
type Endpoint struct {
	Name          string
	Incarnation   string
	Kind          EndpointKind
	Zone          string
	Address       string // host:port
	Price         Price
	State         EndpointState
	Model         string
	Service       string // name of the service, for Kind Service
	ChecksFencing bool
	Slots         int            `json:",omitempty" msgpack:",omitempty"` // requests that run at once, 0 when not told
	Weights       []ModelVersion `json:",omitempty" msgpack:",omitempty"` // models held, for engines of several
}

// ModelVersion is a model that an engine holds and the version of its weights.
type ModelVersion struct {
	Model   string
	Version uint64
}

// VersionOf returns the version of a model's weights that the endpoint is known to hold, 0 for none.
func (e *Endpoint) VersionOf(model string) uint64 {
	for _, w := range e.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// EndpointList is the platform's list as of Revision; it lags behind the truth.
type EndpointList struct {
	Revision  uint64
	Endpoints []Endpoint
}

// EndpointOrder asks the platform to start or stop an endpoint. The same OrderID has effect at most once.
type EndpointOrder struct {
	OrderID  string
	Duty     string
	Holder   string
	Epoch    uint64
	Action   string // Start, Stop
	Zone     string
	Price    Price
	Kind     EndpointKind
	Model    string
	Endpoint string // for Stop
	Count    int    `json:",omitempty"` // endpoints wanted in all, for platforms that take a number
}

// OrderReply answers an EndpointOrder. Kind is NoneToBeHad, Stale or "".
type OrderReply struct {
	Accepted bool
	Kind     string
	Endpoint string
}

// UsageFigure is one organisation's tokens in one window.
type UsageFigure struct {
	Organisation    string
	Requests        uint64
	PromptTokens    uint64
	CachedTokens    uint64
	GeneratedTokens uint64
	LateTokens      uint64 // tokens that belong to an earlier, already closed window
}

// UsageReport is the frozen figure of one window. Window is its number since the epoch of the windows' length.
type UsageReport struct {
	ReportID string
	Window   uint64
	Holder   string
	Epoch    uint64
	Figures  []UsageFigure
}

// WeightRead asks the weight store for a read slot for one engine's swap.
type WeightRead struct {
	Model   string
	Version uint64
}

// Faults are what the platform's stand-in can be told to do wrong.
type Faults struct {
	Outage        bool
	SlowMS        int
	LoseAnswers   int    // next writes whose answer is lost after taking effect
	LosePrefix    string // limits LoseAnswers to names with this prefix; "usage" and "order" name those interfaces
	ListLagMS     int
	NoneToBeHad   bool
	ReclaimZone   string // reclaim every cheap endpoint of this zone now
	LiveAfterStop bool   // keep showing stopped endpoints as live
	Flap          bool   // show leaving endpoints as live on every second list
}

// Calls counts the platform's calls since its start, by interface, and what its stand-in recorded.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Orders  []EndpointOrder
	Reports []UsageReport
	Cost    float64 // price units spent on endpoints
}
