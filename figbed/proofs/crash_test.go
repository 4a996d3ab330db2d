package proofs

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// The platform's rule on requests that crash endpoints: later than crashGrace after such a request has crashed the third
// endpoint, it reaches endpoints in at most crashRetries more runs.
const (
	crashGrace   = 3 * time.Second
	crashLimit   = 3
	crashRetries = 3
)

// A request under which endpoints crashed went on to the next ones, again and again, from each host to which its caller
// sent it, and took the service from all others.
func TestCrashingRequestIsGivenUp(t *testing.T) {
	t.Parallel()
	const crashingPath, popularPath = estate.Lookup + "crash", estate.Lookup + "popular"
	var servers []*estate.Server
	for n := range 5 {
		s := newPlainServer(fmt.Sprintf("p%d", n+1), fmt.Sprintf("zone-%d", n%4+1))
		s.WorkTime, s.CrashDelay, s.RestartTime = 40*time.Millisecond, 50*time.Millisecond, 1500*time.Millisecond
		s.CrashesUnder = func(path string, _ []byte) bool { return path == crashingPath }
		servers = append(servers, s)
	}
	f := startPlatformFleet(t, 3, servers...)
	end := time.Now().Add(14 * time.Second)
	var callers sync.WaitGroup
	for host := 1; host <= len(f.hosts); host++ {
		callers.Go(func() { f.callUntil(end, host, 300*time.Millisecond, func(int) string { return crashingPath }) })
		callers.Go(func() { f.callUntil(end, host, 100*time.Millisecond, func(int) string { return popularPath }) })
		callers.Go(func() {
			f.callUntil(end, host, 30*time.Millisecond, func(n int) string { return fmt.Sprintf("%shost-%d/%d", estate.Lookup, host, n) })
		})
	}
	callers.Wait()
	crashes := sortedCrashes(servers)
	if len(crashes) < crashLimit {
		t.Fatalf("only %d endpoints crashed: the case shows nothing", len(crashes))
	}
	givenUp := crashes[crashLimit-1].Add(crashGrace)
	later := 0
	for _, s := range servers {
		for _, r := range s.Runs() {
			if strings.HasPrefix(r.Path, crashingPath) && r.At.After(givenUp) {
				later++
			}
		}
	}
	if later > crashRetries {
		t.Errorf("%d endpoints crashed; the request ran %d times more, later than %v after the third; at most %d are allowed", len(crashes), later, crashGrace, crashRetries)
	}
	start := time.Now()
	if status, body := f.call(1, http.MethodPost, crashingPath, "last", estate.Key, []byte("b")); status == http.StatusOK || time.Since(start) > time.Second {
		t.Errorf("the request that is given up: status %d (%s) after %v, want a failure at once", status, body, time.Since(start))
	}
	for host := 1; host <= len(f.hosts); host++ {
		if status, body := f.call(host, http.MethodPost, popularPath, fmt.Sprintf("popular-%d", host), estate.Key, []byte("b")); status != http.StatusOK {
			t.Errorf("an innocent request that is made often, at host-%d: status %d (%s)", host, status, body)
		}
	}
}

// callUntil makes calls at a host until a time, one after the other.
func (f *platformFleet) callUntil(end time.Time, host int, pause time.Duration, path func(n int) string) {
	for n := 0; time.Now().Before(end); n++ {
		target := path(n)
		f.call(host, http.MethodPost, target, fmt.Sprintf("h%d-%d-%s", host, n, strings.ReplaceAll(target, "/", "")), estate.Key, []byte("b"))
		time.Sleep(pause)
	}
}

// sortedCrashes returns when the servers crashed, in order.
func sortedCrashes(servers []*estate.Server) []time.Time {
	var all []time.Time
	for _, s := range servers {
		for _, c := range s.Crashes() {
			all = append(all, c.At)
		}
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}
