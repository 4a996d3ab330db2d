package proofs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
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

// submission returns a batch job of groups of two items.
func submission(id string, groups, least int) []byte {
	job := map[string]any{"step": 1, "model": estate.Model, "min_version": least, "target_groups": groups}
	var items []any
	for i := range 2 * groups {
		name := fmt.Sprintf("%s-%d", id, i)
		items = append(items, map[string]any{
			"id": name, "path": estate.Rollouts + "x/" + name, "headers": map[string]string{"Figshift-Model": estate.Model},
			"body": []byte("body of " + name), "tokens": 10, "group": fmt.Sprintf("%s-g%d", id, i/2),
			"scorer_url": map[string]any{"id": "score-" + name, "host": estate.Host, "path": estate.Scores + name, "body": []byte("s")},
		})
	}
	job["items"] = items
	text, err := json.Marshal(job)
	if err != nil {
		panic(err) // a test's own value
	}
	return text
}

func (f *onEstate) submit(host int, id string, groups, least int) {
	f.t.Helper()
	proc.WaitUntil(f.t, 10*time.Second, "job "+id+" is accepted", func() bool {
		status, _ := f.call(host, http.MethodPost, estate.Rollouts+id, id, estate.Key, submission(id, groups, least))
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

func TestPlatformCalmDay(t *testing.T) {
	t.Parallel()
	servers := []*estate.Server{
		plainServer("p1", "zone-1"), plainServer("p2", "zone-2"),
		engine("e1", "zone-1", 5, 10*time.Millisecond), engine("e2", "zone-2", 5, 10*time.Millisecond),
	}
	f := startFleet(t, 3, servers...)
	f.checkCalls()
	f.submit(1, "j1", 3, 1)
	f.awaitWhole(1, "j1", 6, 5, 10*time.Second)
	whole := f.awaitWhole(2, "j1", 6, 5, 10*time.Second)
	tail, _ := f.list(3, "j1", 4)
	if diff := cmp.Diff(whole.Results[4:], tail.Results); diff != "" {
		t.Errorf("results from position 4 on, at another host (-want +got):\n%s", diff)
	}
	if status, _ := f.call(2, http.MethodPost, estate.Rollouts+"j1", "j1", estate.Key, submission("j1", 3, 1)); status != http.StatusAccepted {
		t.Errorf("the same job again, at another host: status %d", status)
	}
	if _, status := f.list(2, "no-such-job", 0); status != http.StatusNotFound {
		t.Errorf("a job that is not there: status %d", status)
	}
	f.Name(2)
	proc.WaitUntil(t, 15*time.Second, "the engines are ordered to version 2", func() bool {
		return len(servers[2].Orders()) == 1 && len(servers[3].Orders()) == 1
	})
	f.submit(3, "j2", 1, 2)
	for _, r := range f.awaitWhole(1, "j2", 2, 5, 10*time.Second).Results {
		if diff := cmp.Diff([]uint64{2}, r.Versions); diff != "" {
			t.Errorf("versions of %s (-want +got):\n%s", r.ID, diff)
		}
	}
	if status, _ := f.call(2, http.MethodDelete, "/api/lots/j2", "d", estate.Key, nil); status != http.StatusOK {
		t.Errorf("end of a job: status %d", status)
	}
	f.checkUsage()
	f.checkServers(servers)
}

func (f *onEstate) checkCalls() {
	f.t.Helper()
	cases := map[string]struct {
		path, key string
		status    int
	}{
		"whole":            {estate.Lookup + "a%2Fb//c?x=1;y=%20", estate.Key, http.StatusOK},
		"without a key":    {estate.Lookup + "b", "", http.StatusUnauthorized},
		"with another key": {estate.Lookup + "c", "other", http.StatusUnauthorized},
		"public":           {estate.Scores + "d", "", http.StatusOK},
		"no route":         {"/nowhere/", estate.Key, http.StatusNotFound},
	}
	for name, c := range cases {
		for host := range f.hosts {
			status, body := f.call(host+1, http.MethodPost, c.path, "call-"+name, c.key, []byte("b"))
			if status != c.status {
				f.t.Errorf("%s at host-%d: status %d (%s), want %d", name, host+1, status, body, c.status)
			}
		}
	}
}

// checkUsage awaits a report that counts the three lookups of checkCalls.
func (f *onEstate) checkUsage() {
	f.t.Helper()
	proc.WaitUntil(f.t, 20*time.Second, "the lookups are reported", func() bool {
		sum := 0
		for _, r := range f.Reports() {
			sum += r.Counts[estate.Tenant]
		}
		return sum == 3
	})
	windows := map[uint64]int{}
	for _, r := range f.Reports() {
		windows[r.Window]++
	}
	for window, n := range windows {
		if n > 1 {
			f.t.Errorf("window %d was reported %d times", window, n)
		}
	}
}

// checkServers checks what the servers saw: no key, the holder's organisation, the path as it came.
func (f *onEstate) checkServers(servers []*estate.Server) {
	f.t.Helper()
	raw := false
	for _, s := range servers {
		for _, r := range s.Runs() {
			raw = raw || r.Path == estate.Lookup+"a%2Fb//c?x=1;y=%20"
			if r.Key {
				f.t.Errorf("%s got a key with request %s", s.Name, r.ID)
			}
			if !strings.HasPrefix(r.Path, estate.Scores) && r.Tenant != estate.Tenant {
				f.t.Errorf("%s ran %s for organisation %q", s.Name, r.ID, r.Tenant)
			}
		}
	}
	if !raw {
		f.t.Error("no server got the path as it came")
	}
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

// Answers the pattern: the host that runs a step dies or is stopped while its items run. The step is listed once, with
// each event once, and long texts go on from what was copied.
func TestPlatformOwnerLeaves(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		signal syscall.Signal
		code   int
	}{
		"killed":  {syscall.SIGKILL, -1},
		"stopped": {syscall.SIGTERM, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers := []*estate.Server{plainServer("p1", "zone-1"), engine("e1", "zone-1", 40, 100*time.Millisecond), engine("e2", "zone-2", 40, 100*time.Millisecond)}
			f := startFleet(t, 3, servers...)
			f.submit(1, "j1", 3, 1)
			owner := f.owner("j1")
			time.Sleep(1500 * time.Millisecond) // the items are under way and were copied
			f.hosts[owner].Signal(c.signal)
			other := (owner+1)%3 + 1
			f.awaitWhole(other, "j1", 6, 40, 25*time.Second)
			if code := f.hosts[owner].ExitCode(10 * time.Second); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			resumed := 0
			for _, s := range servers[1:] {
				for _, r := range s.Runs() {
					if r.From != "" {
						resumed++
					}
				}
			}
			if resumed != 6 {
				t.Errorf("%d items went on from what was held, want 6", resumed)
			}
		})
	}
}

// Answers the pattern: the store is away, or loses its answers, while a step is submitted and listed.
func TestPlatformStoreFails(t *testing.T) {
	t.Parallel()
	cases := map[string]func(f *onEstate) (mend func()){
		"refuses": func(f *onEstate) func() { f.Store.Refuse(true); return func() { f.Store.Refuse(false) } },
		"silent":  func(f *onEstate) func() { f.Store.Silence(true); return func() { f.Store.Silence(false) } },
		"loses":   func(f *onEstate) func() { f.Store.Lose(4); return func() {} },
		"forgets": func(f *onEstate) func() { f.Store.Compact(); return func() {} },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e1 := engine("e1", "zone-1", 5, 10*time.Millisecond)
			f := startFleet(t, 2, plainServer("p1", "zone-1"), e1)
			mend := fail(f)
			stop := time.AfterFunc(2*time.Second, mend)
			defer stop.Stop()
			f.submit(1, "j1", 2, 1)
			f.awaitWhole(2, "j1", 4, 5, 20*time.Second)
			if status, body := f.call(1, http.MethodGet, estate.Lookup+"x", "l", estate.Key, nil); status != http.StatusOK {
				t.Errorf("lookup: status %d (%s)", status, body)
			}
		})
	}
}

