package wire

// Message is one frame between daemons; exactly one field is set. Unknown fields are ignored.
type Message struct {
	Hello     *Hello       `msgpack:",omitempty"`
	Proof     *Proof       `msgpack:",omitempty"`
	Beat      *Beat        `msgpack:",omitempty"`
	Push      *Push        `msgpack:",omitempty"`
	Pull      *Pull        `msgpack:",omitempty"`
	Ask       *Ask         `msgpack:",omitempty"`
	Reply     *Reply       `msgpack:",omitempty"`
	Endpoints *EndpointSet `msgpack:",omitempty"`

	News  *JobNews   `json:",omitempty" msgpack:",omitempty"`
	Freed *DutyFreed `json:",omitempty" msgpack:",omitempty"`

	// Crashes tells of requests under which endpoints crashed.
	Crashes []CrashNews `json:",omitempty" msgpack:",omitempty"`

	// Streams tells at which software versions callers' streams began, or asks.
	Streams []StreamNews `json:",omitempty" msgpack:",omitempty"`

	// Links tells that the sender has lost its links to endpoints or has them back.
	Links *Links `json:",omitempty" msgpack:",omitempty"`

	Probe      *Probe      `msgpack:",omitempty"`
	ProbeReply *ProbeReply `msgpack:",omitempty"`
}

// Hello opens a connection. Challenge is random and is answered by Proof.
type Hello struct {
	Version     int
	Host        string
	Zone        string
	Incarnation string
	Address     string // of the sender's peer listener, host:port
	Challenge   []byte
	Compressed  bool `json:",omitempty" msgpack:",omitempty"` // the sender reads compressed frames
}

// Proof is the HMAC of the other side's challenge, keyed with the shared secret.
type Proof struct{ MAC []byte }

// DutyHeld is a duty that the sender holds, with its epoch and the version of its object as last written.
type DutyHeld struct {
	Duty    string
	Epoch   uint64
	Version uint64
}

// Served is the service of one organisation in one class by the sender: tokens served and requests refused since the
// sender's start, and what is queued and running now.
type Served struct {
	Organisation string
	Class        string
	Tokens       uint64
	Queued       int    `msgpack:",omitempty"`
	Running      int    `msgpack:",omitempty"`
	Refused      uint64 `msgpack:",omitempty"`
}

// LeaveMark marks an endpoint incarnation that accepts no new work. It is never withdrawn.
type LeaveMark struct {
	Endpoint    string
	Incarnation string
}

const (
	// HeardUnitMS is the unit of Beat.Heard in milliseconds.
	HeardUnitMS = 50
	// HeardUnknown is the value in Beat.Heard for a host of which nothing is known.
	HeardUnknown = 255
)

// Beat is a daemon's periodic heartbeat and state report.
type Beat struct {
	Seq            uint64
	ConfigRevision uint64
	KeysRevision   uint64
	EvidenceAgeMS  int64 // age of the last contact with the store, the sender's own or relayed; -1 for none
	OwnContactMS   int64 // age of the sender's own last contact with the store; -1 for none
	Ready          bool
	Stopping       bool
	Picked         bool // the sender itself chose to keep this connection, not only because the receiver does
	// Complete reports that the sender has the complete set of objects, read from the store or from a majority of
	// hosts.
	Complete         bool
	HostsRevision    uint64 // store revision up to which the sender knows the Hosts objects
	RolloutsRevision uint64 // store revision up to which the sender knows the Rollouts objects
	Echo             uint64 // highest Seq that the sender has received from the receiver, 0 for none
	EchoIncarnation  string // incarnation of the receiver that sent Echo
	// Heard tells, for each admitted host in the order of the names as of HostsRevision, how long ago that host is
	// known to have had no higher revisions than the sender, in units of HeardUnitMS; HeardUnknown if that is not
	// known.
	Heard   []byte       `msgpack:",omitempty"`
	Duties  []DutyHeld   `msgpack:",omitempty"`
	Served  []Served     `msgpack:",omitempty"`
	Leaving []LeaveMark  `msgpack:",omitempty"`
	Loads   []LoadReport `msgpack:",omitempty"`
	Demand  []Demand     `msgpack:",omitempty"`
	// Positions holds the highest known revision of each kind of object that every host follows.
	Positions []uint64 `json:",omitempty" msgpack:",omitempty"`
	// Ages holds, for each of Positions, the time in ms since which the store may have accepted changes that the sender doesn't
	// know; -1 if that is not known.
	Ages []int64 `json:",omitempty" msgpack:",omitempty"`
	// Jobs lists the batch jobs that the sender runs and whose results are not all listed yet.
	Jobs []JobNews `json:",omitempty" msgpack:",omitempty"`
	// Runs counts the items that the sender runs on each engine.
	Runs []EngineRuns `json:",omitempty" msgpack:",omitempty"`
	// Limits lists the limits of endpoints that the sender knows.
	Limits []EndpointLimit `json:",omitempty" msgpack:",omitempty"`
	// Crashes lists the last crashes of endpoints that the sender knows, with the requests under which they crashed.
	Crashes []CrashNews `json:",omitempty" msgpack:",omitempty"`
	// Links is the state of the sender's links to endpoints.
	Links *Links `json:",omitempty" msgpack:",omitempty"`
	// UnixMS is the time of day on the sender's own clock, in ms since the Unix epoch; 0 if not read yet.
	UnixMS int64 `json:",omitempty" msgpack:",omitempty"`
}

