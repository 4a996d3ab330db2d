package config

import (
	"fmt"
	"reflect"
	"sort"
	"time"
)

// unnamedSections are the site's sections that occur once and have no name, spelled as the fields of Site.
var unnamedSections = []string{"Limits", "Lease", "Trust", "Usage", "Weights", "Retry", "Spend"}

const (
	minRenewals      = 2 // renewals that must fit into the trusted part of a lease
	minHeartbeats    = 3 // heartbeats that must fit into the silence after which a host counts as lost
	minFlushes       = 2 // flushes that must fit into the grace period
	minOnDemandZones = 2 // zones that need on-demand endpoints for interactive work
)

// Problems returns every setting of the site that is out of range or conflicts with another one, and nil for a valid
// site. It may be called concurrently while the site does not change.
func (s *Site) Problems() Problems {
	var problems Problems
	v := reflect.ValueOf(*s)
	for _, k := range unnamedSections {
		problems = append(problems, checkSection(k, k, v.FieldByName(k))...)
	}
	problems = append(problems, checkNamedSections("Organisation", s.Organisations)...)
	problems = append(problems, checkNamedSections("Route", s.Routes)...)
	problems = append(problems, checkNamedSections("Rollout", s.Rollouts)...)
	problems = append(problems, checkNamedSections("Zone", s.Zones)...)
	problems = append(problems, s.checkTiming()...)
	problems = append(problems, s.checkRoutes()...)
	problems = append(problems, s.checkRollouts()...)
	return append(problems, s.checkZones()...)
}

func checkNamedSections[T any](kind string, sections map[string]T) Problems {
	var problems Problems
	for _, n := range sortedNames(sections) {
		section := kind + " " + n
		if !namePattern.MatchString(n) {
			problems = append(problems, Problem{Section: section, Allowed: "a name of " + nameRule().allowed})
		}
		problems = append(problems, checkSection(section, kind, reflect.ValueOf(sections[n]))...)
	}
	return problems
}

// checkSection applies the rules to each field of one section.
func checkSection(section, kind string, v reflect.Value) Problems {
	var problems Problems
	for i := range v.NumField() {
		key := v.Type().Field(i).Name
		r, known := rules[kind+"."+key]
		value := v.Field(i).Interface()
		if !known || r.valid(value) {
			continue
		}
		problems = append(problems, Problem{Section: section, Key: key, Value: fmt.Sprint(value), Allowed: r.allowed})
	}
	return problems
}

func sortedNames[T any](sections map[string]T) []string {
	names := make([]string, 0, len(sections))
	for n := range sections {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// checkTiming checks durations against each other, but only in sections whose own values are in range.
func (s *Site) checkTiming() Problems {
	var problems Problems
	if sectionValid("Lease", s.Lease) {
		problems = append(problems, s.Lease.checkTiming()...)
	}
	if sectionValid("Trust", s.Trust) {
		problems = append(problems, atMost("Trust", "Beat", s.Trust.Beat, s.Trust.HostLost/minHeartbeats, "a third of HostLost")...)
		problems = append(problems, atMost("Trust", "HostLost", s.Trust.HostLost, s.Trust.Bound, "Bound")...)
	}
	if sectionValid("Usage", s.Usage) {
		problems = append(problems, atMost("Usage", "Flush", s.Usage.Flush, s.Usage.Grace/minFlushes, "half of Grace")...)
		problems = append(problems, atMost("Usage", "Grace", s.Usage.Grace, s.Usage.Window, "Window")...)
	}
	return problems
}

func sectionValid(section string, value any) bool {
	return len(checkSection(section, section, reflect.ValueOf(value))) == 0
}

func (l Lease) checkTiming() Problems {
	if p := atMost("Lease", "Margin", l.Margin, l.TTL/2, "half of TTL"); len(p) > 0 {
		return p
	}
	trusted := l.TTL - l.Margin
	problems := atMost("Lease", "Renew", l.Renew, trusted/minRenewals, "half of TTL less Margin")
	return append(problems, atMost("Lease", "OrderFlight", l.OrderFlight, trusted, "TTL less Margin")...)
}

func atMost(section, key string, value, limit time.Duration, limitName string) Problems {
	if value <= limit {
		return nil
	}
	allowed := fmt.Sprintf("at most %s, which is %s", shortDuration(limit), limitName)
	return Problems{{Section: section, Key: key, Value: value.String(), Allowed: allowed}}
}

// checkRoutes checks that each route has exactly one target and that no two routes share a prefix.
func (s *Site) checkRoutes() Problems {
	var problems Problems
	models := s.servedModels()
	prefixes := map[string]string{}
	for _, n := range sortedNames(s.Routes) {
		r := s.Routes[n]
		section := "Route " + n
		if (r.Model == "") == (r.Service == "") {
			problems = append(problems, Problem{Section: section, Key: "Service", Value: r.Service, Allowed: "either Service or Model, not both"})
		}
		if r.Model != "" && len(models) > 0 && !models[r.Model] {
			problems = append(problems, Problem{Section: section, Key: "Model", Value: r.Model, Allowed: "the Model of some Zone section"})
		}
		if other, taken := prefixes[r.Prefix]; taken {
			problems = append(problems, Problem{Section: section, Key: "Prefix", Value: r.Prefix, Allowed: "a prefix other than that of Route " + other})
		}
		prefixes[r.Prefix] = n
	}
	return problems
}

// servedModels returns the models that the zones serve.
func (s *Site) servedModels() map[string]bool {
	models := map[string]bool{}
	for _, z := range s.Zones {
		if z.Model != "" {
			models[z.Model] = true
		}
	}
	return models
}

func (s *Site) checkRollouts() Problems {
	var problems Problems
	for _, n := range sortedNames(s.Rollouts) {
		if _, known := s.Organisations[n]; !known {
			problems = append(problems, Problem{Section: "Rollout " + n, Allowed: "the name of an Organisation section"})
		}
	}
	return problems
}

// checkZones checks each zone's limits, and that interactive work survives the loss of one zone's cheap endpoints.
func (s *Site) checkZones() Problems {
	var problems Problems
	zonesWithFloor := 0
	for _, n := range sortedNames(s.Zones) {
		z := s.Zones[n]
		if z.OnDemandFloor > z.MaxEndpoints {
			problems = append(problems, Problem{
				Section: "Zone " + n, Key: "OnDemandFloor", Value: fmt.Sprint(z.OnDemandFloor),
				Allowed: fmt.Sprintf("at most MaxEndpoints, which is %d", z.MaxEndpoints),
			})
		}
		if z.MaxCheap > z.MaxEndpoints {
			problems = append(problems, Problem{
				Section: "Zone " + n, Key: "MaxCheap", Value: fmt.Sprint(z.MaxCheap),
				Allowed: fmt.Sprintf("at most MaxEndpoints, which is %d", z.MaxEndpoints),
			})
		}
		if z.OnDemandFloor > 0 {
			zonesWithFloor++
		}
	}
	if len(s.Zones) >= minOnDemandZones && s.hasInteractiveModelRoute() && zonesWithFloor < minOnDemandZones {
		n := sortedNames(s.Zones)[0]
		problems = append(problems, Problem{
			Section: "Zone " + n, Key: "OnDemandFloor", Value: fmt.Sprint(s.Zones[n].OnDemandFloor),
			Allowed: fmt.Sprintf("1 or more in at least %d zones while a route of class Interactive has a Model", minOnDemandZones),
		})
	}
	return problems
}

func (s *Site) hasInteractiveModelRoute() bool {
	for _, r := range s.Routes {
		if r.Model != "" && r.Class == Interactive {
			return true
		}
	}
	return false
}
