package proofs

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
)

// Jobs were begun while the store was down, taken over from copies when their host fell silent, and accepted again there although
// the store had no record of them.
func TestAcceptedJobsAreInTheStore(t *testing.T) {
	t.Parallel()
	cases := map[string]syscall.Signal{"silent": syscall.SIGSTOP, "stopped": syscall.SIGTERM}
	for name, signal := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const jobs, events = 8, 12
			f := startPlatformFleet(t, 3, newEngine("e1", "zone-1", events, 100*time.Millisecond), newEngine("e2", "zone-2", events, 100*time.Millisecond), newPlainServer("p1", "zone-1"))
			f.Store.SetUnavailable(true)
			for n := range jobs {
				id := fmt.Sprintf("j%d", n)
				go f.call(1, http.MethodPost, estate.Rollouts+id, id, estate.Key, estate.JobBody(id, 1, 1))
			}
			time.Sleep(1700 * time.Millisecond) // the items run and are copied
			f.hosts[0].Signal(signal)
			time.Sleep(1800 * time.Millisecond)
			f.Store.SetUnavailable(false)
			time.Sleep(time.Second) // the hosts with copies take the jobs over
			var callers sync.WaitGroup
			for n := range jobs {
				callers.Go(func() {
					id, host := fmt.Sprintf("j%d", n), 2+n%2
					proc.WaitUntil(t, 20*time.Second, "job "+id+" is accepted", func() bool {
						status, _ := f.call(host, http.MethodPost, estate.Rollouts+id, id, estate.Key, estate.JobBody(id, 1, 1))
						return status == http.StatusAccepted
					})
					if spec, _ := f.Store.Get("Lots", id); spec == nil {
						t.Errorf("%s was accepted by host-%d and is not in the store", id, host)
					}
					f.waitComplete(5-host, id, 2, events, 20*time.Second)
				})
			}
			callers.Wait()
		})
	}
}
