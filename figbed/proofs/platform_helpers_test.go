package proofs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

// platformFleet is a simulated platform with figd running on some of its hosts.
type platformFleet struct {
	*estate.Platform
	t      *testing.T
	dir    string
	hosts  []*proc.Process // index 0 is host-1
	client *http.Client
}

// lastPortRange is the number of the port range that was last given to a simulated platform. The platforms of
// parallel tests have separate ranges.
var lastPortRange atomic.Int32

const (
	portsPerPlatform  = 20
	firstPlatformPort = 10100 // below the ports of proc.Address
)

func startPlatformFleet(t *testing.T, hosts int, servers ...*estate.Server) *platformFleet {
	t.Helper()
	return startFleetOn(t, hosts, &estate.Platform{Servers: servers})
}

// startFleetOn starts hosts on a simulated platform, to which it gives a range of ports.
func startFleetOn(t *testing.T, hosts int, platform *estate.Platform) *platformFleet {
	t.Helper()
	f := &platformFleet{t: t, dir: t.TempDir(), client: &http.Client{Timeout: 20 * time.Second}, Platform: platform}
	f.Port = firstPlatformPort + portsPerPlatform*int(lastPortRange.Add(1))
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	for n := 1; n <= hosts; n++ {
		f.hosts = append(f.hosts, f.startFigd(n))
	}
	for n := 1; n <= hosts; n++ {
		f.waitReady(n)
	}
	return f
}

func (f *platformFleet) startFigd(host int) *proc.Process {
	f.t.Helper()
	settings, err := f.WriteSettings(f.dir, host, "front")
	if err != nil {
		f.t.Fatal(err)
	}
	return proc.Start(f.t, fmt.Sprintf("host-%d", host), "figd", "platform", settings)
}

func (f *platformFleet) waitReady(host int) {
	f.t.Helper()
	proc.WaitUntil(f.t, 20*time.Second, fmt.Sprintf("host-%d is ready", host), func() bool { return f.isReady(host) })
}

func (f *platformFleet) isReady(host int) bool {
	resp, err := f.client.Get("http://" + f.ReadinessAddress(host) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends one request to a host and returns the status and body of the response, or status 0 and the error without
// one.
func (f *platformFleet) call(host int, method, path, id, key string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+f.ClientAddress(host)+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = estate.Host
	req.Close = true
	req.Header.Set(estate.HeaderAttemptID, id)
	req.Header.Set("Figshift-Deadline-Ms", "4000")
	req.Header.Set("Figshift-Wait-Ms", "1000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

func (f *platformFleet) submit(host int, id string, groups, minVersion int) {
	f.t.Helper()
	proc.WaitUntil(f.t, 10*time.Second, "job "+id+" is accepted", func() bool {
		status, _ := f.call(host, http.MethodPost, estate.Rollouts+id, id, estate.Key, estate.JobBody(id, groups, minVersion))
		return status == http.StatusAccepted
	})
}

// results is one page of the results of a job.
type results struct {
	Total   int `json:"total"`
	Next    int `json:"next_token"`
	Results []struct {
		ID       string   `json:"id"`
		State    string   `json:"state"`
		Text     string   `json:"text"`
		Versions []uint64 `json:"versions"`
		Score    string   `json:"score"`
	} `json:"results"`
}

// listResults returns a page of the results of a job, from a position on, and the status of the response.
func (f *platformFleet) listResults(host int, id string, after int) (results, int) {
	status, text := f.call(host, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "r", estate.Key, nil)
	var page results
	if status == http.StatusOK {
		if err := json.Unmarshal([]byte(text), &page); err != nil {
			f.t.Errorf("page of %s: %v", id, err)
		}
	}
	return page, status
}

// waitComplete waits until a host lists all items of a job, and checks that each is listed once, with a score and with
// the text of every event once and in order.
func (f *platformFleet) waitComplete(host int, id string, itemCount, eventsPerItem int, timeout time.Duration) results {
	f.t.Helper()
	var page results
	proc.WaitUntil(f.t, timeout, fmt.Sprintf("all items of job %s are listed by host-%d", id, host), func() bool {
		page, _ = f.listResults(host, id, 0)
		return len(page.Results) == itemCount
	})
	seen := map[string]int{}
	for _, r := range page.Results {
		seen[r.ID]++
		var want []string
		for n := 1; n <= eventsPerItem; n++ {
			want = append(want, estate.EventData(r.ID, n))
		}
		if diff := cmp.Diff(strings.Join(want, "\n"), r.Text); diff != "" {
			f.t.Errorf("text of %s (-want +got):\n%s", r.ID, diff)
		}
		if r.State != "completed" || len(r.Versions) == 0 || !strings.HasSuffix(r.Score, ".score-"+r.ID) {
			f.t.Errorf("result %s: state %s, versions %v, score %q", r.ID, r.State, r.Versions, r.Score)
		}
	}
	for i := range itemCount {
		if name := fmt.Sprintf("%s-%d", id, i); seen[name] != 1 {
			f.t.Errorf("item %s is listed %d times", name, seen[name])
		}
	}
	return page
}

func newPlainServer(name, zone string) *estate.Server {
	return &estate.Server{Name: name, Service: "plain", Zone: zone, Slots: 8, WorkTime: 5 * time.Millisecond}
}

func newEngine(name, zone string, eventCount int, eventInterval time.Duration) *estate.Server {
	return &estate.Server{Name: name, Service: "engines", Zone: zone, Models: []string{estate.Model}, Slots: 4, Events: eventCount, EventInterval: eventInterval}
}

// jobOwner returns the index of the host that logged that it started to run a job.
func (f *platformFleet) jobOwner(id string) int {
	f.t.Helper()
	owner := -1
	proc.WaitUntil(f.t, 10*time.Second, "a host runs "+id, func() bool {
		for i, h := range f.hosts {
			for _, line := range strings.Split(h.Output(), "\n") {
				started := strings.Contains(line, "Event=JobKept") && strings.Contains(line, "Kind= ")
				if started && strings.Contains(line, "Job="+id+" ") {
					owner = i
				}
			}
		}
		return owner >= 0
	})
	return owner
}

// explain runs figctl explain on the logs of all hosts and returns its output.
func (f *platformFleet) explain(id string) string {
	f.t.Helper()
	var names []string
	for i, h := range f.hosts {
		name := filepath.Join(f.dir, fmt.Sprintf("host%d.log", i+1))
		if err := os.WriteFile(name, []byte(h.Output()), 0o600); err != nil {
			f.t.Fatal(err)
		}
		names = append(names, name)
	}
	p := proc.Start(f.t, "figctl", "figctl", "explain", "--id", id, "--files", strings.Join(names, ","))
	if code := p.ExitCode(10 * time.Second); code != 0 {
		f.t.Errorf("figctl explain --id %s: exit code %d", id, code)
	}
	return p.Output()
}
