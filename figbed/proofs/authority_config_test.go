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

// inForce waits until hosts show a configuration's revision.
func inForce(t *testing.T, hosts []*proc.Host, revision uint64) {
	t.Helper()
	for _, h := range hosts {
		proc.WaitUntil(t, statedBound, "the configuration is in force on "+h.Name, func() bool {
			s, ok := h.Status()
			return ok && s.ConfigRevision >= revision
		})
	}
}

// watchReverts reports every fall of a host's configuration revision until the returned function is called.
func watchReverts(t *testing.T, hosts []*proc.Host) (stop func()) {
	var group sync.WaitGroup
	done := make(chan struct{})
	for _, h := range hosts {
		group.Go(func() {
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
	return func() { close(done); group.Wait() }
}

func changeTimeout(s *config.Site) { s.Limits.DefaultTimeout += time.Second }

func TestConfigurationInForce(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		fault func(c *proc.Cluster, last *proc.Host)
		mend  func(c *proc.Cluster, last *proc.Host)
	}{
		"store slow": {
			fault: func(c *proc.Cluster, _ *proc.Host) { c.SetFaults(wire.Faults{SlowMS: 2500}) },
			mend:  func(c *proc.Cluster, _ *proc.Host) { c.SetFaults(wire.Faults{}) },
		},
		"host cut from the store": {
			fault: func(_ *proc.Cluster, last *proc.Host) { last.Store.Cut() },
			mend:  func(_ *proc.Cluster, last *proc.Host) { last.Store.Restore() },
		},
		"host cut from the peers": {
			fault: func(_ *proc.Cluster, last *proc.Host) { last.CutPeers() },
			mend:  func(_ *proc.Cluster, last *proc.Host) { last.RestorePeers() },
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
			c.Start(t)
			waitAdmitted(t, c)
			stop := watchReverts(t, c.Hosts)
			test.fault(c, c.Hosts[2])
			inForce(t, c.Hosts, c.ApplyConfig(changeTimeout))
			test.mend(c, c.Hosts[2])
			inForce(t, c.Hosts, c.ApplyConfig(changeTimeout))
			stop()
		})
	}
}

func TestHostCutOffAndBack(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmitted(t, c)
	last := c.Hosts[2]
	stop := watchReverts(t, c.Hosts)
	last.Store.Cut()
	last.CutPeers()
	proc.WaitUntil(t, statedBound, "the host that is cut off is not ready", func() bool { return !last.Ready() })
	revision := c.ApplyConfig(changeTimeout)
	inForce(t, c.Hosts[:2], revision)
	last.Store.Restore()
	last.RestorePeers()
	inForce(t, c.Hosts, revision)
	proc.WaitUntil(t, statedBound, "the host is ready again", last.Ready)
	stop()
}

// The platform comes back with an old state under revisions that go on rising: the old configuration never takes
// effect, a newer one does.
func TestOldObjectAfterNew(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmitted(t, c)
	var first config.Site
	c.ApplyConfig(func(s *config.Site) { first = *s })
	revision := c.ApplyConfig(changeTimeout)
	inForce(t, c.Hosts, revision)
	stop := watchReverts(t, c.Hosts)
	listen := c.Store.Listen
	c.Store.Kill()
	c.Store = proc.StartStandIn(t, "old platform", "platform", "--listen", listen)
	for i := range 50 { // the store's revision passes what the daemons know
		c.Put(fmt.Sprintf("Other/%d", i), i)
	}
	c.Put("Config/Site", &first)
	time.Sleep(2 * statedBound) // the old state is offered all the time
	inForce(t, c.Hosts, revision)
	inForce(t, c.Hosts, c.ApplyConfig(changeTimeout))
	stop()
	for _, h := range c.Hosts {
		if diff := cmp.Diff(true, h.Ready()); diff != "" {
			t.Errorf("readiness of %s (-want +got):\n%s", h.Name, diff)
		}
	}
}

func TestRestartInOutage(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 5, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmitted(t, c)
	revision := c.ApplyConfig(changeTimeout)
	inForce(t, c.Hosts, revision)
	c.SetFaults(wire.Faults{Outage: true})
	last := c.Hosts[4]
	last.Kill()
	last.Run()
	proc.WaitUntil(t, statedBound, "the restarted host is ready", last.Ready)
	inForce(t, c.Hosts, revision)
	answer := last.Post("/lookup", c.Key("North"), "")
	if diff := cmp.Diff(200, answer.Status); diff != "" {
		t.Errorf("call at the restarted host (-want +got):\n%s", diff)
	}

	for _, other := range c.Hosts[1:4] {
		other.From[last.Name].Cut()
		last.From[other.Name].Cut()
	}
	last.Kill()
	last.Run()
	if proc.Within(2*statedBound, last.Ready) {
		t.Error("a host that reaches only one of four peers is ready in the outage")
	}
	for _, other := range c.Hosts[1:4] {
		other.From[last.Name].Restore()
		last.From[other.Name].Restore()
	}
	proc.WaitUntil(t, statedBound, "the host is ready when it reaches all peers", last.Ready)
}