// Links is the state of a host's links to endpoints.
type Links struct {
	CutOff    bool  `json:",omitempty" msgpack:",omitempty"` // the host reaches hardly any endpoint
	ContactMS int64 // age of the last word from an endpoint, -1 for none
}

// EngineRuns is the number of items that one host runs on an engine.
type EngineRuns struct {
	Endpoint string
	Items    int
	GapMS    int `json:",omitempty" msgpack:",omitempty"` // mean time between two events of an item, 0 if not known
}

// EndpointLimit is the limit of one incarnation of an endpoint, for the requests of all hosts together.
type EndpointLimit struct {
	Endpoint    string
	Incarnation string
	PerSecond   float64
	Lifted      bool    `json:",omitempty" msgpack:",omitempty"` // the endpoint no longer names a limit
	AgeMS       int64   // age of the answer that shows it
	Want        float64 `json:",omitempty" msgpack:",omitempty"` // requests a second that the sender wants to send to the endpoint
	Overdraft   int     `json:",omitempty" msgpack:",omitempty"` // requests that the sender has sent beyond its share since its last heartbeat
}

// CrashNews tells that an endpoint crashed while it ran a request; with Answered, that the request was answered in full, or
// without a Digest that the endpoint lives.
type CrashNews struct {
	Organisation string `json:",omitempty" msgpack:",omitempty"`
	Digest       string `json:",omitempty" msgpack:",omitempty"` // of the request's content
	Endpoint     string `json:",omitempty" msgpack:",omitempty"`
	Incarnation  string `json:",omitempty" msgpack:",omitempty"`
	RanMS        int64  `json:",omitempty" msgpack:",omitempty"` // from the sending of the request to the crash
	AgeMS        int64  // since the crash or the answer
	Answered     bool   `json:",omitempty" msgpack:",omitempty"`
}

// StreamNews tells at which software version of a service a caller's stream began. ID is that of the caller's attempt that
// brought its first event.
type StreamNews struct {
	Organisation string
	ID           string
	Service      string `json:",omitempty" msgpack:",omitempty"`
	Software     string `json:",omitempty" msgpack:",omitempty"`
	Asked        bool   `json:",omitempty" msgpack:",omitempty"` // the sender asks the receiver for the rest
	Unknown      bool   `json:",omitempty" msgpack:",omitempty"` // the sender was asked and doesn't know the stream
}

// DutyFreed tells the other hosts that a duty was released at an epoch.
type DutyFreed struct {
	Duty  string
	Epoch uint64
}

// JobNews tells the other hosts which host runs a batch job.
type JobNews struct {
	Job         string
	Host        string
	Incarnation string
	Epoch       uint64
	Ended       bool
	Route       string `json:",omitempty" msgpack:",omitempty"`
	Items       int    `json:",omitempty" msgpack:",omitempty"`
	Next        string `json:",omitempty" msgpack:",omitempty"` // host that has copies of the texts and takes the job over
}

// LoadReport relays one endpoint's load and its actual version.
type LoadReport struct {
	Endpoint    string
	Incarnation string
	Version     uint64
	Tokens      int
	AgeMS       int64
}

// Demand is the number of tokens queued and running on the sender for one class and model.
type Demand struct {
	Model   string `msgpack:",omitempty"`
	Class   string
	Queued  int `msgpack:",omitempty"`
	Running int `msgpack:",omitempty"`
}

// Push carries the objects under Prefix that changed after store revision After, up to Revision. A receiver that
// knows the prefix up to After knows it up to Revision once it has applied them.
type Push struct {
	Prefix   string
	After    uint64
	Revision uint64
	Objects  []Object
	// Returned reports that the store has just started to answer the sender again.
	Returned bool `json:",omitempty" msgpack:",omitempty"`
	// ReturnedMS is how long ago that was, 0 when the sender does not tell.
	ReturnedMS int64 `json:",omitempty" msgpack:",omitempty"`
}

// Pull asks a peer for the objects under each of Prefixes that changed after the revision at the same index of After.
type Pull struct {
	Prefixes []string
	After    []uint64
}

// EndpointSet relays the platform's endpoint list from a host that watches the store.
type EndpointSet struct {
	Revision  uint64
	Endpoints []Endpoint
}

// UsageDelta is one daemon's usage counts since its last acknowledged delta. Seq starts at 1 for each incarnation.
type UsageDelta struct {
	Host        string
	Incarnation string
	Seq         uint64
	Window      uint64
	Figures     []UsageFigure
}

// Ask is a call to the holder of a duty. ID is unique within the sender's incarnation. Body is JSON in the form of
// the call.
type Ask struct {
	ID   uint64
	Duty string
	Call string
	Body []byte
}

// Reply answers an Ask; Kind is "" for success.
type Reply struct {
	ID   uint64
	Kind string
	Body []byte
}
