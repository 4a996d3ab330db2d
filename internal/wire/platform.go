package wire

// Paths of the platform's other interfaces.
const (
	PathEndpoints = "/endpoints"       // GET EndpointList, which lags
	PathOrder     = "/endpoints/order" // POST EndpointOrder, answered by OrderReply
	PathUsage     = "/usage"           // POST UsageReport
	PathWeights   = "/weights"         // POST WeightRead: the weight store, rate-limited
	PathFaults    = "/faults"          // POST Faults (simulated platform only)
	PathCalls     = "/calls"           // GET Calls (simulated platform only)
)

// EndpointKind distinguishes engines from plain services.
type EndpointKind string

// Kinds of endpoints.
const (
	Engine  EndpointKind = "Engine"
	Service EndpointKind = "Service"
)

// Price is the price class of an endpoint.
type Price string

// Price classes. The platform may reclaim a cheap endpoint at a few seconds' notice.
const (
	OnDemand Price = "OnDemand"
	Cheap    Price = "Cheap"
)

// EndpointState is an endpoint's state as shown in the platform's list.
type EndpointState string

// States of an endpoint.
const (
	Starting EndpointState = "Starting"
	Live     EndpointState = "Live"
	Leaving  EndpointState = "Leaving"
)

// Endpoint is one entry of the platform's endpoint list, which lags. Incarnation changes when an endpoint of the same
// name starts again.
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
	Software      string `json:",omitempty" msgpack:",omitempty"` // version of its software, which has no order; "" if not reported
	ChecksFencing bool
	Slots         int            `json:",omitempty" msgpack:",omitempty"` // requests that run at once, 0 if not reported
	Weights       []ModelVersion `json:",omitempty" msgpack:",omitempty"` // models held, for engines with several
}

// ModelVersion is a model that an engine holds, with its weight version.
type ModelVersion struct {
	Model   string
	Version uint64
}

// VersionOf returns the weight version of a model that the endpoint is known to hold, 0 for none.
func (e *Endpoint) VersionOf(model string) uint64 {
	for _, w := range e.Weights {
		if w.Model == model {
			return w.Version
		}
	}
	return 0
}

// EndpointList is the platform's endpoint list as of Revision; it lags behind the endpoints' actual state.
type EndpointList struct {
	Revision  uint64
	Endpoints []Endpoint
}

// EndpointOrder asks the platform to start or stop an endpoint. Orders with the same OrderID take effect at most
// once.
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
	Count    int    `json:",omitempty"` // total number of endpoints wanted, for platforms that are ordered a number
}

// OrderReply answers an EndpointOrder. Kind is NoneToBeHad, Stale or "".
type OrderReply struct {
	Accepted bool
	Kind     string
	Endpoint string
}

// UsageFigure is the usage of one organisation in one window.
type UsageFigure struct {
	Organisation    string
	Requests        uint64
	PromptTokens    uint64
	CachedTokens    uint64
	GeneratedTokens uint64
	LateTokens      uint64 // tokens that belong to an earlier window that was already closed
}

// UsageReport is the frozen usage of one window. Window is its number, counted from the Unix epoch in window lengths.
type UsageReport struct {
	ReportID string
	Window   uint64
	Holder   string
	Epoch    uint64
	Figures  []UsageFigure
}

// WeightRead asks the weight store for a slot to read the weights for one engine's swap.
type WeightRead struct {
	Model   string
	Version uint64
}

// Faults are the faults that the simulated platform can be told to produce.
type Faults struct {
	Outage        bool
	SlowMS        int
	LoseAnswers   int    // number of next writes whose answer is lost after they take effect
	LosePrefix    string // limits LoseAnswers to names with this prefix; "usage" and "order" select those interfaces
	ListLagMS     int
	NoneToBeHad   bool
	ReclaimZone   string // reclaim every cheap endpoint of this zone now
	LiveAfterStop bool   // list stopped endpoints as live
	Flap          bool   // list leaving endpoints as live in every second list
}

// Calls counts the calls to the platform since its start, by interface, and holds what the simulated platform recorded.
type Calls struct {
	Reads   uint64
	Writes  uint64
	Watches uint64
	Orders  []EndpointOrder
	Reports []UsageReport
	Cost    float64 // price units spent on endpoints
}
