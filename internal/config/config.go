// Package config holds the settings: those of one process, and those of the site that all daemons share.
package config

import "time"

// Class orders requests: interactive goes before background, background before rollout.
type Class string

// The classes of requests.
const (
	Interactive Class = "Interactive"
	Background  Class = "Background"
	Rollout     Class = "Rollout"
)

// Process is what one daemon learns from its own files and never shares.
type Process struct {
	Host           string
	Zone           string
	Listen         string // callers' listener, host:port
	Operators      string // operators' listener, host:port
	Peer           string // peer listener, host:port
	PeerAdvertise  string // address that peers dial; Peer when empty
	Platform       string // base URL of the platform
	PeerSecretFile string
	CredentialFile string // operators' credential
	DataFolder     string // "" keeps nothing on disk
	LogLevel       string
	BalancerDelay  time.Duration // time between going unready and closing the callers' listener
	QueuePolicy    string        // QueueFair or QueueFifo; "" is QueueFair
	PickPolicy     string        // PickAffine or PickTurns; "" is PickAffine
}

// The policies that a daemon can use. QueueFifo and PickTurns are baselines to measure against.
const (
	QueueFair  = "Fair"
	QueueFifo  = "Fifo"
	PickAffine = "Affine"
	PickTurns  = "Turns"
)

// Site is what all daemons share. Revision rises strictly with each accepted change.
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
	// Models names the models that a service's endpoints hold, for services of model engines.
	Models map[string][]string `json:",omitempty"`
	// Fleet bounds the endpoints that may be ordered of a service in each zone, for services that can be ordered.
	Fleet map[string]FleetRule `json:",omitempty"`
}

// FleetRule bounds the endpoints of one service in each zone.
type FleetRule struct {
	Min, Max   int
	Boot       time.Duration      // from an order to the first answer
	CheapPrice float64            // of a cheap endpoint, as a part of the price on demand
	ZonePrices map[string]float64 // by zone, of one endpoint for a second
}

// Organisation is one that sends requests, and its part of the capacity.
type Organisation struct {
	Name   string
	Weight int // 1 to 1000
}

// Route maps a path prefix to endpoints. The longest matching prefix wins.
type Route struct {
	Name       string
	Prefix     string
	Service    string // a plain service, or
	Model      string // a model on the engines
	Class      Class
	Open       bool // no key needed
	Idempotent bool // calls may be repeated
	Timeout    time.Duration

	// The following come from a platform's configuration, not from files.

	Host        string    `json:",omitempty"` // name that callers ask for, "" for any
	Shares      []Share   `json:",omitempty"` // services among which calls are split; none takes Service
	MaxAttempts int       `json:",omitempty"` // endpoints that one call may be sent to, 0 takes Retry.MaxAttempts
	Priority    int       `json:",omitempty"` // 0 is the most urgent
	Jobs        *JobRules `json:",omitempty"` // the route takes batch jobs, nil when it does not
}

// Share is one service's part of a split route's calls, by Weight out of the sum of the weights.
type Share struct {
	Service string
	Weight  int
}

// JobRules bounds the batch jobs of a route. Times count from a job's first submission.
type JobRules struct {
	Due           time.Duration // all results are wanted by then
	GiveUpAfter   time.Duration // an item may be given up then
	SingleVersion bool          // one weight version makes a whole result
}

// RolloutLimits bounds every rollout of one organisation.
type RolloutLimits struct {
	Organisation string
	MaxGroups    int
	MaxStaleness int // in versions
}

// Zone is the fleet's rule for one availability zone.
type Zone struct {
	Name            string
	OnDemandFloor   int
	MaxEndpoints    int
	MaxCheap        int
	TokensPerEngine int           // queued and running tokens that one engine carries
	StartTime       time.Duration // from order to live
	ScaleDownAfter  time.Duration
	Model           string // "" leaves the zone's endpoints alone
}

// Limits bounds what callers send and what waits.
type Limits struct {
	MaxBodyBytes       int64
	MaxHeaderBytes     int
	QueuePerDaemon     int
	QueuePerOrg        int
	ConcurrencyPerNode int // requests that run on one endpoint from one daemon
	DefaultTimeout     time.Duration
}

// Lease sets the timing of the duties.
type Lease struct {
	TTL         time.Duration
	Renew       time.Duration
	Margin      time.Duration
	OrderFlight time.Duration // longest time that an order may be under way
}

// Trust sets the timing of membership and of the evidence for keys and configuration.
type Trust struct {
	Bound     time.Duration // greatest age of the evidence
	Beat      time.Duration // interval of the beats
	HostLost  time.Duration // silence after which a host counts as lost
	MeshUpTo  int           // hosts up to which all are connected to all
	Neighbors int           // connections of a host in a larger fleet
	Watchers  int           // watchers of the store in each zone
}

// Usage sets the reporting of tokens.
type Usage struct {
	Window time.Duration
	Grace  time.Duration
	Flush  time.Duration
}

// Weights sets the publishing of model versions.
type Weights struct {
	WaveShare     float64 // greatest share of a model's engines that swap at once
	RetryBackoff  time.Duration
	OrderDeadline time.Duration
}

// Retry sets the retry budget.
type Retry struct {
	BudgetShare float64 // retries as a share of the served requests
	Backoff     time.Duration
	MaxAttempts int
}

// SpendPolicy names the rule by which endpoints are ordered.
type SpendPolicy string

// The rules for ordering endpoints.
const (
	FollowDemand SpendPolicy = "FollowDemand" // on-demand endpoints for interactive work, cheap ones for the rest
	HoldPeak     SpendPolicy = "HoldPeak"     // MaxEndpoints on-demand endpoints at all times
)

// Spend sets the prices that the fleet's decisions weigh, in any one currency.
type Spend struct {
	Policy        SpendPolicy
	OnDemandPrice float64 // of one on-demand endpoint for an hour
	CheapPrice    float64 // of one cheap endpoint for an hour
	IdlePrice     float64 // of one trainer that waits for an hour
}

// LongestRequest returns the time after which no request that came in under this site still runs.
// It may be called concurrently while the site does not change.
func (s *Site) LongestRequest() time.Duration {
	longest := s.Limits.DefaultTimeout
	for _, r := range s.Routes {
		longest = max(longest, r.Timeout)
	}
	return longest
}
