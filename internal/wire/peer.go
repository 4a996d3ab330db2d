package wire

// Message is one frame between daemons; exactly one field is set. Unknown fields pass.
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

// Proof is the HMAC over the other side's challenge with the shared secret.
type Proof struct{ MAC []byte }

// DutyHeld names a duty that the sender holds, with its epoch and the version of its object as last written.
type DutyHeld struct {
	Duty    string
	Epoch   uint64
	Version uint64
}

// Served is what one organisation was served in one class by the sender since its start, and has queued and running now.
type Served struct {
	Organisation string
	Class        string
	Tokens       uint64
	Queued       int    `msgpack:",omitempty"`
	Running      int    `msgpack:",omitempty"`
	Refused      uint64 `msgpack:",omitempty"`
}

// LeaveMark says that an endpoint incarnation takes no new work; it is final.
type LeaveMark struct {
	Endpoint    string
	Incarnation string
}

const (
	// HeardUnitMS is the unit of Beat.Heard in milliseconds.
	HeardUnitMS = 50
	// HeardNever is the value in Beat.Heard of a host of which nothing is known.
	HeardNever = 255
)

// Beat is the periodic state of one daemon.
type Beat struct {
	Seq            uint64
	ConfigRevision uint64
	KeysRevision   uint64
	EvidenceAgeMS  int64 // age of the last contact with the store, own or relayed; -1 for none
	OwnContactMS   int64 // age of the sender's own contact with the store; -1 for none
	Ready          bool
	Stopping       bool
	Picked         bool // the sender keeps its connection by itself, not because the receiver does
	// Complete says that the sender's objects are whole: read from the store, or from a majority of the hosts.
	Complete         bool
	HostsRevision    uint64 // store revision up to which the sender knows the Hosts objects
	RolloutsRevision uint64 // store revision up to which the sender knows the Rollouts objects
	Echo             uint64 // highest Seq that the sender has from the receiver, 0 for none
	EchoIncarnation  string // incarnation of the receiver that sent Echo
	// Heard tells, for each admitted host in the order of the names as of HostsRevision, how long ago it is known to
	// have had no higher revisions than the sender, in units of HeardUnitMS; HeardNever for not at all.
	Heard   []byte       `msgpack:",omitempty"`
	Duties  []DutyHeld   `msgpack:",omitempty"`
	Served  []Served     `msgpack:",omitempty"`
	Leaving []LeaveMark  `msgpack:",omitempty"`
	Loads   []LoadReport `msgpack:",omitempty"`
	Demand  []Demand     `msgpack:",omitempty"`
	// Positions holds, for each kind of object that every host follows, the highest revision known of it.
	Positions []uint64 `json:",omitempty" msgpack:",omitempty"`
	// Jobs tells the batch jobs that the sender runs and that are not listed whole.
	Jobs []JobNews `json:",omitempty" msgpack:",omitempty"`
	// Runs tells the items that run on engines by the sender's order.
	Runs []EngineRuns `json:",omitempty" msgpack:",omitempty"`
	// UnixMS is what the sender's own clock reads as the time of day, in ms since the Unix epoch; 0 when not read yet.
	UnixMS int64 `json:",omitempty" msgpack:",omitempty"`
}

// EngineRuns is the number of items that one host runs on an engine.
type EngineRuns struct {
	Endpoint string
	Items    int
	GapMS    int `json:",omitempty" msgpack:",omitempty"` // mean time between two events of an item, 0 when not known
}

// DutyFreed tells the other hosts that a duty was released at an epoch.
type DutyFreed struct {
	Duty  string
	Epoch uint64
}

// JobNews tells the other hosts who runs a batch job.
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

// LoadReport relays one endpoint's load and true version.
type LoadReport struct {
	Endpoint    string
	Incarnation string
	Version     uint64
	Tokens      int
	AgeMS       int64
}

// Demand is the sender's queued and running tokens by class and model.
type Demand struct {
	Model   string `msgpack:",omitempty"`
	Class   string
	Queued  int `msgpack:",omitempty"`
	Running int `msgpack:",omitempty"`
}

// Push carries the objects under Prefix that changed after store revision After, up to Revision.
// A receiver that knows the prefix up to After knows it up to Revision with these objects.
type Push struct {
	Prefix   string
	After    uint64
	Revision uint64
	Objects  []Object
	// Returned says that the store answers the sender again since a moment ago.
	Returned bool `json:",omitempty" msgpack:",omitempty"`
}

// Pull asks a peer for the objects under each prefix that changed after the revision of the same index.
type Pull struct {
	Prefixes []string
	After    []uint64
}

// EndpointSet relays the platform's endpoint list from a watcher.
type EndpointSet struct {
	Revision  uint64
	Endpoints []Endpoint
}

// UsageDelta is one daemon's counts since its last acknowledged delta. Seq starts at 1 for each incarnation.
type UsageDelta struct {
	Host        string
	Incarnation string
	Seq         uint64
	Window      uint64
	Figures     []UsageFigure
}

// Ask is a call to the holder of a duty; ID is unique per sender incarnation. Body is the call's own JSON.
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
