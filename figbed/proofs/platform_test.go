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

func TestPlatformWithoutFaults(t *testing.T) {
	t.Parallel()
	servers := []*estate.Server{
		newPlainServer("p1", "zone-1"), newPlainServer("p2", "zone-2"),
		newEngine("e1", "zone-1", 5, 10*time.Millisecond), newEngine("e2", "zone-2", 5, 10*time.Millisecond),
	}
	f := startPlatformFleet(t, 3, servers...)
	f.checkCalls()
	f.submit(1, "j1", 3, 1)
	f.waitComplete(1, "j1", 6, 5, 10*time.Second)
	results := f.waitComplete(2, "j1", 6, 5, 10*time.Second)
	resultsFrom4, _ := f.listResults(3, "j1", 4)
	if diff := cmp.Diff(results.Results[4:], resultsFrom4.Results); diff != "" {
		t.Errorf("results from position 4 on, at another host (-want +got):\n%s", diff)
	}
	if status, _ := f.call(2, http.MethodPost, estate.Rollouts+"j1", "j1", estate.Key, estate.JobBody("j1", 3, 1)); status != http.StatusAccepted {
		t.Errorf("the same job submitted again, at another host: status %d", status)
	}
	if _, status := f.listResults(2, "no-such-job", 0); status != http.StatusNotFound {
		t.Errorf("an unknown job: status %d", status)
	}
	f.SetTargetVersion(2)
	proc.WaitUntil(t, 15*time.Second, "the engines are ordered to version 2", func() bool {
		return len(servers[2].Orders()) == 1 && len(servers[3].Orders()) == 1
	})
	f.submit(3, "j2", 1, 2)
	for _, r := range f.waitComplete(1, "j2", 2, 5, 10*time.Second).Results {
		if diff := cmp.Diff([]uint64{2}, r.Versions); diff != "" {
			t.Errorf("versions of %s (-want +got):\n%s", r.ID, diff)
		}
	}
	if status, _ := f.call(2, http.MethodDelete, "/api/lots/j2", "d", estate.Key, nil); status != http.StatusOK {
		t.Errorf("deletion of a job: status %d", status)
	}
	f.checkUsage()
	f.checkServers(servers)
}

func (f *platformFleet) checkCalls() {
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

// checkUsage waits until the reports add up to the three lookups of checkCalls, and checks that no window is reported
// twice.
func (f *platformFleet) checkUsage() {
	f.t.Helper()
	proc.WaitUntil(f.t, 20*time.Second, "the lookups are reported", func() bool {
		lookups := 0
		for _, r := range f.Reports() {
			lookups += r.Counts[estate.Tenant]
		}
		return lookups == 3
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

// checkServers checks that the servers got no key, the organisation of the key's owner, and the unchanged path.
func (f *platformFleet) checkServers(servers []*estate.Server) {
	f.t.Helper()
	pathUnchanged := false
	for _, s := range servers {
		for _, r := range s.Runs() {
			pathUnchanged = pathUnchanged || r.Path == estate.Lookup+"a%2Fb//c?x=1;y=%20"
			if r.HasCredential {
				f.t.Errorf("%s got a key with request %s", s.Name, r.ID)
			}
			if !strings.HasPrefix(r.Path, estate.Scores) && r.Tenant != estate.Tenant {
				f.t.Errorf("%s ran %s for organisation %q", s.Name, r.ID, r.Tenant)
			}
		}
	}
	if !pathUnchanged {
		f.t.Error("no server got the unchanged path")
	}
}

// The host that runs a job is killed or stopped while the items run. Another host must take the job over, resume each
// item from the events that were replicated, and list every item and event once.
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
			servers := []*estate.Server{newPlainServer("p1", "zone-1"), newEngine("e1", "zone-1", 40, 100*time.Millisecond), newEngine("e2", "zone-2", 40, 100*time.Millisecond)}
			f := startPlatformFleet(t, 3, servers...)
			f.submit(1, "j1", 3, 1)
			owner := f.jobOwner("j1")
			time.Sleep(1500 * time.Millisecond) // the items are running and their first events are replicated
			f.hosts[owner].Signal(c.signal)
			other := (owner+1)%3 + 1
			f.waitComplete(other, "j1", 6, 40, 25*time.Second)
			if code := f.hosts[owner].ExitCode(10 * time.Second); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			// An item may move once more when an engine is slow, but none begins again.
			resumed, fromStart := map[string]bool{}, 0
			for _, s := range servers[1:] {
				for _, r := range s.Runs() {
					if r.LastEventID == "" {
						fromStart++
						continue
					}
					resumed[r.ID] = true
				}
			}
			if len(resumed) != 6 || fromStart != 6 {
				t.Errorf("%d items were resumed from replicated events and %d runs began at the first event, want 6 and 6", len(resumed), fromStart)
			}
		})
	}
}

