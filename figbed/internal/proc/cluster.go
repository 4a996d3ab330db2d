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
	operatorCredential = "operators-credential-of-the-tests"
	peerSecret         = "peer-secret-of-the-tests"
	// Model is the model of the default engines and routes.
	Model = "default"
	// Lookup is the plain service of the default routes.
	Lookup = "lookup"
)

// Endpoint describes an engine, plain service or scorer to start. Args are additional flags of its program.
type Endpoint struct {
	Name    string
	Zone    string
	Service string // plain services and scorers only; Lookup or "scorer" when empty
	Args    []string
}

// Cluster is a set of processes: one platform, endpoints and daemons. Set the fields of the first block before Start.
type Cluster struct {
	Daemons       int
	Zones         []string // availability zones, assigned to the daemons in turn; "a" and "b" when empty
	Engines       []Endpoint
	Services      []Endpoint
	Scorers       []Endpoint
	Site          func(s *config.Site) // changes the default site configuration before the first daemon starts
	Platform      []string             // additional flags of the simulated platform
	Overlay       string               // additional lines of section [Host] in each daemon's settings
	SkipReadyWait bool                 // Start does not wait until the daemons are ready
	Record        bool                 // each daemon records its steps in the file Host.TraceFile

	Hosts           []*Host                     // the daemons, set by Start
	Endpoints       map[string]*RunningEndpoint // by name, set by Start
	PlatformProcess *Process                    // the simulated platform, set by Start

	t      T
	dir    string
	site   *config.Site
	keys   map[string]string // organisations, by key
	client *http.Client
}

// RunningEndpoint is the process of an endpoint and the link through which daemons reach it.
type RunningEndpoint struct {
	*Process
	Link *Link
	Name string
}

// Start starts all processes of the cluster. They are stopped at the end of the test.
func (c *Cluster) Start(t T) {
	t.Helper()
	c.prepare(t)
	c.PlatformProcess = StartStandIn(t, "platform", append([]string{"platform", "--listen", Address(t, "127.0.0.1")}, c.Platform...)...)
	c.startEndpoints()
	c.ApplyConfig(func(s *config.Site) {
		if c.Site != nil {
			c.Site(s)
		}
	})
	for name := range c.site.Organisations {
		c.AddKey(name, c.Key(name))
	}
	c.startHosts()
}

func (c *Cluster) prepare(t T) {
	c.t = t
	c.dir = t.TempDir()
	c.keys = map[string]string{}
	c.Endpoints = map[string]*RunningEndpoint{}
	c.site = defaultSite()
	if len(c.Zones) == 0 {
		c.Zones = []string{"a", "b"}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	c.client = &http.Client{Transport: transport, Timeout: time.Minute}
	t.Cleanup(transport.CloseIdleConnections)
	c.writeFile("credential", operatorCredential)
	c.writeFile("secret", peerSecret)
}

func (c *Cluster) startEndpoints() {
	for _, e := range c.Engines {
		c.StartEndpoint("engine", e)
	}
	for _, e := range c.Services {
		e.Service = valueOrDefault(e.Service, Lookup)
		c.StartEndpoint("service", e)
	}
	for _, e := range c.Scorers {
		e.Service = valueOrDefault(e.Service, "scorer")
		c.StartEndpoint("scorer", e)
	}
}

// StartEndpoint starts one more simulated endpoint, which registers with the platform. The role is engine, service or
// scorer.
func (c *Cluster) StartEndpoint(role string, e Endpoint) *RunningEndpoint {
	c.t.Helper()
	listen := Address(c.t, "127.0.0.1")
	r := &RunningEndpoint{Name: e.Name, Link: NewLink(c.t, "127.0.0.1", listen)}
	args := []string{
		role, "--listen", listen, "--advertise", r.Link.Listen,
		"--name", e.Name, "--zone", e.Zone, "--platform", c.PlatformProcess.URL(),
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
	addRoute := func(r config.Route) {
		r.Class = config.Interactive
		r.Timeout = 20 * time.Second
		s.Routes[r.Name] = r
	}
	addRoute(config.Route{Name: "generate", Prefix: "/v1/generate", Model: Model, Idempotent: true})
	addRoute(config.Route{Name: "lookup", Prefix: "/lookup", Service: Lookup, Idempotent: true})
	addRoute(config.Route{Name: "write", Prefix: "/write", Service: Lookup})
	addRoute(config.Route{Name: "open", Prefix: "/open", Service: Lookup, Idempotent: true, Open: true})
	return s
}

// writeFile replaces a file atomically by a rename, since a daemon may be reading the previous one.
func (c *Cluster) writeFile(name, text string) string {
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path+".new", []byte(text+"\n"), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		c.t.Fatal(err)
	}
	return path
}

func (c *Cluster) filePath(name string) string { return filepath.Join(c.dir, name) }

// formatSection formats a section of an INI file. The settings alternate between names and values.
func formatSection(section string, settings ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\n", section)
	for i := 0; i+1 < len(settings); i += 2 {
		fmt.Fprintf(&b, "%s = %s\n", settings[i], settings[i+1])
	}
	return b.String()
}

func valueOrDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}
