package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

const (
	readyTimeout = 20 * time.Second
	// stopTimeout is the grace period in the hosts' settings plus the longest suspension that can fall into it.
	stopTimeout     = 8*time.Second + 10*time.Second
	outputTailBytes = 2000 // bytes at the end of a process's output that are shown after it exited
	// Ports on a host's address, counted from the platform's first port: the internal listeners, then the proxy to the
	// platform.
	peerPortOffset     = 4
	peerPortCount      = 2
	platformPortOffset = 10
)

// Servers of the simulated platform.
const (
	plainServerCount  = 2
	engineCount       = 4
	engineSlots       = 4
	plainSlots        = 16
	plainWorkTime     = 60 * time.Millisecond // long enough for some calls to be in flight at any moment
	eventInterval     = 20 * time.Millisecond
	shortStreamEvents = 15
	longStreamEvents  = 90
	usageWindow       = 2 * time.Second // UsageWindowS in the hosts' settings
	harmfulPath       = estate.Lookup + "harmful-"
	crashDelay        = 40 * time.Millisecond
	restartTime       = 1200 * time.Millisecond
	registerDelay     = 800 * time.Millisecond // from an engine's restart until the store shows it
)

// isHarmful reports whether a request crashes the server that runs it.
func isHarmful(path string, _ []byte) bool { return strings.HasPrefix(path, harmfulPath) }

// testbed is the environment of a run: the platform, the proxies and the hosts' processes.
type testbed struct {
	t             proc.T
	platform      *estate.Platform
	folder        string
	hosts         int
	recorder      *recorder
	oldPrograms   string                   // folder, "" for none
	hostProxies   map[int][]*ImpairedProxy // by host
	serverProxies []*ImpairedProxy         // one per server, in the platform's order

	mu           sync.Mutex
	processes    map[int]*proc.Process
	builds       map[int]int // by host: buildOld or buildNew
	starts       []startedHost
	stopped      map[int]bool // by host; set while the process is stopped by a fault
	activeFaults []Fault
}

// streamEvents returns the number of events in an item's stream. Streams of items whose id ends in 3 are long, which is one
// in eight.
func streamEvents(item string) int {
	if strings.HasSuffix(item, "3") {
		return longStreamEvents
	}
	return shortStreamEvents
}

func newTestbed(t proc.T, hosts, port int, oldPrograms string, rec *recorder) *testbed {
	b := &testbed{
		t: t, folder: t.TempDir(), hosts: hosts, recorder: rec, hostProxies: map[int][]*ImpairedProxy{},
		oldPrograms: oldPrograms, builds: map[int]int{}, processes: map[int]*proc.Process{}, stopped: map[int]bool{},
	}
	b.platform = &estate.Platform{
		Port: port, BindIP: bindIP, MemoryMB: hostMemoryMB, MaxFDs: hostMaxFDs,
		PlatformAddressFor: func(host int) string { return fmt.Sprintf("%s:%d", estate.IP(host), port+platformPortOffset) },
	}
	for n := range plainServerCount {
		b.platform.Servers = append(b.platform.Servers, &estate.Server{
			Name: fmt.Sprintf("plain-%d", n+1), Service: "plain", Zone: fmt.Sprintf("zone-%d", n+1), Slots: plainSlots, WorkTime: plainWorkTime, RegisterAddress: b.startServerProxy,
			CrashesUnder: isHarmful, CrashDelay: crashDelay, RestartTime: restartTime,
		})
	}
	for n := range engineCount {
		b.platform.Servers = append(b.platform.Servers, &estate.Server{
			Name: fmt.Sprintf("engine-%d", n+1), Service: "engines", Zone: fmt.Sprintf("zone-%d", n%2+1), Models: []string{estate.Model},
			Slots: engineSlots, EventInterval: eventInterval, EventsOf: streamEvents, RegisterAddress: b.startServerProxy,
			Software: softwareVersions[n%len(softwareVersions)], TellsSoftware: true, RestartTime: restartTime, RegisterDelay: registerDelay,
		})
	}
	return b
}

