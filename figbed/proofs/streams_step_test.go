package proofs

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/figshift/figshift/figbed/internal/estate"
	"github.com/figshift/figshift/figbed/internal/soak"
)

// splitFleet is a fleet with doors to the platform from which host-1 can be cut off.
type splitFleet struct {
	*fleetWithDoors
	cut atomic.Bool // between host-1 and the other hosts
}

// splitBindIP returns the IP of a host's own listeners, which other hosts reach through proxies only.
func splitBindIP(host int) string { return fmt.Sprintf("127.0.2.%d", 10+host) }

func startSplitFleet(t *testing.T, hosts int, servers ...*estate.Server) *splitFleet {
	t.Helper()
	f := &splitFleet{fleetWithDoors: &fleetWithDoors{}}
	platform := &estate.Platform{Servers: servers, BindIP: splitBindIP}
	platform.PlatformAddressFor = func(host int) string {
		f.openProxies(t, platform, host)
		return f.door(t, platform, host).Address
	}
	f.platformFleet = startFleetOn(t, hosts, platform)
	return f
}

// openProxies starts the proxies in front of a host's listeners for other hosts.
func (f *splitFleet) openProxies(t *testing.T, platform *estate.Platform, host int) {
	for _, address := range []string{platform.PeerAddress(host), platform.HostAPIAddress(host)} {
		p := &soak.ImpairedProxy{Listen: address, Upstream: splitBindIP(host) + address[len(estate.IP(host)):]}
		p.Impairment = func(source string) soak.Impairment {
			// Calls to other hosts come from any address, so that those between the others are held as well.
			held := f.cut.Load() && (host == 1 || source == splitBindIP(1) || address == platform.HostAPIAddress(host))
			return soak.Impairment{HoldRequests: held, HoldResponses: held}
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Stop)
	}
}

// A host was out of step while servers of a new software version joined. Streams that had begun on these through other hosts broke, were
// taken up at that host and went on at a server of another version.
func TestStreamsAtAHostOutOfStep(t *testing.T) {
	ways := map[string]struct{ store, hosts, suspended bool }{
		"cut off from all":       {true, true, false},
		"cut off from the hosts": {false, true, false},
		"cut off from the store": {true, false, false},
		"suspended":              {false, false, true},
	}
	for name, way := range ways {
		for _, untold := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, old versions untold %t", name, untold), func(t *testing.T) {
				t.Parallel()
				servers := softwareEngines(4, 0)
				for _, s := range servers[:4] {
					s.Untold = untold
				}
				f := startSplitFleet(t, 3, servers...)
				f.cut.Store(way.hosts)
				if way.store {
					f.doors[0].TurnAway(estate.Silent)
				}
				if way.suspended {
					f.hosts[0].Signal(syscall.SIGSTOP)
				}
				time.Sleep(50 * time.Millisecond)
				for _, s := range servers[1:3] {
					s.Untold = false
					s.Restart("v2")
				}
				const outOfStep = 1500 * time.Millisecond
				time.Sleep(outOfStep)
				ids := f.beginNamed(2, "s")
				servers[1].Restart("v2")
				servers[2].Restart("v2")
				if way.suspended {
					f.hosts[0].Signal(syscall.SIGCONT)
				}
				resumed := 0
				for range 3 {
					resumed += f.resumeStreams(ids, 1)
				}
				t.Logf("%d of %d streams went on at host-1", resumed, len(ids))
				if mixed := estate.MixedStreams(servers); len(mixed) > 0 {
					t.Errorf("streams with events of two software versions: %d of %d: %v", len(mixed), len(ids), mixed)
				}
			})
		}
	}
}
