package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// The platform's rule on limits: from limitGrace after an endpoint first named its limit, it gets in any limitWindow at most
// limitFactor times what the limit allows, and limitExtra requests more.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// Endpoints got more requests than the limit that they named, from one host alone and from all hosts together: calls of
// clients, items of jobs and the calls that score them.
func TestLimitHoldsOverAllHosts(t *testing.T) {
	t.Parallel()
	const plainLimit, engineLimit = 2.0, 1.5
	limits := map[*estate.Server]float64{
		newPlainServer("p1", "zone-1"): plainLimit, newPlainServer("p2", "zone-2"): plainLimit, newPlainServer("p3", "zone-3"): plainLimit,
		newEngine("e1", "zone-1", 5, 10*time.Millisecond): engineLimit,
	}
	servers := []*estate.Server{newPlainServer("p4", "zone-4"), newEngine("e2", "zone-2", 5, 10*time.Millisecond)}
	for s := range limits {
		servers = append(servers, s)
	}
	f := startPlatformFleet(t, 4, servers...)
	for s, limit := range limits {
		s.SetLimit(limit)
	}
	named := time.Now()
	var clients sync.WaitGroup
	for host := 1; host <= len(f.hosts); host++ {
		clients.Go(func() { f.callInBursts(host, named.Add(limitGrace+3*limitWindow)) })
	}
	time.Sleep(time.Until(named.Add(limitGrace)))
	for n := range 3 {
		job := fmt.Sprintf("limited-%d", n)
		f.submit(1+n, job, 6, 1)
		f.waitComplete(1, job, 12, 5, 30*time.Second)
	}
	clients.Wait()
	for s, limit := range limits {
		f.checkLimit(s, limit, named)
	}
}

// callInBursts makes eight calls at once at a host, again and again until a time. Each must succeed, or be refused with a
// time to wait.
func (f *platformFleet) callInBursts(host int, until time.Time) {
	f.t.Helper()
	for burst := 0; time.Now().Before(until); burst++ {
		var calls sync.WaitGroup
		for n := range 8 {
			calls.Go(func() {
				id := fmt.Sprintf("h%d-%d-%d", host, burst, n)
				status, body := f.call(host, http.MethodPost, estate.Lookup+id, id, estate.Key, []byte("b"))
				if status != http.StatusOK && status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable {
					f.t.Errorf("call %s: status %d (%s)", id, status, body)
				}
			})
		}
		calls.Wait()
		time.Sleep(300 * time.Millisecond)
	}
}

// checkLimit checks the arrivals at an endpoint that has named a limit since the time named, and that it is still used.
func (f *platformFleet) checkLimit(s *estate.Server, perSecond float64, named time.Time) {
	f.t.Helper()
	allowed := limitFactor*perSecond*limitWindow.Seconds() + limitExtra
	arrivals := s.Arrivals()
	first := 0
	worst := 0
	for i, a := range arrivals {
		if a.At.Before(named.Add(limitGrace)) {
			first = i + 1
			continue
		}
		for a.At.Sub(arrivals[first].At) >= limitWindow {
			first++
		}
		worst = max(worst, i-first+1)
	}
	if float64(worst) > allowed {
		f.t.Errorf("%s names %v requests a second and got %d in %v; at most %v are allowed", s.Name, perSecond, worst, limitWindow, allowed)
	}
	if worst == 0 {
		f.t.Errorf("%s got no request after it had named its limit", s.Name)
	}
}
