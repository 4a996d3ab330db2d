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

// onEstate is the estate with figd on some hosts.
type onEstate struct {
	*estate.Estate
	t      *testing.T
	folder string
	hosts  []*proc.Process // host-1 first
	client *http.Client
}

// platformPorts is the next free range of ports for an estate's hosts.
var platformPorts atomic.Int32

const (
	portsOfAnEstate = 20
	firstEstatePort = 10100 // below the range that proc.Address uses
)

func startFleet(t *testing.T, hosts int, servers ...*estate.Server) *onEstate {
	t.Helper()
	f := &onEstate{t: t, folder: t.TempDir(), client: &http.Client{Timeout: 20 * time.Second}}
	f.Estate = &estate.Estate{Servers: servers, Port: firstEstatePort + portsOfAnEstate*int(platformPorts.Add(1))}
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	for n := 1; n <= hosts; n++ {
		f.hosts = append(f.hosts, f.figd(n))
	}
	for n := 1; n <= hosts; n++ {
		f.awaitReady(n)
	}
	return f
}

func (f *onEstate) figd(host int) *proc.Process {
	f.t.Helper()
	settings, err := f.Settings(f.folder, host, "front")
	if err != nil {
		f.t.Fatal(err)
	}
	return proc.Start(f.t, fmt.Sprintf("host-%d", host), "figd", "platform", settings)
}

func (f *onEstate) awaitReady(host int) {
	f.t.Helper()
	proc.WaitUntil(f.t, 20*time.Second, fmt.Sprintf("host-%d is ready", host), func() bool { return f.isReady(host) })
}

func (f *onEstate) isReady(host int) bool {
	resp, err := f.client.Get("http://" + f.Ready(host) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends one request to a host and returns its status and body; status 0 is no answer.
func (f *onEstate) call(host int, method, path, id, key string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+f.Front(host)+path, bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = estate.Host
	req.Close = true
	req.Header.Set(estate.FieldID, id)
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

func (f *onEstate) submit(host int, id string, groups, least int) {
	f.t.Helper()
	proc.WaitUntil(f.t, 10*time.Second, "job "+id+" is accepted", func() bool {
		status, _ := f.call(host, http.MethodPost, estate.Rollouts+id, id, estate.Key, estate.Submission(id, groups, least))
		return status == http.StatusAccepted
	})
}

// results is a page of a job's results.
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

// list reads a job's results from a position on.
func (f *onEstate) list(host int, id string, after int) (results, int) {
	status, text := f.call(host, http.MethodGet, fmt.Sprintf("/api/lots/%s?after=%d", id, after), "r", estate.Key, nil)
	var page results
	if status == http.StatusOK {
		if err := json.Unmarshal([]byte(text), &page); err != nil {
			f.t.Errorf("page of %s: %v", id, err)
		}
	}
	return page, status
}

// awaitWhole reads a job from a host until all its items are listed, and checks them.
func (f *onEstate) awaitWhole(host int, id string, items, events int, within time.Duration) results {
	f.t.Helper()
	var page results
	proc.WaitUntil(f.t, within, fmt.Sprintf("job %s is listed whole by host-%d", id, host), func() bool {
		page, _ = f.list(host, id, 0)
		return len(page.Results) == items
	})
	seen := map[string]int{}
	for _, r := range page.Results {
		seen[r.ID]++
		var want []string
		for n := 1; n <= events; n++ {
			want = append(want, estate.Event(r.ID, n))
		}
		if diff := cmp.Diff(strings.Join(want, "\n"), r.Text); diff != "" {
			f.t.Errorf("text of %s (-want +got):\n%s", r.ID, diff)
		}
		if r.State != "completed" || len(r.Versions) == 0 || !strings.HasSuffix(r.Score, ".score-"+r.ID) {
			f.t.Errorf("result %s: state %s, versions %v, score %q", r.ID, r.State, r.Versions, r.Score)
		}
	}
	for i := range items {
		if name := fmt.Sprintf("%s-%d", id, i); seen[name] != 1 {
			f.t.Errorf("item %s is listed %d times", name, seen[name])
		}
	}
	return page
}

func plainServer(name, zone string) *estate.Server {
	return &estate.Server{Name: name, Service: "plain", Zone: zone, Slots: 8, Work: 5 * time.Millisecond}
}

func engine(name, zone string, events int, gap time.Duration) *estate.Server {
	return &estate.Server{Name: name, Service: "engines", Zone: zone, Models: []string{estate.Model}, Slots: 4, Events: events, Gap: gap}
}

// owner returns the host that logged that it began to run a job.
func (f *onEstate) owner(id string) int {
	f.t.Helper()
	owner := -1
	proc.WaitUntil(f.t, 10*time.Second, "a host runs "+id, func() bool {
		for i, h := range f.hosts {
			for _, line := range strings.Split(h.Output(), "\n") {
				kept := strings.Contains(line, "Event=JobKept") && strings.Contains(line, "Kind= ")
				if kept && strings.Contains(line, "Job="+id+" ") {
					owner = i
				}
			}
		}
		return owner >= 0
	})
	return owner
}

// figctlExplain prints the story of an id from the hosts' logs.
func (f *onEstate) figctlExplain(id string) string {
	f.t.Helper()
	var names []string
	for i, h := range f.hosts {
		name := filepath.Join(f.folder, fmt.Sprintf("host%d.log", i+1))
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
