package wire

// Status is one daemon's view of the system; each component fills its own fields.
type Status struct {
	Host           string
	Zone           string
	Incarnation    string
	Build          string `json:",omitempty"` // "" for builds that do not tell it
	Ready          bool
	Reason         string
	ConfigRevision uint64
	KeysRevision   uint64
	EvidenceAgeMS  int64
	Hosts          []HostStatus         `json:",omitempty"`
	Duties         []DutyStatus         `json:",omitempty"`
	Endpoints      []EndpointStatus     `json:",omitempty"`
	Organisations  []OrganisationStatus `json:",omitempty"`
	Rollouts       []RolloutStatus      `json:",omitempty"`
	Windows        []UsageReport        `json:",omitempty"`
}

// HostStatus is one host as this daemon sees it.
type HostStatus struct {
	Host           string
	Zone           string
	Build          string `json:",omitempty"` // of the running process; "" for one that does not tell it or has not registered yet
	Alive          bool
	Admitted       bool // counts for majorities
	BeatAgeMS      int64
	ConfigRevision uint64
	KeysRevision   uint64
}

// DutyStatus is one duty and its holder, as far as this daemon knows.
type DutyStatus struct {
	Duty   string
	Holder string
	Epoch  uint64
}

// EndpointStatus is the state, version and load of one endpoint.
type EndpointStatus struct {
	Endpoint    string
	Zone        string
	Kind        EndpointKind
	Price       Price
	State       EndpointState
	Version     uint64
	Outstanding int
	LoadTokens  int
	Ejected     bool
}

// OrganisationStatus is the service that one organisation receives from this daemon.
type OrganisationStatus struct {
	Organisation string
	Weight       int
	Share        float64 // share of the tokens served by all daemons
	Queued       int
	Running      int
	Refused      map[string]uint64 // refused requests by error kind
}

// RolloutStatus is the progress of one rollout, reported by the holder of its duty.
type RolloutStatus struct {
	Rollout   string
	Sealed    uint64
	Handed    uint64
	Newest    uint64
	Consumer  string
	Running   int
	Delivered uint64 // samples
}
