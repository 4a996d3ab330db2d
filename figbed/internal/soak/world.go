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
	readyBound = 20 * time.Second
	// stopBound is the grace of the settings, and the longest freeze that can lie in it.
	stopBound = 8*time.Second + 10*time.Second
	shownTail = 2000 // bytes of a process's output
	// peerPorts are those of the internal listeners, counted from the estate's first port; behind them is the store's.
	firstPeerPort = 4
	peerPorts     = 2
	storePort     = 10
)

// The stand-ins of a run.
const (
	plainServers = 2
	engines      = 4
	engineSlots  = 4
	plainSlots   = 16
	plainWork    = 60 * time.Millisecond // so that some calls are under way at any moment
	eventGap     = 20 * time.Millisecond
	shortEvents  = 15
	longEvents   = 90
	usageWindow  = 2 * time.Second // of the estate's settings
)

// world is what runs: the platform, the links and the hosts' processes.
type world struct {
	t       proc.T
	estate  *estate.Estate
	folder  string
	hosts   int
	book    *book
	links   map[int][]*Link // of a host
	serving []*Link         // of the servers, in their order

	mu        sync.Mutex
	processes map[int]*proc.Process
	down      map[int]bool // stopped on purpose
	active    []Fault
}

// eventsOf returns the events of an item's stream: every eighth is long.
func eventsOf(item string) int {
	if strings.HasSuffix(item, "3") {
		return longEvents
	}
	return shortEvents
}

func newWorld(t proc.T, hosts, port int, b *book) *world {
	w := &world{
		t: t, folder: t.TempDir(), hosts: hosts, book: b, links: map[int][]*Link{},
		processes: map[int]*proc.Process{}, down: map[int]bool{},
	}
	w.estate = &estate.Estate{
		Port: port, Bind: bindIP,
		StoreOf: func(host int) string { return fmt.Sprintf("%s:%d", estate.IP(host), port+storePort) },
	}
	for n := range plainServers {
		w.estate.Servers = append(w.estate.Servers, &estate.Server{
			Name: fmt.Sprintf("plain-%d", n+1), Service: "plain", Zone: fmt.Sprintf("zone-%d", n+1), Slots: plainSlots, Work: plainWork, Reach: w.reach,
		})
	}
	for n := range engines {
		w.estate.Servers = append(w.estate.Servers, &estate.Server{
			Name: fmt.Sprintf("engine-%d", n+1), Service: "engines", Zone: fmt.Sprintf("zone-%d", n%2+1), Models: []string{estate.Model},
			Slots: engineSlots, Gap: eventGap, EventsOf: eventsOf, Reach: w.reach,
		})
	}
	return w
}

// bindIP returns the IP at which a host's internal listeners are, behind its links.
func bindIP(host int) string { return fmt.Sprintf("127.0.1.%d", 10+host) }

func hostOf(ip string) int {
	var host int
	if _, err := fmt.Sscanf(ip, "127.0.1.%d", &host); err != nil {
		return 0 // not an internal address
	}
	return host - 10
}

// start runs the platform, then the hosts.
func (w *world) start() {
	if err := w.estate.Start(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(w.estate.Stop)
	for host := 1; host <= w.hosts; host++ {
		w.link(host)
	}
	for host := 1; host <= w.hosts; host++ {
		w.run(host)
	}
	for host := 1; host <= w.hosts; host++ {
		proc.WaitUntil(w.t, readyBound, fmt.Sprintf("host-%d is ready", host), func() bool { return isReady(w.estate, host) })
	}
}

// reach puts a link before a server.
func (w *world) reach(listen string) (string, error) {
	server := len(w.serving) + 1
	l := &Link{Listen: "127.0.0.1:0", Upstream: listen, Harm: func(string) Harm { return w.serverHarm(server) }}
	if err := l.Start(); err != nil {
		return "", err
	}
	w.t.Cleanup(l.Stop)
	w.serving = append(w.serving, l)
	return l.Address(), nil
}

// link puts links before a host's internal listeners and between it and the platform.
func (w *world) link(host int) {
	var links []*Link
	for n := range peerPorts {
		port := w.estate.Port + firstPeerPort + n
		links = append(links, &Link{
			Listen: fmt.Sprintf("%s:%d", estate.IP(host), port), Upstream: fmt.Sprintf("%s:%d", bindIP(host), port),
			Harm: func(source string) Harm { return w.peerHarm(host, hostOf(source)) },
		})
	}
	links = append(links, &Link{
		Listen: w.estate.StoreOf(host), Upstream: w.estate.Address(), Harm: func(string) Harm { return w.storeHarm(host) },
	})
	for _, l := range links {
		if err := l.Start(); err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(l.Stop)
	}
	w.links[host] = links
}

// run starts a host's process.
func (w *world) run(host int) {
	settings, err := w.estate.Settings(w.folder, host, "front")
	if err != nil {
		w.t.Errorf("settings of host-%d: %v", host, err)
		return
	}
	env := []string{"FIGSHIFT_SKEW=" + w.skewFile(host)}
	p := proc.StartWith(w.t, env, fmt.Sprintf("host-%d", host), "figd", "platform", settings)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[host], w.down[host] = p, false
}

func (w *world) skewFile(host int) string {
	return filepath.Join(w.folder, fmt.Sprintf("host%d.skew", host))
}

// take marks a host as stopped on purpose and returns its process, nil when it is so already.
func (w *world) take(host int) *proc.Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[host] {
		return nil
	}
	w.down[host] = true
	return w.processes[host]
}

