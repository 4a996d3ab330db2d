package proc

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/figshift/figshift/internal/config"
)

const (
	credential = "operators-credential-of-the-tests"
	peerSecret = "peer-secret-of-the-tests"
	// Model is the model of the default engines and routes.
	Model = "default"
	// Lookup is the plain service of the default routes.
	Lookup = "lookup"
)

// Endpoint is an engine, plain service or scorer to start. Args are further flags of its stand-in.
type Endpoint struct {
	Name    string
	Zone    string
	Service string // plain services only; Lookup when empty
	Args    []string
}

// Cluster is a platform, endpoints and daemons. Set the exported fields of the first block before Start.
type Cluster struct {
	Daemons  int
	Zones    []string // of the daemons, in turn; "a", "b" when empty
	Engines  []Endpoint
	Services []Endpoint
	Scorers  []Endpoint
	Site     func(s *config.Site) // changes the default site before the first daemon starts
	Platform []string             // further flags of the platform's stand-in
	Overlay  string               // further lines of section [Host] of each daemon
	Unready  bool                 // Start does not wait until the daemons are ready
	Record   bool                 // each daemon records its steps to Host.Trace

	Hosts     []*Host             // the daemons, set by Start
	Endpoints map[string]*Running // by name, set by Start
	Store     *Process            // the platform, set by Start

	t      T
	folder string
	site   *config.Site
	keys   map[string]string
	client *http.Client
}

// Running is an endpoint's process and the link through which daemons reach it.
type Running struct {
	*Process
	Link *Link
	Name string
}

// Start runs the cluster; the test's end stops it.
func (c *Cluster) Start(t T) {
	t.Helper()
	c.prepare(t)
	c.Store = StartStandIn(t, "platform", append([]string{"platform", "--listen", Address(t, "127.0.0.1")}, c.Platform...)...)
	c.startEndpoints()
	c.ApplyConfig(func(s *config.Site) {
		if c.Site != nil {
			c.Site(s)
		}
	})
	for name := range c.site.Organisations {
		c.GiveKey(name, c.Key(name))
	}
	c.startHosts()
}

func (c *Cluster) prepare(t T) {
	c.t = t
	c.folder = t.TempDir()
	c.keys = map[string]string{}
	c.Endpoints = map[string]*Running{}
	c.site = defaultSite()
	if len(c.Zones) == 0 {
		c.Zones = []string{"a", "b"}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	c.client = &http.Client{Transport: transport, Timeout: time.Minute}
	t.Cleanup(transport.CloseIdleConnections)
	c.file("credential", credential)
	c.file("secret", peerSecret)
}

func (c *Cluster) startEndpoints() {
	for _, e := range c.Engines {
		c.StartEndpoint("engine", e)
	}
	for _, e := range c.Services {
		e.Service = either(e.Service, Lookup)
		c.StartEndpoint("service", e)
	}
	for _, e := range c.Scorers {
		e.Service = either(e.Service, "scorer")
		c.StartEndpoint("scorer", e)
	}
}

// StartEndpoint runs one more stand-in (engine, service or scorer) that registers with the platform.
func (c *Cluster) StartEndpoint(role string, e Endpoint) *Running {
	c.t.Helper()
	listen := Address(c.t, "127.0.0.1")
	r := &Running{Name: e.Name, Link: NewLink(c.t, "127.0.0.1", listen)}
	args := []string{
		role, "--listen", listen, "--advertise", r.Link.Listen,
		"--name", e.Name, "--zone", e.Zone, "--platform", c.Store.URL(),
	}
	if e.Service != "" {
		args = append(args, "--service", e.Service)
	}
	r.Process = StartStandIn(c.t, e.Name, append(args, e.Args...)...)
	c.Endpoints[e.Name] = r
	return r
}

func defaultSite() *config.Site {
	s := config.Defaults()
	for _, name := range []string{"North", "South"} {
		s.Organisations[name] = config.Organisation{Name: name, Weight: 1}
		s.Rollouts[name] = config.RolloutLimits{Organisation: name, MaxGroups: 1000, MaxStaleness: 8}
	}
	add := func(r config.Route) {
		r.Class = config.Interactive
		r.Timeout = 20 * time.Second
		s.Routes[r.Name] = r
	}
	add(config.Route{Name: "generate", Prefix: "/v1/generate", Model: Model, Idempotent: true})
	add(config.Route{Name: "lookup", Prefix: "/lookup", Service: Lookup, Idempotent: true})
	add(config.Route{Name: "write", Prefix: "/write", Service: Lookup})
	add(config.Route{Name: "open", Prefix: "/open", Service: Lookup, Idempotent: true, Open: true})
	return s
}

// file writes a file whole before it takes its name, since a daemon may be reading the one before.
func (c *Cluster) file(name, text string) string {
	path := filepath.Join(c.folder, name)
	if err := os.WriteFile(path+".new", []byte(text+"\n"), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *Cluster) path(name string) string { return filepath.Join(c.folder, name) }

// ini renders a section of settings.
func ini(section string, settings ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\n", section)
	for i := 0; i+1 < len(settings); i += 2 {
		fmt.Fprintf(&b, "%s = %s\n", settings[i], settings[i+1])
	}
	return b.String()
}

func either(value, otherwise string) string {
	if value == "" {
		return otherwise
	}
	return value
}