// bindIP returns the IP that a host's internal listeners bind to. Other hosts reach them only through the host's proxies.
func bindIP(host int) string { return fmt.Sprintf("127.0.1.%d", 10+host) }

func hostOfBindIP(ip string) int {
	var host int
	if _, err := fmt.Sscanf(ip, "127.0.1.%d", &host); err != nil {
		return 0 // not a bind IP
	}
	return host - 10
}

// start starts the platform, then the hosts, and waits until all hosts are ready.
func (b *testbed) start() {
	if err := b.platform.Start(); err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(b.platform.Stop)
	for host := 1; host <= b.hosts; host++ {
		b.startHostProxies(host)
	}
	for host := 1; host <= b.hosts; host++ {
		b.startHost(host)
	}
	for host := 1; host <= b.hosts; host++ {
		proc.WaitUntil(b.t, readyTimeout, fmt.Sprintf("host-%d is ready", host), func() bool { return isReady(b.platform, host) })
	}
}

// startServerProxy starts a proxy in front of a server and returns the proxy's address.
func (b *testbed) startServerProxy(listen string) (string, error) {
	number := len(b.serverProxies) + 1
	p := &ImpairedProxy{Listen: "127.0.0.1:0", Upstream: listen, Impairment: func(source string) Impairment { return b.serverImpairment(number, hostOfBindIP(source)) }}
	if err := p.Start(); err != nil {
		return "", err
	}
	b.t.Cleanup(p.Stop)
	b.serverProxies = append(b.serverProxies, p)
	return p.Address(), nil
}

// startHostProxies starts the proxies in front of a host's internal listeners and the proxy from the host to the
// platform.
func (b *testbed) startHostProxies(host int) {
	var proxies []*ImpairedProxy
	for n := range peerPortCount {
		port := b.platform.Port + peerPortOffset + n
		proxies = append(proxies, &ImpairedProxy{
			Listen: fmt.Sprintf("%s:%d", estate.IP(host), port), Upstream: fmt.Sprintf("%s:%d", bindIP(host), port),
			Impairment: func(source string) Impairment { return b.peerImpairment(host, hostOfBindIP(source)) },
		})
	}
	proxies = append(proxies, &ImpairedProxy{
		Listen: b.platform.PlatformAddressFor(host), Upstream: b.platform.Address(), Impairment: func(string) Impairment { return b.storeImpairment(host) },
	})
	for _, p := range proxies {
		if err := p.Start(); err != nil {
			b.t.Fatal(err)
		}
		b.t.Cleanup(p.Stop)
	}
	b.hostProxies[host] = proxies
}

// startHost starts a host's process.
func (b *testbed) startHost(host int) {
	settings, err := b.platform.WriteSettings(b.folder, host, "front")
	if err != nil {
		b.t.Errorf("writing the settings of host-%d: %v", host, err)
		return
	}
	build, program := b.programOf(host)
	env := []string{"FIGSHIFT_SKEW=" + b.clockSkewFile(host)}
	p := proc.StartWith(b.t, env, fmt.Sprintf("host-%d", host), program, "platform", settings)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts = append(b.starts, startedHost{at: time.Now(), host: host, build: build, process: p})
	b.processes[host], b.stopped[host] = p, false
}

func (b *testbed) clockSkewFile(host int) string {
	return filepath.Join(b.folder, fmt.Sprintf("host%d.skew", host))
}

// takeProcess marks a host as stopped and returns its process, or nil if the host is already marked.
func (b *testbed) takeProcess(host int) *proc.Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped[host] {
		return nil
	}
	b.stopped[host] = true
	return b.processes[host]
}

// process returns a host's current process.
func (b *testbed) process(host int) *proc.Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.processes[host]
}

