package estate

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// Names and path prefixes in the platform's configuration.
const (
	Host     = "site.example"
	Lookup   = "/lookup/"
	Rollouts = "/rollout/"
	Scores   = "/score/"
	Writes   = "/write/" // not idempotent: each request may run at most once
	Streams  = "/stream/"
	Model    = "model-a"
	Key      = "key-of-north"
	Tenant   = "north"
)

// zoneCount is the number of availability zones; hosts are assigned to them round-robin.
const zoneCount = 4

// Report is a usage report that the platform accepted.
type Report struct {
	Window uint64         `json:"window"`
	Counts map[string]int `json:"counts"`
	Holder string         `json:"-"`
	Fence  uint64         `json:"-"`
	At     time.Time      `json:"-"`
}

// Platform simulates the users' platform with its servers. Set its exported fields before calling Start.
type Platform struct {
	Store   Store
	Servers []*Server
	Port    int // first of a range of ports that must be free on each host's address

	// PlatformAddressFor returns the address at which a host reaches the platform. When nil, hosts use the platform's own
	// address.
	PlatformAddressFor func(host int) string
	// HostName returns the name of a host. When nil, hosts are named host-1 and so on.
	HostName func(host int) string
	// BindIP returns the IP that a host's internal listeners bind to. When nil, they bind to IP(host).
	BindIP func(host int) string
	// MemoryMB is the memory of a host; 200 when 0. MaxFDs is the number of descriptors that a host's process may open; the
	// setting is left out when 0.
	MemoryMB, MaxFDs int
	// Limits are the limits in the configuration, by name, in addition to or in place of the usual ones.
	Limits map[string]any

	address   string
	stopFuncs []func()
	mu        sync.Mutex
	reports   []Report
}

// Start starts the platform and its servers and writes configuration version 1 with Key as the only key.
func (p *Platform) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.Handle(objectsPath, &p.Store)
	mux.HandleFunc("/usage", p.handleUsage)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	p.stopFuncs = append(p.stopFuncs, func() { _ = server.Close() })
	for _, s := range p.Servers {
		stop, err := s.Start(&p.Store)
		if err != nil {
			return err
		}
		p.stopFuncs = append(p.stopFuncs, stop)
	}
	p.Configure(1, Key)
	return nil
}

// Stop shuts down the platform and its servers.
func (p *Platform) Stop() {
	for _, stop := range p.stopFuncs {
		stop()
	}
}

// Configure writes a configuration version whose tenant has the given API keys.
func (p *Platform) Configure(version int, keys ...string) {
	route := func(name, prefix, kind, service string, public bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "path_prefix": prefix, "kind": kind, "service": service, "public": public,
			"timeout_ms": 5000, "max_attempts": 3, "priority": 1, "run_deadline_ms": 7500, "max_queue_s": 40,
		}
	}
	streams := route("stream", Streams, "streaming", "engines", false)
	streams["resumable"] = true
	p.Store.Put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			route("lookup", Lookup, "safe", "plain", false), route("write", Writes, "unsafe", "plain", false), route("score", Scores, "safe", "plain", true),
			route("rollout", Rollouts, "rollout", "engines", false), streams,
		},
		"services": []any{
			map[string]any{"name": "plain"},
			map[string]any{"name": "engines", "engine": map[string]any{"models": []any{map[string]any{"name": Model}}}},
		},
		"limits":  p.limits(),
		"tenants": []any{map[string]any{"name": Tenant, "api_keys": keys}},
	})
}

// limits returns the limits in the configuration.
func (p *Platform) limits() map[string]any {
	limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20}
	maps.Copy(limits, p.Limits)
	return limits
}

// SetTargetVersion sets the target weight version of the model.
func (p *Platform) SetTargetVersion(version int) {
	p.Store.Put("versions", Model, map[string]any{"model": Model, "version": version})
}

// Reports returns the accepted usage reports in order of arrival.
func (p *Platform) Reports() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Report(nil), p.reports...)
}

func (p *Platform) handleUsage(w http.ResponseWriter, r *http.Request) {
	var report Report
	if json.NewDecoder(r.Body).Decode(&report) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseUint(r.Header.Get("Figshift-Fence-Token"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	report.Holder, report.Fence, report.At = r.Header.Get("Figshift-Duty-Holder"), fence, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.reports); n > 0 && fence < p.reports[n-1].Fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.reports = append(p.reports, report)
	w.WriteHeader(http.StatusOK)
}

// Address returns the address of the platform's listener. It is empty before Start.
func (p *Platform) Address() string { return p.address }

// IP returns the loopback IP of a host. Hosts are numbered from 1.
func IP(host int) string { return fmt.Sprintf("127.0.0.%d", 10+host) }

// ClientAddress returns the address of a host's listener for client requests.
func (p *Platform) ClientAddress(host int) string { return fmt.Sprintf("%s:%d", IP(host), p.Port) }

// ReadinessAddress returns the address of a host's readiness listener, which the load balancer polls.
func (p *Platform) ReadinessAddress(host int) string { return fmt.Sprintf("%s:%d", IP(host), p.Port+1) }

// PeerAddress returns the address of a host's listener for the heartbeats of other hosts.
func (p *Platform) PeerAddress(host int) string { return fmt.Sprintf("%s:%d", IP(host), p.Port+4) }

// HostAPIAddress returns the address at which a host serves the other hosts.
func (p *Platform) HostAPIAddress(host int) string { return fmt.Sprintf("%s:%d", IP(host), p.Port+5) }

// MetricsAddress returns the address of a host's metrics listener.
func (p *Platform) MetricsAddress(host int) string { return fmt.Sprintf("%s:%d", IP(host), p.Port+6) }

// WriteSettings writes a host's settings file into folder and returns its path. Class is "front" or "store".
func (p *Platform) WriteSettings(folder string, host int, class string) (string, error) {
	address, bind := cmp.Or(p.address, "127.0.0.1:1"), IP(host)
	if p.PlatformAddressFor != nil {
		address = p.PlatformAddressFor(host)
	}
	if p.BindIP != nil {
		bind = p.BindIP(host)
	}
	name := fmt.Sprintf("host-%d", host)
	if p.HostName != nil {
		name = p.HostName(host)
	}
	file := filepath.Join(folder, fmt.Sprintf("host%d.ini", host))
	text := fmt.Sprintf(`[Host]
Host = %s
Zone = zone-%d
Class = %s
IP = %s
Bind = %s
Deployment = estate
Listen = %s
Ready = %s
Ports = %d,%d
Store = %s
Cloud = %s
MetricsPort = %d
MemoryMB = %d
CPUShare = 1
Cores = 1
FirstStart = false
GraceS = 8
LeaseMS = 3000
UsageWindowS = 2
UsageLateS = 4
KeepResultsS = 120
ApplyMS = 2000
LogLevel = info
LogPerSecond = 60
`, name, (host-1)%zoneCount+1, class, IP(host), bind, p.ClientAddress(host), p.ReadinessAddress(host), p.Port+4, p.Port+9, address, address, p.Port+6, cmp.Or(p.MemoryMB, 200))
	if p.MaxFDs > 0 {
		text += fmt.Sprintf("MaxFDs = %d\n", p.MaxFDs)
	}
	return file, os.WriteFile(file, []byte(text), 0o600)
}
