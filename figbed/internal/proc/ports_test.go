package proc_test

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/proc"
)

// TestAddressIsFreeWhileProcessesStart is for clusters that start side by side: a child holds each descriptor of the
// test process from its fork to its exec.
func TestAddressIsFreeWhileProcessesStart(t *testing.T) {
	const starters, addresses = 8, 3000
	var done atomic.Bool
	var group sync.WaitGroup
	for range starters {
		group.Go(func() {
			for !done.Load() {
				if err := exec.Command(os.Args[0], "-test.list", "^$").Run(); err != nil {
					t.Errorf("starting a process: %v", err)
					return
				}
			}
		})
	}
	start := time.Now()
	for n := range addresses {
		address := proc.Address(t, "127.0.0.1")
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("%d: %s is not free: %v", n, address, err)
			continue
		}
		_ = listener.Close()
	}
	done.Store(true)
	group.Wait()
	t.Logf("%d addresses while processes start: %s", addresses, time.Since(start).Round(time.Millisecond))
}

// A test binary's ports go on at the start of the range when they reach its end: no address is given twice while others
// are free, since a process may not have bound its own yet.
func TestAddressesDifferAcrossTheEndOfTheRange(t *testing.T) {
	const most = 19_000 // of the 20,000 of the range
	given := map[string]bool{}
	for range most {
		address := proc.Address(t, "127.0.0.77")
		if given[address] {
			t.Fatalf("%s was given twice, after %d others", address, len(given))
		}
		given[address] = true
	}
}
