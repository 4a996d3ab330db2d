package proofs

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

const (
	softwareStreams    = 24 // streams that callers take up again
	softwareEvents     = 30 // events of a stream
	softwareInterval   = 50 * time.Millisecond
	softwareHeldEvents = 6 // events that callers hold when they take a stream up again
)

// Streams of callers and texts of items went on at endpoints of another software version than the one that began them.
func TestStreamsKeepTheirSoftware(t *testing.T) {
	t.Parallel()
	servers := softwareEngines(3, 3)
	f := startPlatformFleet(t, 4, servers...)
	f.submit(2, "job", 4, 1)
	ids := f.beginStreams(1)
	f.hosts[0].Kill()
	servers[0].Restart("v2")
	servers[3].Restart("v1")
	resumed := f.resumeStreams(ids, 2, 3, 4)
	f.waitComplete(2, "job", 4*estate.ItemsPerGroup, softwareEvents, 20*time.Second)
	if mixed := estate.MixedStreams(servers); len(mixed) > 0 {
		t.Errorf("streams with events of two software versions: %d of %d and items: %v", len(mixed), len(ids), mixed)
	}
	if resumed < len(ids)/2 {
		t.Errorf("%d of %d streams went on, although two endpoints of each version serve; want half of them", resumed, len(ids))
	}
}

// A stream that no endpoint can take up was kept waiting, or went on at another version.
func TestStreamWithoutItsSoftwareIsRefused(t *testing.T) {
	t.Parallel()
	servers := softwareEngines(2, 1)
	f := startPlatformFleet(t, 3, servers...)
	ids := f.beginStreams(1)
	leaving := slices.DeleteFunc(ids, func(id string) bool { return !began(servers[0], id) && !began(servers[1], id) })
	if len(leaving) == 0 {
		t.Fatal("no stream began at the version that leaves: the case shows nothing")
	}
	servers[0].SetDraining(true)
	servers[1].SetDraining(true)
	proc.WaitUntil(t, 10*time.Second, "streams of the version that leaves don't go on", func() bool {
		return f.resumeStreams(leaving[:1], 2) == 0 || len(estate.MixedStreams(servers)) > 0
	})
	start := time.Now()
	if resumed := f.resumeStreams(leaving, 2, 3); resumed > 0 {
		t.Errorf("%d of %d streams went on without an endpoint of their version", resumed, len(leaving))
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the refusals of %d streams took %v, want them at once", len(leaving), took)
	}
	if mixed := estate.MixedStreams(servers); len(mixed) > 0 {
		t.Errorf("streams with events of two software versions: %v", mixed)
	}
}

// An endpoint that started again under its name, with another software version, got streams while the list still showed it
// as it was before.
func TestRestartedEndpointIsNotWhatItWas(t *testing.T) {
	t.Parallel()
	servers := softwareEngines(2, 1)
	for _, s := range servers[:2] {
		s.RegisterDelay = 3 * time.Second
	}
	f := startPlatformFleet(t, 3, servers...)
	ids := f.beginStreams(1)
	f.submit(2, "job", 4, 1)
	proc.WaitUntil(t, 10*time.Second, "items run at the endpoint that starts again", func() bool {
		return slices.ContainsFunc(servers[0].Runs(), func(r estate.Run) bool {
			return strings.HasPrefix(r.Path, estate.Rollouts) && len(r.EventVersions) > softwareHeldEvents
		})
	})
	servers[0].Restart("v3")
	time.Sleep(2 * servers[0].RestartTime)
	f.resumeStreams(ids, 2, 3)
	f.beginNamed(3, "t")
	servers[1].Restart("v3")
	time.Sleep(2 * servers[1].RestartTime)
	f.resumeStreams(ids, 1, 2)
	f.waitComplete(2, "job", 4*estate.ItemsPerGroup, softwareEvents, 20*time.Second)
	if mixed := estate.MixedStreams(servers); len(mixed) > 0 {
		t.Errorf("streams with events of two software versions: %v", mixed)
	}
}

// began reports whether a server ran the beginning of a caller's stream.
func began(s *estate.Server, id string) bool {
	return slices.ContainsFunc(s.Runs(), func(r estate.Run) bool { return r.Path == estate.Streams+id && r.LastEventID == "" })
}

