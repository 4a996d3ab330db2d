// Package spend decides how many endpoints of each price a zone should have.
package spend

import (
	"sort"

	"github.com/figshift/figshift/internal/config"
)

// Need is what the fleet's callers want now, in tokens queued and running by class, and what can be had.
type Need struct {
	Interactive int
	Background  int
	Rollout     int
	Trainers    int  // trainers that wait for rollouts
	Cheap       int  // cheap endpoints that the zone has
	CheapGone   bool // the platform has lately refused a cheap endpoint in the zone
}

// Want is the number of endpoints of each price that a zone should have.
type Want struct {
	OnDemand int
	Cheap    int
}

// Policy decides what a zone should have. It is a function of its arguments and may be called concurrently.
type Policy interface {
	Want(site *config.Site, zone string, need Need) Want
}

// Of returns the policy that a site names.
func Of(p config.SpendPolicy) Policy {
	if p == config.HoldPeak {
		return Peak{}
	}
	return Demand{}
}

// Peak is the baseline: the greatest number of on-demand endpoints at all times.
type Peak struct{}

// Want returns the zone's MaxEndpoints on demand.
func (Peak) Want(site *config.Site, zone string, _ Need) Want {
	return Want{OnDemand: site.Zones[zone].MaxEndpoints}
}

// Demand orders on-demand endpoints for interactive work, at least the zone's floor, and cheap ones for all other
// work. While no cheap one can be had, it replaces the missing ones by on-demand ones as far as the price of the
// trainers that wait pays for them.
type Demand struct{}

// Want returns the zone's part of the endpoints that need asks for, within the zone's limits.
func (Demand) Want(site *config.Site, zone string, need Need) Want {
	z := site.Zones[zone]
	part := newPart(site, zone)
	onDemand := max(z.OnDemandFloor, part.of(engines(need.Interactive, z)))
	cheap := min(part.of(engines(need.Background+need.Rollout, z)), z.MaxCheap)
	if need.CheapGone && need.Rollout > 0 {
		onDemand += min(max(cheap-need.Cheap, 0), part.of(affordable(site.Spend, need.Trainers)))
	}
	onDemand = min(onDemand, z.MaxEndpoints)
	return Want{OnDemand: onDemand, Cheap: min(cheap, z.MaxEndpoints-onDemand)}
}

func engines(tokens int, z config.Zone) int {
	if tokens <= 0 || z.TokensPerEngine <= 0 {
		return 0
	}
	return (tokens + z.TokensPerEngine - 1) / z.TokensPerEngine
}

// affordable returns how many on-demand endpoints cost no more than the trainers that wait.
func affordable(s config.Spend, trainers int) int {
	if s.OnDemandPrice <= 0 {
		return 0
	}
	return int(s.IdlePrice * float64(trainers) / s.OnDemandPrice)
}

// part is a zone's part of what the zones of one model carry together, in proportion to their greatest sizes.
type part struct{ before, own, all int }

func newPart(site *config.Site, zone string) part {
	var p part
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
			p.before += size
		}
		if n == zone {
			p.own = size
		}
		p.all += size
	}
	return p
}

// of returns the zone's part of total, such that the zones' parts add up to total without a word between them.
func (p part) of(total int) int {
	if p.all == 0 {
		return 0
	}
	return total*(p.before+p.own)/p.all - total*p.before/p.all
}