// The store refuses or does not answer calls for 2 s, loses the responses to 4 writes that took effect, or compacts its
// history while a job is submitted. The job must be accepted and completed, and lookups served.
func TestPlatformStoreFails(t *testing.T) {
	t.Parallel()
	cases := map[string]func(f *platformFleet) (restore func()){
		"refuses": func(f *platformFleet) func() {
			f.Store.SetUnavailable(true)
			return func() { f.Store.SetUnavailable(false) }
		},
		"silent": func(f *platformFleet) func() {
			f.Store.SetUnresponsive(true)
			return func() { f.Store.SetUnresponsive(false) }
		},
		"loses":   func(f *platformFleet) func() { f.Store.DropResponses(4); return func() {} },
		"forgets": func(f *platformFleet) func() { f.Store.Compact(); return func() {} },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e1 := newEngine("e1", "zone-1", 5, 10*time.Millisecond)
			f := startPlatformFleet(t, 2, newPlainServer("p1", "zone-1"), e1)
			restore := fail(f)
			restoreTimer := time.AfterFunc(2*time.Second, restore)
			defer restoreTimer.Stop()
			f.submit(1, "j1", 2, 1)
			f.waitComplete(2, "j1", 4, 5, 20*time.Second)
			if status, body := f.call(1, http.MethodGet, estate.Lookup+"x", "l", estate.Key, nil); status != http.StatusOK {
				t.Errorf("lookup: status %d (%s)", status, body)
			}
		})
	}
}

// A stopping host refuses a job for good. No item of a job that was refused may have run.
func TestPlatformRefusedJobDoesNotRun(t *testing.T) {
	t.Parallel()
	e1 := newEngine("e1", "zone-1", 5, 10*time.Millisecond)
	f := startPlatformFleet(t, 1, newPlainServer("p1", "zone-1"), e1)
	f.hosts[0].Signal(syscall.SIGTERM)
	proc.WaitUntil(t, 5*time.Second, "the host is stopping", func() bool { return !f.isReady(1) })
	status, _ := f.call(1, http.MethodPost, estate.Rollouts+"j1", "j1", estate.Key, estate.JobBody("j1", 2, 1))
	if status != http.StatusServiceUnavailable {
		t.Errorf("a stopping host answers a job with status %d", status)
	}
	f.hosts[0].ExitCode(10 * time.Second)
	if runs := e1.Runs(); len(runs) > 0 {
		t.Errorf("items of a refused job ran: %v", runs)
	}
}

// A new configuration replaces a key while the hosts serve. Every host must refuse the old key within 2 s and accept
// the new one.
func TestPlatformConfigurationInForce(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 3, newPlainServer("p1", "zone-1"), newEngine("e1", "zone-1", 5, 10*time.Millisecond))
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

// An operator retires a host with a disk. The host must report the retirement as completed, and leave other hosts'
// retirements alone.
func TestPlatformRetirement(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 0)
	settings, err := f.WriteSettings(f.dir, 9, "store")
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

