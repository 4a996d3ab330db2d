package config

import "time"

// Defaults returns a site with all timings and limits at their defaults and no organisations, routes, rollouts or
// zones.
func Defaults() *Site {
	return &Site{
		Organisations: map[string]Organisation{},
		Routes:        map[string]Route{},
		Rollouts:      map[string]RolloutLimits{},
		Zones:         map[string]Zone{},
		Limits: Limits{
			MaxBodyBytes:       4 << 20,
			MaxHeaderBytes:     32 << 10,
			HeaderTimeout:      5 * time.Second,
			IdleTimeout:        2 * time.Minute,
			QueuePerDaemon:     2000,
			QueuePerOrg:        500,
			ConcurrencyPerNode: 16,
			DefaultTimeout:     30 * time.Second,
		},
		Lease:   Lease{TTL: 5 * time.Second, Renew: 1500 * time.Millisecond, Margin: time.Second, OrderFlight: time.Second},
		Trust:   Trust{Bound: 3 * time.Second, Beat: 250 * time.Millisecond, HostLost: 2 * time.Second, MeshUpTo: 16, Neighbors: 6, Watchers: 2},
		Usage:   Usage{Window: time.Minute, Grace: 10 * time.Second, Flush: time.Second},
		Weights: Weights{WaveShare: 0.34, RetryBackoff: 500 * time.Millisecond, OrderDeadline: 5 * time.Second},
		Retry:   Retry{BudgetShare: 0.1, Backoff: 50 * time.Millisecond, MaxAttempts: 3},
		Spend:   Spend{Policy: FollowDemand, OnDemandPrice: 3, CheapPrice: 1, IdlePrice: 6},
	}
}

const (
	defaultLogLevel     = "info"
	defaultMaxGroups    = 4096
	defaultMaxStaleness = 4
)

// DefaultZone returns the settings of a zone for which nothing else is set.
func DefaultZone(name string) Zone {
	return Zone{
		Name:            name,
		MaxEndpoints:    16,
		MaxCheap:        8,
		TokensPerEngine: 8192,
		StartTime:       2 * time.Second,
		ScaleDownAfter:  time.Minute,
	}
}

func defaultOrganisation(name string) Organisation { return Organisation{Name: name, Weight: 1} }

func defaultRoute(name string, limits Limits) Route {
	return Route{Name: name, Class: Interactive, Timeout: limits.DefaultTimeout}
}

func defaultRolloutLimits(organisation string) RolloutLimits {
	return RolloutLimits{Organisation: organisation, MaxGroups: defaultMaxGroups, MaxStaleness: defaultMaxStaleness}
}
