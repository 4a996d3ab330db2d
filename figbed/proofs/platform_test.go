package proofs

import (
	"net/http"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

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
	if status, _ := f.call(2, http.MethodPost, estate.Rollouts+"j1", "j1", estate.Key, estate.Submission("j1", 3, 1)); status != http.StatusAccepted {
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
	status, _ := f.call(1, http.MethodPost, estate.Rollouts+"j1", "j1", estate.Key, estate.Submission("j1", 2, 1))
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

// Answers the pattern: the settings change, with a signal and without one; the host goes on serving.
func TestPlatformSettingsChange(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, plainServer("p1", "zone-1"))
	files, err := filepath.Glob(filepath.Join(f.folder, "*.ini"))
	if err != nil || len(files) != 1 {
		t.Fatalf("settings files: %v, %v", files, err)
	}
	host := f.hosts[0]
	proc.Replace(t, files[0], "GraceS = 8", "GraceS = 9")
	host.Signal(syscall.SIGHUP)
	proc.WaitUntil(t, 10*time.Second, "the signal is followed", func() bool {
		return strings.Contains(host.Output(), "Event=SettingsRead Daemon=host-1 Reason=SIGHUP InForce= AtNextStart=Grace")
	})
	proc.Replace(t, files[0], "LogPerSecond = ", "LogPerSecond = 1")
	proc.WaitUntil(t, 20*time.Second, "the change is seen", func() bool {
		return strings.Contains(host.Output(), "Event=SettingsRead Daemon=host-1 Reason=Changed InForce=LogPerSecond AtNextStart=")
	})
	if status, body := f.call(1, http.MethodGet, estate.Lookup+"x", "after", estate.Key, nil); status != http.StatusOK {
		t.Errorf("lookup after the changes: status %d (%s)", status, body)
	}
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
	if status, _ := f.call(1, http.MethodPost, estate.Rollouts+"j9", "refused-job", "no-key", estate.Submission("j9", 1, 1)); status != http.StatusUnauthorized {
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