// Answers the pattern: the store turns a submission away for good. Then no item has run.
func TestPlatformRefusedJobDoesNotRun(t *testing.T) {
	t.Parallel()
	e1 := engine("e1", "zone-1", 5, 10*time.Millisecond)
	f := startFleet(t, 1, plainServer("p1", "zone-1"), e1)
	f.hosts[0].Signal(syscall.SIGTERM)
	proc.WaitUntil(t, 5*time.Second, "the host is stopping", func() bool { return !f.isReady(1) })
	status, _ := f.call(1, http.MethodPost, estate.Rollouts+"j1", "j1", estate.Key, submission("j1", 2, 1))
	if status != http.StatusServiceUnavailable {
		t.Errorf("a stopping host answers %d to a job", status)
	}
	f.hosts[0].ExitCode(10 * time.Second)
	if runs := e1.Runs(); len(runs) > 0 {
		t.Errorf("items of a refused job ran: %v", runs)
	}
}

// Answers the pattern: a key is withdrawn and a route added while the hosts serve.
func TestPlatformConfigurationInForce(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, plainServer("p1", "zone-1"), engine("e1", "zone-1", 5, 10*time.Millisecond))
	f.Configure(2, "new-key")
	began := time.Now()
	for host := 1; host <= 3; host++ {
		proc.WaitUntil(t, 2*time.Second-time.Since(began), "the withdrawn key is refused", func() bool {
			status, _ := f.call(host, http.MethodGet, estate.Lookup+"x", "l", estate.Key, nil)
			return status == http.StatusUnauthorized
		})
		if status, _ := f.call(host, http.MethodGet, estate.Lookup+"x", "l", "new-key", nil); status != http.StatusOK {
			t.Errorf("the new key at host-%d: status %d", host, status)
		}
	}
}

