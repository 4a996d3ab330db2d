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

// NewRoutes returns the routes of a site in the order in which they are matched.
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

// Match returns the route for a host name with the longest prefix of path, false when there is none. Routes without
// a host name match any host. A prefix matches whole path segments only. It may be called concurrently.
func (rs Routes) Match(host, path string) (config.Route, bool) {
	for _, r := range rs {
		if (r.Host == "" || r.Host == host) && hasPathPrefix(r.Prefix, path) {
			return r, true
		}
	}
	return config.Route{}, false
}

// hasPathPrefix reports whether path starts with prefix and the prefix ends at the end of a path segment.
func hasPathPrefix(prefix, path string) bool {
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

// PoolOfEndpoint returns the pool that an endpoint belongs to. It may be called concurrently.
func PoolOfEndpoint(e *wire.Endpoint) string {
	if e.Kind == wire.Engine {
		return EnginePool(e.Model)
	}
	return ServicePool(e.Service)
}

// PoolOf returns the pool that serves a route. For a split route draw, in [0, 1), selects the share.
// It may be called concurrently.
func PoolOf(r config.Route, draw float64) string {
	if r.Model != "" {
		return EnginePool(r.Model)
	}
	return ServicePool(ServiceOf(r, draw))
}

// ServiceOf returns the plain service of a route; draw selects the share as for PoolOf. It may be called concurrently.
func ServiceOf(r config.Route, draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Service
}
