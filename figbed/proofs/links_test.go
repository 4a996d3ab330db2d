package proofs

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/figbed/internal/soak"
)

// The platform's rule on hosts that are cut off from all endpoints: from linksGrace after the cut on, first tries at them are
// served at least linksShare as often as those at the others.
const (
	linksGrace = 3 * time.Second
	linksShare = 2.0 / 3
	linksCut   = 9 * time.Second
)

// linkedFleet is a platformFleet whose hosts reach the servers through links that can be cut for some of them.
type linkedFleet struct {
	*platformFleet
	impairment atomic.Pointer[map[string]soak.Impairment] // by the IP of the host
	servers    []*estate.Server
}

func startLinkedFleet(t *testing.T, hosts int) *linkedFleet {
	t.Helper()
	f := &linkedFleet{}
	f.impairment.Store(&map[string]soak.Impairment{})
	f.servers = []*estate.Server{
		newPlainServer("p1", "zone-1"), newPlainServer("p2", "zone-2"), newPlainServer("p3", "zone-3"),
		newEngine("e1", "zone-1", 20, 40*time.Millisecond), newEngine("e2", "zone-2", 20, 40*time.Millisecond), newEngine("e3", "zone-3", 20, 40*time.Millisecond),
	}
	for _, s := range f.servers {
		s.RegisterAddress = func(listen string) (string, error) {
			proxy := &soak.ImpairedProxy{Listen: "127.0.0.1:0", Upstream: listen, Impairment: func(source string) soak.Impairment {
				return (*f.impairment.Load())[source]
			}}
			if err := proxy.Start(); err != nil {
				return "", err
			}
			t.Cleanup(proxy.Stop)
			return proxy.Address(), nil
		}
	}
	f.platformFleet = startPlatformFleet(t, hosts, f.servers...)
	return f
}

// cut impairs the links of hosts to all servers.
func (f *linkedFleet) cut(how soak.Impairment, hosts ...int) {
	byIP := map[string]soak.Impairment{}
	for _, h := range hosts {
		byIP[estate.IP(h)] = how
	}
	f.impairment.Store(&byIP)
}

// Callers of hosts that had lost their links to all endpoints were hardly served, though the other hosts reached them.
func TestCallersOfCutOffHostsAreServed(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		how   soak.Impairment
		hosts []int
	}{
		"Hang":     {soak.Impairment{HoldRequests: true, HoldResponses: true}, []int{1, 2}},
		"HangMost": {soak.Impairment{HoldRequests: true, HoldResponses: true}, []int{1, 2, 3}},
		"Reset":    {soak.Impairment{Break: true}, []int{1, 2}},
		"Refuse":   {soak.Impairment{Refuse: true}, []int{1, 2}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startLinkedFleet(t, 4)
			f.callAll(2 * time.Second) // so that connections are kept
			f.cut(c.how, c.hosts...)
			f.callAll(linksGrace)
			f.submitAt(c.hosts[0], "job")
			before := time.Now()
			served := f.callAll(linksCut - linksGrace)
			cutShare, otherShare, others := 0.0, 0.0, 4-len(c.hosts)
			for host, share := range served {
				if host <= len(c.hosts) {
					cutShare += share / float64(len(c.hosts))
				} else {
					otherShare += share / float64(others)
				}
			}
			if cutShare < linksShare*otherShare {
				t.Errorf("first tries served at cut hosts %.2f, at the others %.2f", cutShare, otherShare)
			}
			f.waitComplete(4, "job", 3*estate.ItemsPerGroup, 20, 15*time.Second)
			if took := time.Since(before); took > linksCut {
				t.Errorf("the job took %v: it waited for the end of the cut", took)
			}
			f.cut(soak.Impairment{})
			f.callAll(linksGrace)
			for host, share := range f.callAll(time.Second) {
				if share < 1 {
					t.Errorf("host-%d serves %.2f after the cut", host, share)
				}
			}
			f.checkRuns()
		})
	}
}

// submitAt submits a job at a host, whose first try must be accepted.
func (f *linkedFleet) submitAt(host int, id string) {
	f.t.Helper()
	if status, body := f.call(host, http.MethodPost, estate.Rollouts+id, id, estate.Key, estate.JobBody(id, 3, 1)); status != http.StatusAccepted {
		f.t.Errorf("job %s at host-%d: status %d (%s)", id, host, status, body)
	}
}

// callAll makes calls at all hosts for a time, repeatable and others, and returns the share of first tries that are served,
// by host.
func (f *linkedFleet) callAll(span time.Duration) map[int]float64 {
	var mu sync.Mutex
	var callers sync.WaitGroup
	calls, served := map[int]int{}, map[int]int{}
	end := time.Now().Add(span)
	for host := 1; host <= len(f.hosts); host++ {
		for n := range 4 {
			path := []string{estate.Lookup, estate.Lookup, estate.Lookup, estate.Writes}[n]
			callers.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("c%d-%d-%d-%d", host, n, i, time.Now().UnixNano())
					status, _ := f.call(host, http.MethodPost, path+id, id, estate.Key, []byte("b"))
					mu.Lock()
					calls[host]++
					if status == http.StatusOK {
						served[host]++
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	shares := map[int]float64{}
	for host, n := range calls {
		shares[host] = float64(served[host]) / float64(n)
	}
	return shares
}

// checkRuns checks that no call that may run once has run twice, and that calls ran for their organisation without its key.
func (f *linkedFleet) checkRuns() {
	f.t.Helper()
	runs := map[string]int{}
	for _, s := range f.servers {
		for _, r := range s.Runs() {
			if strings.HasPrefix(r.Path, estate.Writes) {
				runs[r.ID]++
			}
			if r.HasCredential || r.Tenant != estate.Tenant && !strings.HasPrefix(r.Path, estate.Scores) {
				f.t.Errorf("%s ran for %q, with a key: %v", r.Path, r.Tenant, r.HasCredential)
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			f.t.Errorf("%s ran %d times", id, n)
		}
	}
	proc.WaitUntil(f.t, 5*time.Second, "hosts are ready", func() bool { return f.isReady(1) && f.isReady(2) })
}