// restartExited restarts the hosts whose process exited on its own and returns a violation for each.
func (b *testbed) restartExited() (violations []string) {
	for host := 1; host <= b.hosts; host++ {
		b.mu.Lock()
		p, exited := b.processes[host], !b.stopped[host] && b.processes[host].Exited()
		b.mu.Unlock()
		if exited {
			output := p.Output()
			violations = append(violations, fmt.Sprintf("EXIT: host-%d exited unexpectedly: %s", host, output[max(0, len(output)-outputTailBytes):]))
			b.startHost(host)
		}
	}
	return violations
}

// stopProcess stops a host gracefully. It returns a violation if the process does not exit in time or with code 0.
func (b *testbed) stopProcess(host int, p *proc.Process) string {
	p.Signal(syscall.SIGTERM)
	if !proc.Poll(stopTimeout, p.Exited) {
		p.Kill()
		return fmt.Sprintf("EXIT: host-%d is still running %v after SIGTERM", host, stopTimeout)
	}
	if code := p.ExitCode(time.Second); code != 0 {
		return fmt.Sprintf("EXIT: host-%d exited with code %d after SIGTERM", host, code)
	}
	return ""
}

// setClockSkew sets the offset of a host's wall clock in milliseconds.
func (b *testbed) setClockSkew(host, ms int) {
	if err := os.WriteFile(b.clockSkewFile(host), []byte(fmt.Sprint(ms)), 0o600); err != nil {
		b.t.Errorf("setting the clock skew of host-%d: %v", host, err)
	}
}

// setFaultActive adds a fault to the active faults or removes it from them.
func (b *testbed) setFaultActive(f Fault, active bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if active {
		b.activeFaults = append(b.activeFaults, f)
		return
	}
	if i := slices.Index(b.activeFaults, f); i >= 0 {
		b.activeFaults = slices.Delete(b.activeFaults, i, i+1)
	}
}

// eachActiveFault calls fn for each active fault that has one of the targets.
func (b *testbed) eachActiveFault(fn func(fault Fault), targets ...int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, fault := range b.activeFaults {
		if slices.Contains(targets, fault.Target) {
			fn(fault)
		}
	}
}

// peerImpairment returns the impairment of connections from one host to another. From is 0 if the source is unknown.
func (b *testbed) peerImpairment(to, from int) (impairment Impairment) {
	b.eachActiveFault(func(f Fault) {
		switch f.Kind {
		case HostCut:
			impairment.HoldRequests, impairment.HoldResponses = true, true
		case HostCutIn:
			impairment.HoldRequests = impairment.HoldRequests || f.Target == to
			impairment.HoldResponses = impairment.HoldResponses || f.Target == from
		case HostCutOut:
			impairment.HoldRequests = impairment.HoldRequests || f.Target == from
			impairment.HoldResponses = impairment.HoldResponses || f.Target == to
		case HostSlow:
			impairment.Delay += time.Duration(f.Amount) * time.Millisecond
		}
	}, to, from)
	return impairment
}

// storeImpairment returns the impairment of a host's connections to the platform.
func (b *testbed) storeImpairment(host int) (impairment Impairment) {
	b.eachActiveFault(func(f Fault) {
		switch f.Kind {
		case HostCut, HostNoStore:
			impairment.HoldRequests, impairment.HoldResponses = true, true
		case HostCutIn:
			impairment.HoldResponses = true
		case HostCutOut:
			impairment.HoldRequests = true
		case HostSlow:
			impairment.Delay += time.Duration(f.Amount) * time.Millisecond
		}
	}, host)
	return impairment
}

// serverImpairment returns the impairment of a host's connections to a server.
func (b *testbed) serverImpairment(server, host int) (impairment Impairment) {
	b.eachActiveFault(func(f Fault) {
		if f.Kind == HostNoLinks {
			impairment = linkFaults[f.Amount%len(linkFaults)]
		}
	}, host)
	b.eachActiveFault(func(f Fault) {
		switch f.Kind {
		case ServerSilent:
			impairment.HoldResponses = true
		case ServerSlow:
			impairment.Delay += time.Duration(f.Amount) * time.Millisecond
		}
	}, server)
	return impairment
}
