// Package route matches requests to routes and chooses endpoints for them.
package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// Routes is a set of routes, longest prefix first. It may be read concurrently.
type Routes []config.Route

// NewRoutes returns the routes of a site in the order in which they are tried.
// It may be called concurrently.
func NewRoutes(site *config.Site) Routes {
	rs := make(Routes, 0, len(site.Routes))
	for _, r := range site.Routes {
		rs = append(rs, r)
	}
	slices.SortFunc(rs, func(a, b config.Route) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix), cmp.Compare(b.Host, a.Host))
	})
	return rs
}

// Match returns the route of a host name with the longest prefix of path, false when there is none. Routes without
// a host name match any. A prefix ends at a path segment's boundary. It may be called concurrently.
func (rs Routes) Match(host, path string) (config.Route, bool) {
	for _, r := range rs {
		if (r.Host == "" || r.Host == host) && covers(r.Prefix, path) {
			return r, true
		}
	}
	return config.Route{}, false
}

func covers(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/'
}

// EnginePool returns the name of the pool of engines that serve a model.
// It may be called concurrently.
func EnginePool(model string) string { return string(wire.Engine) + "/" + model }

// ServicePool returns the name of the pool of a plain service's endpoints.
// It may be called concurrently.
func ServicePool(service string) string { return string(wire.Service) + "/" + service }

// PoolOf returns the pool that serves a route; draw, from 0 to below 1, chooses among the shares of a split route.
// It may be called concurrently.
func PoolOf(r config.Route, draw float64) string {
	if r.Model != "" {
		return EnginePool(r.Model)
	}
	return ServicePool(ServiceOf(r, draw))
}

// ServiceOf returns the plain service of a route; draw chooses as for PoolOf. It may be called concurrently.
func ServiceOf(r config.Route, draw float64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	left := draw * float64(sum)
	for _, s := range r.Shares {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	return r.Service
}
