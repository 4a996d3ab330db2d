// Package config defines the settings of one process and those of the site, which all daemons share.
package config

import "time"

// Class is the scheduling class of a request: interactive precedes background, background precedes rollout.
type Class string

// Classes of requests.
const (
	Interactive Class = "Interactive"
	Background  Class = "Background"
	Rollout     Class = "Rollout"
)

// Process holds the settings that one daemon reads from its own files and does not share.
type Process struct {
	Host           string
	Zone           string
	Listen         string // callers' listener, host:port
	Operators      string // operators' listener, host:port
	Peer           string // peer listener, host:port
	PeerAdvertise  string // address that peers dial; "" for Peer
	Platform       string // base URL of the platform
	PeerSecretFile string
	CredentialFile string // credential of the operators
	DataFolder     string // "" to keep nothing on disk
	LogLevel       string
	BalancerDelay  time.Duration // time between reporting not ready and closing the callers' listener
	StopTime       time.Duration // time from the request to stop until the last answer; 0 for no bound
	QueuePolicy    string        // QueueFair or QueueFIFO; "" for QueueFair
	PickPolicy     string        // PickAffinity or PickRoundRobin; "" for PickAffinity
}

// Queue and endpoint selection policies of a daemon. QueueFIFO and PickRoundRobin are baselines for comparison.
const (
	QueueFair      = "Fair"
	QueueFIFO      = "Fifo"
	PickAffinity   = "Affine"
	PickRoundRobin = "Turns"
)

// Site holds the settings that all daemons share. Revision increases strictly with each accepted change.
type Site struct {
	Revision      uint64
	Organisations map[string]Organisation
	Routes        map[string]Route
	Rollouts      map[string]RolloutLimits
	Zones         map[string]Zone
	Limits        Limits
	Lease         Lease
	Trust         Trust
	Usage         Usage
	Weights       Weights
	Retry         Retry
	Spend         Spend
	// Models lists the models that a service's endpoints hold, by service, for services that run model engines.
	Models map[string][]string `json:",omitempty"`
	// Fleet bounds the endpoints that may be ordered in each zone, by service, for services whose endpoints can be
	// ordered.
	Fleet map[string]FleetRule `json:",omitempty"`
}

// FleetRule bounds the endpoints of one service in each zone.
type FleetRule struct {
	Min, Max   int
	Boot       time.Duration      // from an order to the endpoint's first answer
	CheapPrice float64            // of a cheap endpoint, as a fraction of the on-demand price
	ZonePrices map[string]float64 // price of one endpoint per second, by zone
}

// Organisation sends requests. Weight sets its share of the capacity relative to the other organisations.
type Organisation struct {
	Name   string
	Weight int // 1 to 1000
}

// Route maps a path prefix to endpoints. The longest matching prefix wins.
type Route struct {
	Name       string
	Prefix     string
	Service    string // a plain service; either Service or Model is set
	Model      string // a model on the engines
	Class      Class
	Open       bool // no key is needed
	Idempotent bool // calls may be repeated
	Timeout    time.Duration

	// The following fields come from a platform's configuration, not from files.
	Host        string        `json:",omitempty"` // host name that callers use, "" for any
	Shares      []Share       `json:",omitempty"` // services among which calls are split; if empty, Service is used
	MaxAttempts int           `json:",omitempty"` // endpoints that one call may be sent to, 0 for Retry.MaxAttempts
	Priority    int           `json:",omitempty"` // 0 is the most urgent
	Target      time.Duration `json:",omitempty"` // time within which an answer is wanted, 0 if it is not known
	Jobs        *JobRules     `json:",omitempty"` // set if the route accepts batch jobs
	Streaming   bool          `json:",omitempty"` // answers are streams of events, which callers may take up again
}

// Share is the share of one service in a split route's calls: Weight out of the sum of all weights.
type Share struct {
	Service string
	Weight  int
}

// JobRules bounds the batch jobs of a route. Durations count from a job's first submission.
type JobRules struct {
	Due           time.Duration // time until all results are due
	GiveUpAfter   time.Duration // time after which items may be given up
	SingleVersion bool          // each result must come from a single weight version
}

// RolloutLimits bounds every rollout of one organisation.
type RolloutLimits struct {
	Organisation string
	MaxGroups    int
	MaxStaleness int // in weight versions
}

// Zone bounds the endpoints of one availability zone.
type Zone struct {
	Name            string
	OnDemandFloor   int
	MaxEndpoints    int
	MaxCheap        int
	TokensPerEngine int           // queued and running tokens that one engine can handle
	StartTime       time.Duration // from an order until the endpoint is live
	ScaleDownAfter  time.Duration
	Model           string // "" if the zone's endpoints are not managed
}

// Limits bounds the size of requests, the queues and the concurrency.
type Limits struct {
	MaxBodyBytes       int64
	MaxHeaderBytes     int
	HeaderTimeout      time.Duration // for the whole head of a request, from its first byte
	IdleTimeout        time.Duration // for the next request on a connection
	QueuePerDaemon     int
	QueuePerOrg        int
	ConcurrencyPerNode int // requests that one daemon runs at once on one endpoint
	DefaultTimeout     time.Duration
}

// Lease sets the timing of the leases on duties.
type Lease struct {
	TTL         time.Duration
	Renew       time.Duration
	Margin      time.Duration // a holder trusts its lease for TTL less Margin
	OrderFlight time.Duration // longest time that an order may be in flight
}

// Trust sets the timing of membership and of the evidence that keys and configuration are current.
type Trust struct {
	Bound     time.Duration // maximum age of the evidence
	Beat      time.Duration // interval between heartbeats
	HostLost  time.Duration // silence after which a host counts as lost
	MeshUpTo  int           // number of hosts up to which every host is connected to every other
	Neighbors int           // connections per host in a larger fleet
	Watchers  int           // hosts that watch the store, per zone
}

// Usage sets the timing of usage reports.
type Usage struct {
	Window time.Duration
	Grace  time.Duration
	Flush  time.Duration
}

// Weights sets how new weight versions are rolled out to engines.
type Weights struct {
	WaveShare     float64 // maximum fraction of a model's engines that swap at once
	RetryBackoff  time.Duration
	OrderDeadline time.Duration
}

// Retry bounds the retries of requests.
type Retry struct {
	BudgetShare float64 // retries as a fraction of the served requests
	Backoff     time.Duration
	MaxAttempts int
}

// SpendPolicy names the policy by which endpoints are ordered.
type SpendPolicy string

// Policies for ordering endpoints.
const (
	FollowDemand SpendPolicy = "FollowDemand" // on-demand endpoints for interactive work, cheap ones for the rest
	HoldPeak     SpendPolicy = "HoldPeak"     // MaxEndpoints on-demand endpoints at all times
)

// Spend sets the ordering policy and the prices that it weighs, all in the same currency.
type Spend struct {
	Policy        SpendPolicy
	OnDemandPrice float64 // of one on-demand endpoint per hour
	CheapPrice    float64 // of one cheap endpoint per hour
	IdlePrice     float64 // of one idle trainer per hour
}

// LongestRequest returns the longest time that a request accepted under this site may run. It may be called
// concurrently while the site does not change.
func (s *Site) LongestRequest() time.Duration {
	longest := s.Limits.DefaultTimeout
	for _, r := range s.Routes {
		longest = max(longest, r.Timeout)
	}
	return longest
}