// Answers the pattern: the operator wants a host with a disk emptied.
func TestPlatformRetirement(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 0)
	settings, err := f.Settings(f.folder, 9, "store")
	if err != nil {
		t.Fatal(err)
	}
	host := proc.Start(t, "host-9", "figd", "platform", settings)
	f.Store.Put("retirements", "host-8", map[string]any{"duration_s": 5})
	f.Store.Put("retirements", "host-9", map[string]any{"duration_s": 5})
	proc.WaitUntil(t, 10*time.Second, "the retirement is completed", func() bool {
		_, status := f.Store.Get("retirements", "host-9")
		return string(status) == `{"state":"completed"}`
	})
	if _, status := f.Store.Get("retirements", "host-8"); len(status) > 0 {
		t.Errorf("another host's retirement got the status %s", status)
	}
	host.Signal(syscall.SIGTERM)
	if code := host.ExitCode(5 * time.Second); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Answers the pattern: a bad file of settings ends the start with one line that names the key.
func TestPlatformBadSettings(t *testing.T) {
	t.Parallel()
	cases := map[string]struct{ from, to, named string }{
		"no store":     {"Store = ", "Storage = ", "Store"},
		"bad address":  {"Ready = 127", "Ready = here", "Ready"},
		"unknown role": {"Class = front", "Class = other", "Class"},
		"few ports":    {"Ports = ", "Ports = 1,2 ;", "Ports"},
		"no number":    {"MemoryMB = 200", "MemoryMB = much", "MemoryMB"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &estate.Estate{Port: firstEstatePort}
			file, err := e.Settings(t.TempDir(), 1, "front")
			if err != nil {
				t.Fatal(err)
			}
			proc.Replace(t, file, c.from, c.to)
			p := proc.Start(t, name, "figd", "platform", file)
			if code := p.ExitCode(10 * time.Second); code != 3 {
				t.Errorf("exit code %d, want 3", code)
			}
			out := strings.TrimSpace(p.Output())
			if strings.Contains(out, "\n") || !strings.Contains(out, "[Host] "+c.named) {
				t.Errorf("output %q, want one line that names %s", out, c.named)
			}
		})
	}
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

// Answers the pattern: a lookup came late, a job was refused, a result lacks its score. The logs lead from the id to
// the cause.
func TestPlatformLogsExplain(t *testing.T) {
	t.Parallel()
	slow := plainServer("p1", "zone-1")
	slow.Fail = 2
	e1 := engine("e1", "zone-1", 5, 10*time.Millisecond)
	f := startFleet(t, 1, slow, e1)
	if status, body := f.call(1, http.MethodGet, estate.Lookup+"x", "late-lookup", estate.Key, nil); status != http.StatusOK {
		t.Errorf("lookup: status %d (%s)", status, body)
	}
	slow.Break(100)
	f.submit(1, "no-score", 1, 1)
	scoreFailed := regexp.MustCompile(`Event=ScoreFailed .*Item=no-score-0 `)
	proc.WaitUntil(t, 15*time.Second, "the score of no-score-0 fails", func() bool { return scoreFailed.MatchString(f.hosts[0].Output()) })
	f.Store.Refuse(true)
	if status, _ := f.call(1, http.MethodPost, estate.Rollouts+"j9", "refused-job", "no-key", submission("j9", 1, 1)); status != http.StatusUnauthorized {
		t.Errorf("job with an unknown key: status %d", status)
	}
	// Lines are written apart from the answer they tell of.
	proc.WaitUntil(t, 15*time.Second, "the refusal is in the log", func() bool { return strings.Contains(f.hosts[0].Output(), "Event=JobRefused") })
	cases := map[string]string{
		"late-lookup": "RequestRetried Status at p1 2 times",
		"refused-job": "JobRefused KeyUnknown 1 times",
		"no-score-0":  "ScoreFailed",
	}
	for id, cause := range cases {
		if out := f.figctlExplain(id); !strings.Contains(out, cause) {
			t.Errorf("the story of %s lacks %q:\n%s", id, cause, out)
		}
	}
}