// softwareEngines returns engines of two software versions, and a plain server for scores.
func softwareEngines(first, second int) []*estate.Server {
	var servers []*estate.Server
	for n := range first + second {
		s := newEngine(fmt.Sprintf("e%d", n+1), fmt.Sprintf("zone-%d", n%4+1), softwareEvents, softwareInterval)
		s.Slots, s.Software, s.RestartTime = 64, "v1", 100*time.Millisecond
		if n >= first {
			s.Software = "v2"
		}
		servers = append(servers, s)
	}
	return append(servers, newPlainServer("p1", "zone-1"))
}

// beginStreams begins streams at a host, leaves each after softwareHeldEvents events and returns their ids.
func (f *platformFleet) beginStreams(host int) []string {
	f.t.Helper()
	return f.beginNamed(host, "s")
}

// beginNamed is beginStreams with a prefix of the ids.
func (f *platformFleet) beginNamed(host int, prefix string) []string {
	f.t.Helper()
	var ids []string
	var callers sync.WaitGroup
	for n := range softwareStreams {
		id := fmt.Sprintf("%s%d", prefix, n)
		ids = append(ids, id)
		callers.Go(func() {
			if got := f.stream(host, id, id, "", "", softwareHeldEvents); got != softwareHeldEvents {
				f.t.Errorf("stream %s: %d events, want %d", id, got, softwareHeldEvents)
			}
		})
	}
	callers.Wait()
	return ids
}

// resumeStreams takes streams up again, each at one of the hosts, and returns how many went on to their end.
func (f *platformFleet) resumeStreams(ids []string, hosts ...int) int {
	var mu sync.Mutex
	var callers sync.WaitGroup
	whole := 0
	for n, id := range ids {
		callers.Go(func() {
			attempt := fmt.Sprintf("%s-again-%d", id, time.Now().UnixNano())
			got := f.stream(hosts[n%len(hosts)], id, attempt, fmt.Sprint(softwareHeldEvents), id, softwareEvents)
			mu.Lock()
			defer mu.Unlock()
			if got == softwareEvents-softwareHeldEvents {
				whole++
			}
		})
	}
	callers.Wait()
	return whole
}

// stream asks a host for a stream, reads up to a number of events and returns how many came.
func (f *platformFleet) stream(host int, id, attempt, lastEvent, resumes string, most int) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.ClientAddress(host)+estate.Streams+id, strings.NewReader("prompt"))
	if err != nil {
		f.t.Error(err)
		return 0
	}
	req.Host, req.Close = estate.Host, true
	req.Header.Set(estate.HeaderAttemptID, attempt)
	req.Header.Set("Figshift-Model", estate.Model)
	req.Header.Set("Figshift-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer "+estate.Key)
	if lastEvent != "" {
		req.Header.Set(estate.HeaderLastEventID, lastEvent)
		req.Header.Set(estate.HeaderResumes, resumes)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	events := 0
	for lines := bufio.NewScanner(resp.Body); events < most && lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return events
}

// All hosts were killed at once and came back, and callers took their streams up while the hosts knew of no endpoint, or of no
// stream, yet.
func TestStreamsAfterAllHostsWereKilled(t *testing.T) {
	t.Parallel()
	cases := map[string]func(servers []*estate.Server){
		"both versions serve":   func([]*estate.Server) {},
		"the old one just left": func(servers []*estate.Server) { servers[0].SetDraining(true); servers[1].SetDraining(true) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := softwareEngines(2, 2)
			f := startPlatformFleet(t, 3, servers...)
			ids := f.beginStreams(1)
			change(servers)
			for _, h := range f.hosts {
				h.Kill()
			}
			for n := range f.hosts {
				f.hosts[n] = f.startFigd(n + 1)
			}
			const rejoinTime = 5 * time.Second // in which the hosts learn of each other and of the endpoints
			for until := time.Now().Add(rejoinTime); time.Now().Before(until); {
				f.resumeStreams(ids, 1, 2, 3)
			}
			if fresh := len(f.beginNamed(2, "t")); fresh != softwareStreams {
				t.Errorf("%d streams begin after that, want %d", fresh, softwareStreams)
			}
			if mixed := estate.MixedStreams(servers); len(mixed) > 0 {
				t.Errorf("streams with events of two software versions: %d of %d: %v", len(mixed), len(ids), mixed)
			}
		})
	}
}
