package proofs

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/ranks"
	"github.com/figshift/figshift/internal/view"
)

const (
	// configBound is the time after the acknowledgement of a configuration from which every host that reaches the store
	// handles requests by it.
	configBound = 2 * time.Second
	// configReaders is the number of hosts that read the configuration for all.
	configReaders = 3
	// configRounds is the number of configurations, and turnShift the part of the readers' turns by which each comes later.
	configRounds = 3
	turnShift    = 170 * time.Millisecond

	frozen = "frozen"
)

// Hosts that the store served ran requests of a withdrawn key for longer than the bound while the store was silent to the
// three hosts that read the configuration for all.
func TestConfigurationWhileItsReadersAreTurnedAway(t *testing.T) {
	for name, disorder := range map[string]string{
		"silent": estate.Silent, "busy": estate.Busy, "late busy": estate.LateBusy, "late many": estate.LateMany,
		"late reset": estate.LateReset, "late answer": estate.LateAnswer, "frozen": frozen,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleetWithDoors(t, 8)
			for round := range configRounds {
				f.checkConfiguration(2+round, disorder, time.Duration(round)*turnShift)
			}
		})
	}
}

// checkConfiguration disturbs the readers of the configuration and writes one that withdraws the key of the one before.
func (f *fleetWithDoors) checkConfiguration(version int, disorder string, shift time.Duration) {
	f.t.Helper()
	readers := f.waitReaders("config", configReaders)
	time.Sleep(shift)
	for _, host := range readers {
		f.disturb(host, disorder)
	}
	time.Sleep(50 * time.Millisecond) // within the pause between two lists
	f.Configure(version, keyOf(version))
	acknowledged := time.Now()
	for host, late := range f.lastRunOfWithdrawnKey(readers, keyOf(version-1), acknowledged) {
		f.t.Logf("round %d, host-%d: the last request that ran was sent %.2f s after the acknowledgement", version, host, late.Seconds())
		if late > configBound {
			f.t.Errorf("host-%d ran a request of a withdrawn key that was sent %.2f s after the acknowledgement; readers: %v", host, late.Seconds(), readers)
		}
	}
	for _, host := range readers {
		f.disturb(host, "")
	}
}

// keyOf returns the only key in a version of the configuration.
func keyOf(version int) string {
	if version == 1 {
		return estate.Key
	}
	return fmt.Sprintf("key-of-version-%d", version)
}

// fleetWithDoors is a fleet in which each host has its own way to the platform.
type fleetWithDoors struct {
	*platformFleet
	doors []*estate.Door // index 0 is that of host-1
}

func startFleetWithDoors(t *testing.T, hosts int) *fleetWithDoors {
	t.Helper()
	f := &fleetWithDoors{}
	platform := &estate.Platform{Servers: []*estate.Server{newPlainServer("p1", "zone-1"), newPlainServer("p2", "zone-2")}}
	names := namesWithReadersFirst(t, hosts)
	platform.HostName = func(host int) string { return names[host-1] }
	platform.PlatformAddressFor = func(host int) string { return f.door(t, platform, host).Address }
	f.platformFleet = startFleetOn(t, hosts, platform)
	return f
}

// door returns a host's way to the platform.
func (f *fleetWithDoors) door(t *testing.T, platform *estate.Platform, host int) *estate.Door {
	t.Helper()
	for len(f.doors) < host {
		door, err := platform.OpenDoor()
		if err != nil {
			t.Fatal(err)
		}
		f.doors = append(f.doors, door)
	}
	return f.doors[host-1]
}

// namesWithReadersFirst returns sorted names of which the first are the hosts that read the configuration for all.
func namesWithReadersFirst(t *testing.T, hosts int) []string {
	t.Helper()
	for n := range 10_000 {
		var names []string
		for host := 1; host <= hosts; host++ {
			names = append(names, fmt.Sprintf("site-%d-host-%d", n, host))
		}
		readers := ranks.Top(view.PrefixConfig, names, configReaders)
		slices.Sort(readers)
		if slices.Equal(readers, names[:configReaders]) {
			return names
		}
	}
	t.Fatal("no such names")
	return nil
}

// waitReaders waits until the same hosts, as many as given, have listed a kind for all others over several turns, and returns
// their numbers.
func (f *fleetWithDoors) waitReaders(kind string, count int) []int {
	f.t.Helper()
	var readers []int
	proc.WaitUntil(f.t, 30*time.Second, fmt.Sprintf("%d hosts read %s", count, kind), func() bool {
		for _, d := range f.doors {
			d.ResetLists()
		}
		time.Sleep(2 * time.Second)
		readers = nil
		for i, d := range f.doors {
			if d.Lists()[kind] > 0 {
				readers = append(readers, i+1)
			}
		}
		return len(readers) == count
	})
	return readers
}

// disturb turns a host's calls to the store away, or suspends its process; "" ends both.
func (f *fleetWithDoors) disturb(host int, disorder string) {
	if disorder == frozen {
		f.hosts[host-1].Signal(syscall.SIGSTOP)
		return
	}
	f.doors[host-1].TurnAway(disorder)
	f.hosts[host-1].Signal(syscall.SIGCONT)
}

// lastRunOfWithdrawnKey sends requests of a key to the hosts that are not disturbed, for longer than the bound, and
// returns for each how long after the acknowledgement the last one that ran was sent.
func (f *fleetWithDoors) lastRunOfWithdrawnKey(disturbed []int, key string, acknowledged time.Time) map[int]time.Duration {
	var mu sync.Mutex
	last := map[int]time.Duration{}
	skip := map[int]bool{}
	for _, host := range disturbed {
		skip[host] = true
	}
	var wg sync.WaitGroup
	for host := 1; host <= len(f.hosts); host++ {
		if skip[host] {
			continue
		}
		wg.Go(func() {
			for n := 0; time.Since(acknowledged) < 2*configBound; n++ {
				sent := time.Since(acknowledged)
				status, _ := f.call(host, http.MethodGet, estate.Lookup+"x", fmt.Sprintf("probe-%d-%d", host, n), key, nil)
				if status == http.StatusOK {
					mu.Lock()
					last[host] = sent
					mu.Unlock()
				}
				time.Sleep(25 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return last
}
