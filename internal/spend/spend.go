// Package spend decides how many endpoints of each price an availability zone should have.
package spend

import (
	"sort"

	"github.com/figshift/figshift/internal/config"
)

// Need is the current demand for a model, in queued and running tokens by class, and the supply of cheap endpoints.
type Need struct {
	Interactive      int
	Background       int
	Rollout          int
	Trainers         int  // trainers that wait for rollouts
	Cheap            int  // cheap endpoints that the zone has
	CheapUnavailable bool // the platform has recently refused a cheap endpoint in the zone
}

// Target is the number of endpoints of each price that a zone should have.
type Target struct {
	OnDemand int
	Cheap    int
}

// Policy decides how many endpoints a zone should have. Target depends only on its arguments and may be called
// concurrently.
type Policy interface {
	Target(site *config.Site, zone string, need Need) Target
}

// PolicyFor returns the implementation of a configured policy.
func PolicyFor(p config.SpendPolicy) Policy {
	if p == config.HoldPeak {
		return PeakPolicy{}
	}
	return DemandPolicy{}
}

// PeakPolicy is the baseline policy: the maximum number of on-demand endpoints at all times.
type PeakPolicy struct{}

// Target returns the zone's MaxEndpoints as on-demand endpoints.
func (PeakPolicy) Target(site *config.Site, zone string, _ Need) Target {
	return Target{OnDemand: site.Zones[zone].MaxEndpoints}
}

// DemandPolicy is the policy that follows the demand: on-demand endpoints for interactive work, at least OnDemandFloor,
// and cheap ones for all other work. While the platform has no cheap endpoints and rollouts need them, it replaces the
// missing ones by as many on-demand ones as cost no more than the trainers that wait.
type DemandPolicy struct{}

// Target returns the zone's share of the endpoints needed, within the zone's limits.
func (DemandPolicy) Target(site *config.Site, zone string, need Need) Target {
	z := site.Zones[zone]
	share := newZoneShare(site, zone)
	onDemand := max(z.OnDemandFloor, share.of(enginesFor(need.Interactive, z)))
	cheap := min(share.of(enginesFor(need.Background+need.Rollout, z)), z.MaxCheap)
	if need.CheapUnavailable && need.Rollout > 0 {
		onDemand += min(max(cheap-need.Cheap, 0), share.of(affordable(site.Spend, need.Trainers)))
	}
	onDemand = min(onDemand, z.MaxEndpoints)
	return Target{OnDemand: onDemand, Cheap: min(cheap, z.MaxEndpoints-onDemand)}
}

func enginesFor(tokens int, z config.Zone) int {
	if tokens <= 0 || z.TokensPerEngine <= 0 {
		return 0
	}
	return (tokens + z.TokensPerEngine - 1) / z.TokensPerEngine
}

// affordable returns the number of on-demand endpoints that cost no more per hour than the waiting trainers.
func affordable(s config.Spend, trainers int) int {
	if s.OnDemandPrice <= 0 {
		return 0
	}
	return int(s.IdlePrice * float64(trainers) / s.OnDemandPrice)
}

// zoneShare divides the endpoints for a model among its zones in proportion to their MaxEndpoints. The sizes are sums
// of MaxEndpoints: of the zones that sort before this one, of this one, and of all zones of the model.
type zoneShare struct{ sizeBefore, ownSize, totalSize int }

func newZoneShare(site *config.Site, zone string) zoneShare {
	var s zoneShare
	names := make([]string, 0, len(site.Zones))
	for n, z := range site.Zones {
		if z.Model == site.Zones[zone].Model {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	for _, n := range names {
		size := site.Zones[n].MaxEndpoints
		if n < zone {
			s.sizeBefore += size
		}
		if n == zone {
			s.ownSize = size
		}
		s.totalSize += size
	}
	return s
}

// of returns the zone's share of total. The shares add up to total, although each zone computes its own independently.
func (s zoneShare) of(total int) int {
	if s.totalSize == 0 {
		return 0
	}
	return total*(s.sizeBefore+s.ownSize)/s.totalSize - total*s.sizeBefore/s.totalSize
}
