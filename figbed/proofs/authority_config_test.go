package proofs

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/wire"
)

// waitConfigInForce waits until hosts report a revision of the configuration, or a later one.
func waitConfigInForce(t *testing.T, hosts []*proc.Host, revision uint64) {
	t.Helper()
	for _, h := range hosts {
		proc.WaitUntil(t, propagationTimeout, "the configuration is in force on "+h.Name, func() bool {
			s, ok := h.Status()
			return ok && s.ConfigRevision >= revision
		})
	}
}

// watchConfigReverts fails the test for each decrease of a host's configuration revision, until stop is called.
func watchConfigReverts(t *testing.T, hosts []*proc.Host) (stop func()) {
	var polls sync.WaitGroup
	done := make(chan struct{})
	for _, h := range hosts {
		polls.Go(func() {
			for highest := uint64(0); ; time.Sleep(20 * time.Millisecond) {
				select {
				case <-done:
					return
				default:
				}
				s, ok := h.Status()
				if ok && s.ConfigRevision < highest {
					t.Errorf("%s went back from configuration %d to %d", h.Name, highest, s.ConfigRevision)
				}
				highest = max(highest, s.ConfigRevision)
			}
		})
	}
	return func() { close(done); polls.Wait() }
}

func raiseDefaultTimeout(s *config.Site) { s.Limits.DefaultTimeout += time.Second }

// A host loses its connection to the store or to its peers, or the store is slow. A new configuration must still be in
// force on all hosts within propagationTimeout, and no host may go back to an older one.
func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		fault   func(c *proc.Cluster, last *proc.Host)
		restore func(c *proc.Cluster, last *proc.Host)
	}{
		"store slow": {
			fault:   func(c *proc.Cluster, _ *proc.Host) { c.SetFaults(wire.Faults{SlowMS: 2500}) },
			restore: func(c *proc.Cluster, _ *proc.Host) { c.SetFaults(wire.Faults{}) },
		},
		"host cut from the store": {
			fault:   func(_ *proc.Cluster, last *proc.Host) { last.PlatformLink.Cut() },
			restore: func(_ *proc.Cluster, last *proc.Host) { last.PlatformLink.Restore() },
		},
		"host cut from the peers": {
			fault:   func(_ *proc.Cluster, last *proc.Host) { last.CutPeers() },
			restore: func(_ *proc.Cluster, last *proc.Host) { last.RestorePeers() },
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
			c.Start(t)
			waitAdmission(t, c)
			stop := watchConfigReverts(t, c.Hosts)
			test.fault(c, c.Hosts[2])
			waitConfigInForce(t, c.Hosts, c.ApplyConfig(raiseDefaultTimeout))
			test.restore(c, c.Hosts[2])
			waitConfigInForce(t, c.Hosts, c.ApplyConfig(raiseDefaultTimeout))
			stop()
		})
	}
}

// A host is cut off from the store and all peers while the configuration changes. It must become unready, and after the
// connections are restored take over the new configuration and be ready again.
func TestHostCutOffAndBack(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmission(t, c)
	last := c.Hosts[2]
	stop := watchConfigReverts(t, c.Hosts)
	last.PlatformLink.Cut()
	last.CutPeers()
	proc.WaitUntil(t, propagationTimeout, "the isolated host is not ready", func() bool { return !last.Ready() })
	revision := c.ApplyConfig(raiseDefaultTimeout)
	waitConfigInForce(t, c.Hosts[:2], revision)
	last.PlatformLink.Restore()
	last.RestorePeers()
	waitConfigInForce(t, c.Hosts, revision)
	proc.WaitUntil(t, propagationTimeout, "the host is ready again", last.Ready)
	stop()
}

// The platform restarts with an old state, but its store's revisions go on increasing. The old configuration must
// never take effect, and a newer one must.
func TestOldObjectAfterNew(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmission(t, c)
	var first config.Site
	c.ApplyConfig(func(s *config.Site) { first = *s })
	revision := c.ApplyConfig(raiseDefaultTimeout)
	waitConfigInForce(t, c.Hosts, revision)
	stop := watchConfigReverts(t, c.Hosts)
	listen := c.PlatformProcess.Listen
	c.PlatformProcess.Kill()
	c.PlatformProcess = proc.StartStandIn(t, "old platform", "platform", "--listen", listen)
	for i := range 50 { // raises the store's revision above the highest that the daemons know
		c.Put(fmt.Sprintf("Other/%d", i), i)
	}
	c.Put("Config/Site", &first)
	time.Sleep(2 * propagationTimeout) // the daemons read the old configuration repeatedly
	waitConfigInForce(t, c.Hosts, revision)
	waitConfigInForce(t, c.Hosts, c.ApplyConfig(raiseDefaultTimeout))
	stop()
	for _, h := range c.Hosts {
		if diff := cmp.Diff(true, h.Ready()); diff != "" {
			t.Errorf("readiness of %s (-want +got):\n%s", h.Name, diff)
		}
	}
}

// A host restarts during a store outage. It must be ready when it reaches a majority of the hosts, with the
// configuration in force, and stay unready while it reaches only one of four peers.
func TestRestartInOutage(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 5, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmission(t, c)
	revision := c.ApplyConfig(raiseDefaultTimeout)
	waitConfigInForce(t, c.Hosts, revision)
	c.SetFaults(wire.Faults{Outage: true})
	last := c.Hosts[4]
	last.Kill()
	last.Start()
	proc.WaitUntil(t, propagationTimeout, "the restarted host is ready", last.Ready)
	waitConfigInForce(t, c.Hosts, revision)
	response := last.Post("/lookup", c.Key("North"), "")
	if diff := cmp.Diff(200, response.Status); diff != "" {
		t.Errorf("call at the restarted host (-want +got):\n%s", diff)
	}

	for _, other := range c.Hosts[1:4] {
		other.PeerLinks[last.Name].Cut()
		last.PeerLinks[other.Name].Cut()
	}
	last.Kill()
	last.Start()
	if proc.Poll(2*propagationTimeout, last.Ready) {
		t.Error("a host that reaches only one of four peers is ready in the outage")
	}
	for _, other := range c.Hosts[1:4] {
		other.PeerLinks[last.Name].Restore()
		last.PeerLinks[other.Name].Restore()
	}
	proc.WaitUntil(t, propagationTimeout, "the host is ready when it reaches all peers", last.Ready)
}
