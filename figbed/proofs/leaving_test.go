package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
)

// An endpoint that said in its answers that it leaves got calls and items from every host as long as the list did not show it, as
// while the store is away.
func TestEndpointThatSaysItLeavesGetsNoMore(t *testing.T) {
	t.Parallel()
	const (
		hosts    = 3
		bound    = 2 * time.Second // drain_ms of the platform's small deployments
		loadTime = 4 * time.Second
	)
	leaving := []*estate.Server{newPlainServer("p1", "zone-1"), newEngine("e1", "zone-1", 5, 10*time.Millisecond)}
	f := startPlatformFleet(t, hosts, append(leaving, newPlainServer("p2", "zone-2"), newEngine("e2", "zone-2", 5, 10*time.Millisecond))...)
	said := time.Now()
	for _, s := range leaving {
		s.SayLeaving()
	}
	f.callAndSubmit(hosts, "leaving", said.Add(loadTime))
	for _, s := range leaving {
		told := false
		for _, r := range s.Runs() {
			told = told || r.At.After(said)
			if r.At.After(said.Add(bound)) {
				t.Errorf("%s runs %s %v after it began to say that it leaves", s.Name, r.ID, r.At.Sub(said))
				break
			}
		}
		if !told {
			t.Errorf("%s got nothing in whose answer it could say that it leaves", s.Name)
		}
	}
	for _, s := range leaving {
		s.StartAnew()
	}
	anew := time.Now()
	f.callAndSubmit(hosts, "anew", anew.Add(loadTime))
	for _, s := range leaving {
		if runs := s.Runs(); len(runs) == 0 || runs[len(runs)-1].At.Before(anew) {
			t.Errorf("%s got nothing after it had started anew", s.Name)
		}
	}
}

// callAndSubmit makes calls at each host until a time, each of which must succeed, and submits a job to each.
func (f *platformFleet) callAndSubmit(hosts int, name string, until time.Time) {
	f.t.Helper()
	var callers sync.WaitGroup
	for host := 1; host <= hosts; host++ {
		callers.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("%s-%d-%d", name, host, n)
				if status, body := f.call(host, http.MethodPost, estate.Lookup+id, id, estate.Key, []byte("b")); status != http.StatusOK {
					f.t.Errorf("call %s: status %d (%s)", id, status, body)
				}
				time.Sleep(30 * time.Millisecond)
			}
		})
		job := fmt.Sprintf("%s-job-%d", name, host)
		f.submit(host, job, 6, 1)
		f.waitComplete(host, job, 12, 5, 30*time.Second)
	}
	callers.Wait()
}