// An invalid settings file must end the start with exit code 3 and one line that names the setting.
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
			e := &estate.Platform{Port: firstPlatformPort}
			file, err := e.WriteSettings(t.TempDir(), 1, "front")
			if err != nil {
				t.Fatal(err)
			}
			proc.ReplaceInFile(t, file, c.from, c.to)
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

// The settings file changes, first with SIGHUP and then without a signal. The host must read it both times, log which
// settings are in force at once and which at the next start, and go on serving.
func TestPlatformSettingsChange(t *testing.T) {
	t.Parallel()
	f := startPlatformFleet(t, 1, newPlainServer("p1", "zone-1"))
	settingsFiles, err := filepath.Glob(filepath.Join(f.dir, "*.ini"))
	if err != nil || len(settingsFiles) != 1 {
		t.Fatalf("settings files: %v, %v", settingsFiles, err)
	}
	host := f.hosts[0]
	proc.ReplaceInFile(t, settingsFiles[0], "GraceS = 8", "GraceS = 9")
	host.Signal(syscall.SIGHUP)
	proc.WaitUntil(t, 10*time.Second, "the settings are read after SIGHUP", func() bool {
		return strings.Contains(host.Output(), "Event=SettingsRead Daemon=host-1 Reason=SIGHUP InForce= AtNextStart=Grace")
	})
	proc.ReplaceInFile(t, settingsFiles[0], "LogPerSecond = ", "LogPerSecond = 1")
	proc.WaitUntil(t, 20*time.Second, "the changed settings are read without a signal", func() bool {
		return strings.Contains(host.Output(), "Event=SettingsRead Daemon=host-1 Reason=Changed InForce=LogPerSecond AtNextStart=")
	})
	if status, body := f.call(1, http.MethodGet, estate.Lookup+"x", "after", estate.Key, nil); status != http.StatusOK {
		t.Errorf("lookup after the changes: status %d (%s)", status, body)
	}
}

// A lookup is slow because of retries, a job is refused, and a result has no score. figctl explain must name the cause
// of each from the hosts' logs.
func TestPlatformLogsExplain(t *testing.T) {
	t.Parallel()
	plain := newPlainServer("p1", "zone-1")
	plain.FailNext = 2
	e1 := newEngine("e1", "zone-1", 5, 10*time.Millisecond)
	f := startPlatformFleet(t, 1, plain, e1)
	if status, body := f.call(1, http.MethodGet, estate.Lookup+"x", "late-lookup", estate.Key, nil); status != http.StatusOK {
		t.Errorf("lookup: status %d (%s)", status, body)
	}
	plain.FailRequests(100)
	f.submit(1, "no-score", 1, 1)
	scoreFailed := regexp.MustCompile(`Event=ScoreFailed .*Item=no-score-0 `)
	proc.WaitUntil(t, 15*time.Second, "the score of no-score-0 fails", func() bool { return scoreFailed.MatchString(f.hosts[0].Output()) })
	f.Store.SetUnavailable(true)
	if status, _ := f.call(1, http.MethodPost, estate.Rollouts+"j9", "refused-job", "no-key", estate.JobBody("j9", 1, 1)); status != http.StatusUnauthorized {
		t.Errorf("job with an unknown key: status %d", status)
	}
	// Log lines are written asynchronously and may follow the response.
	proc.WaitUntil(t, 15*time.Second, "the refusal is in the log", func() bool { return strings.Contains(f.hosts[0].Output(), "Event=JobRefused") })
	cases := map[string]string{
		"late-lookup": "RequestRetried Status at p1 2 times",
		"refused-job": "JobRefused KeyUnknown 1 times",
		"no-score-0":  "ScoreFailed",
	}
	for id, cause := range cases {
		if out := f.explain(id); !strings.Contains(out, cause) {
			t.Errorf("figctl explain of %s lacks %q:\n%s", id, cause, out)
		}
	}
}