// process returns a host's process.
func (w *world) process(host int) *proc.Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[host]
}

// lost returns what is to be said of processes that ended by themselves, and has them started again.
func (w *world) lost() (broken []string) {
	for host := 1; host <= w.hosts; host++ {
		w.mu.Lock()
		p, ended := w.processes[host], !w.down[host] && w.processes[host].Exited()
		w.mu.Unlock()
		if ended {
			out := p.Output()
			broken = append(broken, fmt.Sprintf("EXIT: host-%d ended by itself: %s", host, out[max(0, len(out)-shownTail):]))
			w.run(host)
		}
	}
	return broken
}

// stop ends a host gracefully and returns what is to be said of its end.
func (w *world) stop(host int, p *proc.Process) string {
	p.Signal(syscall.SIGTERM)
	if !proc.Within(stopBound, p.Exited) {
		p.Kill()
		return fmt.Sprintf("EXIT: host-%d still runs %v after SIGTERM", host, stopBound)
	}
	if code := p.ExitCode(time.Second); code != 0 {
		return fmt.Sprintf("EXIT: host-%d ended with code %d after SIGTERM", host, code)
	}
	return ""
}

// skew sets how far a host's time of day is off.
func (w *world) skew(host, ms int) {
	if err := os.WriteFile(w.skewFile(host), []byte(fmt.Sprint(ms)), 0o600); err != nil {
		w.t.Errorf("clock of host-%d: %v", host, err)
	}
}

// set adds or removes an active fault.
func (w *world) set(f Fault, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on {
		w.active = append(w.active, f)
		return
	}
	if i := slices.Index(w.active, f); i >= 0 {
		w.active = slices.Delete(w.active, i, i+1)
	}
}

// each calls f with the active faults whose target is one of some.
func (w *world) each(f func(one Fault), targets ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range w.active {
		if slices.Contains(targets, one.Target) {
			f(one)
		}
	}
}

// peerHarm returns the harm to connections from a host to another one; from is 0 when it is not known.
func (w *world) peerHarm(to, from int) (h Harm) {
	w.each(func(f Fault) {
		switch f.Kind {
		case HostCut:
			h.Request, h.Answer = true, true
		case HostCutIn:
			h.Request = h.Request || f.Target == to
			h.Answer = h.Answer || f.Target == from
		case HostCutOut:
			h.Request = h.Request || f.Target == from
			h.Answer = h.Answer || f.Target == to
		case HostSlow:
			h.Delay += time.Duration(f.Amount) * time.Millisecond
		}
	}, to, from)
	return h
}

// storeHarm returns the harm to a host's connections to the platform.
func (w *world) storeHarm(host int) (h Harm) {
	w.each(func(f Fault) {
		switch f.Kind {
		case HostCut, HostNoStore:
			h.Request, h.Answer = true, true
		case HostCutIn:
			h.Answer = true
		case HostCutOut:
			h.Request = true
		case HostSlow:
			h.Delay += time.Duration(f.Amount) * time.Millisecond
		}
	}, host)
	return h
}

// serverHarm returns the harm to connections to a server.
func (w *world) serverHarm(server int) (h Harm) {
	w.each(func(f Fault) {
		switch f.Kind {
		case ServerSilent:
			h.Answer = true
		case ServerSlow:
			h.Delay += time.Duration(f.Amount) * time.Millisecond
		}
	}, server)
	return h
}
