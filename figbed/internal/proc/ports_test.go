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

// TestAddressIsFreeWhileProcessesStart guards against addresses that are still in use when clusters start concurrently:
// a child process holds each descriptor of the test process between its fork and its exec.
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

// TestAddressesDifferAcrossTheEndOfTheRange guards against an address that is returned twice after the search has wrapped
// around at the end of the range. The process that got it first may not have bound it yet.
func TestAddressesDifferAcrossTheEndOfTheRange(t *testing.T) {
	const addresses = 19_000 // of the 20,000 of the range
	returned := map[string]bool{}
	for range addresses {
		address := proc.Address(t, "127.0.0.77")
		if returned[address] {
			t.Fatalf("%s was returned twice, after %d others", address, len(returned))
		}
		returned[address] = true
	}
}
