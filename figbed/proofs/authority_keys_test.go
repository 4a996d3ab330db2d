package proofs

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/objapi"
	"github.com/figshift/figshift/internal/wire"
)

// propagationTimeout is the time within which a change, a fault or its end must have its effect on all hosts.
const propagationTimeout = 5 * time.Second

// operatorStore returns a client that reaches the store directly, without the fault-injecting proxies of the daemons.
func operatorStore(c *proc.Cluster) *objapi.Client {
	return &objapi.Client{Base: c.PlatformProcess.URL(), HTTP: http.DefaultClient}
}

// waitAdmission waits until every host sees all hosts alive and admitted, that is counted for majorities.
func waitAdmission(t *testing.T, c *proc.Cluster) {
	t.Helper()
	proc.WaitUntil(t, 2*propagationTimeout, "every host sees all hosts alive and admitted", func() bool {
		return everyHost(c.Hosts, func(h wire.HostStatus) bool { return h.Alive && h.Admitted })
	})
}

// withdrawKey withdraws a key, waits until a majority of the hosts has acknowledged that, and returns the time.
func withdrawKey(t *testing.T, c *proc.Cluster, key string) time.Time {
	t.Helper()
	change, err := keys.Revoke(context.Background(), operatorStore(c), keys.Hash(key))
	if err != nil {
		t.Fatal(err)
	}
	proc.WaitUntil(t, propagationTimeout, "a majority acknowledges the withdrawal", func() bool {
		acknowledged := 0
		for _, h := range c.Hosts {
			if s, ok := h.Status(); ok && s.KeysRevision >= change.Revision {
				acknowledged++
			}
		}
		return acknowledged > len(c.Hosts)/2
	})
	return time.Now()
}

// lastServedAfter calls every host with key until span after start, and returns for each host how long after start a
// call was last served, 0 for never.
func lastServedAfter(hosts []*proc.Host, key string, start time.Time, span time.Duration) []time.Duration {
	last := make([]time.Duration, len(hosts))
	var group sync.WaitGroup
	for i, h := range hosts {
		group.Go(func() {
			for time.Since(start) < span {
				if h.Post("/lookup", key, "").Status == http.StatusOK {
					last[i] = time.Since(start)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return last
}

// A key is withdrawn while a host is cut off from the store, from its peers or from both, before or after the
// withdrawal. No host may serve calls with the key later than propagationTimeout after a majority acknowledged the
// withdrawal, and calls with other keys must be served.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	nothing := func(*proc.Cluster, *proc.Host) {}
	cutStore := func(_ *proc.Cluster, h *proc.Host) { h.PlatformLink.Cut() }
	cutPeers := func(_ *proc.Cluster, h *proc.Host) { h.CutPeers() }
	cases := map[string]struct {
		before func(c *proc.Cluster, last *proc.Host)
		after  func(c *proc.Cluster, last *proc.Host)
		kind   kinds.Kind // of the last host's refusals, "" for any
	}{
		"connected":             {before: nothing, after: nothing, kind: kinds.KeyWithdrawn},
		"store down":            {before: nothing, after: func(c *proc.Cluster, _ *proc.Host) { c.SetFaults(wire.Faults{Outage: true}) }, kind: kinds.KeyWithdrawn},
		"cut from the store":    {before: cutStore, after: nothing, kind: kinds.KeyWithdrawn},
		"cut from the peers":    {before: cutPeers, after: nothing, kind: kinds.KeyWithdrawn},
		"cut from both":         {before: func(c *proc.Cluster, h *proc.Host) { cutStore(c, h); cutPeers(c, h) }, after: nothing, kind: kinds.AuthorityStale},
		"cut, then store down":  {before: cutPeers, after: func(c *proc.Cluster, _ *proc.Host) { c.SetFaults(wire.Faults{Outage: true}) }, kind: ""},
		"peers cut, then store": {before: cutPeers, after: cutStore, kind: ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
			c.Start(t)
			waitAdmission(t, c)
			key, other := c.Key("North"), c.Key("South")
			last := c.Hosts[2]
			proc.WaitUntil(t, propagationTimeout, "calls are served", func() bool { return last.Post("/lookup", key, "").Status == http.StatusOK })
			test.before(c, last)
			accepted := withdrawKey(t, c, key)
			test.after(c, last)
			for i, served := range lastServedAfter(c.Hosts, key, accepted, propagationTimeout+time.Second) {
				if served > propagationTimeout {
					t.Errorf("%s served a call %v after the withdrawal was accepted", c.Hosts[i].Name, served)
				}
			}
			refused := last.Post("/lookup", key, "")
			if test.kind != "" {
				got := []string{refused.Header.Get(wire.HeaderKind), refused.Header.Get(wire.HeaderRun)}
				if diff := cmp.Diff([]string{string(test.kind), string(kinds.NotRun)}, got); diff != "" {
					t.Errorf("refusal of the last host (-want +got):\n%s", diff)
				}
			}
			if diff := cmp.Diff(http.StatusOK, c.Hosts[0].Post("/lookup", other, "").Status); diff != "" {
				t.Errorf("the other organisation's call (-want +got):\n%s", diff)
			}
		})
	}
}

// A key is withdrawn while a stream that was started with it runs. The stream must be cut within propagationTimeout.
func TestWithdrawnKeyStream(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 3, Engines: []proc.Endpoint{{Name: "e1", Zone: "a", Args: []string{"--request-rate", "40"}}}}
	c.Start(t)
	waitAdmission(t, c)
	key := c.Key("North")
	proc.WaitUntil(t, propagationTimeout, "a generation is served", func() bool {
		return c.Hosts[2].Generate(key, wire.Generate{Prompt: "short", MaxTokens: 4}).Complete()
	})
	ended := make(chan time.Time, 1)
	complete := make(chan bool, 1)
	outcome := make(chan string, 1)
	go func() {
		response := c.Hosts[2].Generate(key, wire.Generate{Prompt: "long", MaxTokens: 600})
		outcome <- fmt.Sprintf("status %d, error %v: %s", response.Status, response.Err, response.Body)
		ended <- time.Now()
		complete <- response.Complete()
	}()
	if !proc.Poll(propagationTimeout, func() bool { return len(c.Endpoints["e1"].Received().Runs) > 1 }) {
		select {
		case o := <-outcome:
			t.Fatalf("the generation ended before it ran: %s", o)
		default:
			t.Fatalf("not within %v: the stream runs", propagationTimeout)
		}
	}
	accepted := withdrawKey(t, c, key)
	select {
	case at := <-ended:
		if at.Sub(accepted) > propagationTimeout || <-complete {
			t.Errorf("the stream ended %v after the withdrawal was accepted, or was complete", at.Sub(accepted))
		}
	case <-time.After(propagationTimeout):
		t.Errorf("the stream still runs %v after the withdrawal was accepted", propagationTimeout)
	}
}

// A host is suspended while peers go on sending heartbeats to it, and is cut off from everything before a key is
// withdrawn. When it resumes, neither the heartbeats in its socket buffers nor the calls queued at its listener may
// make it serve the key.
func TestSuspendedHostAndWithdrawnKey(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 3, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmission(t, c)
	key := c.Key("North")
	last := c.Hosts[2]
	proc.WaitUntil(t, propagationTimeout, "calls are served", func() bool { return last.Post("/lookup", key, "").Status == http.StatusOK })
	last.Signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // heartbeats from before the withdrawal collect in the socket buffers
	last.PlatformLink.Cut()
	last.CutPeers()
	withdrawKey(t, c, key)
	time.Sleep(3 * time.Second) // Trust.Bound: evidence from before the suspension has expired
	var group sync.WaitGroup
	served := make(chan int, 40)
	for range cap(served) {
		group.Go(func() {
			if last.Post("/lookup", key, "").Status == http.StatusOK {
				served <- 1
			}
		})
	}
	time.Sleep(200 * time.Millisecond) // the calls reach the listener
	last.Signal(syscall.SIGCONT)
	group.Wait()
	if diff := cmp.Diff(0, len(served)); diff != "" {
		t.Errorf("calls served with the withdrawn key (-want +got):\n%s", diff)
	}
}

// During a store outage all hosts must go on serving. A minority that is cut off from the others meanwhile must stop,
// since it can't learn of withdrawn keys, and the majority must go on.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 5, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}}
	c.Start(t)
	waitAdmission(t, c)
	key := c.Key("North")
	for _, h := range c.Hosts {
		proc.WaitUntil(t, propagationTimeout, "calls are served", func() bool { return h.Post("/lookup", key, "").Status == http.StatusOK })
	}
	c.SetFaults(wire.Faults{Outage: true})
	start := time.Now()
	for _, served := range lastServedAfter(c.Hosts, key, start, 10*time.Second) {
		if served < 9*time.Second {
			t.Errorf("during the outage a host last served a call after %v", served)
		}
	}
	c.Hosts[3].CutPeers()
	c.Hosts[4].CutPeers()
	start = time.Now()
	served := lastServedAfter(c.Hosts, key, start, 8*time.Second)
	for i, at := range served {
		cut := i >= 3
		if cut != (at < propagationTimeout) {
			t.Errorf("%s (cut: %v) last served a call %v after the cut", c.Hosts[i].Name, cut, at)
		}
	}
}

// Each host is connected to a few neighbours only, and most don't see a majority of the hosts alive. The time limits
// for withdrawn keys and store outages must hold as in a fully connected fleet.
func TestNeighborsOnly(t *testing.T) {
	t.Parallel()
	c := &proc.Cluster{Daemons: 14, Zones: []string{"a", "b", "c", "d", "e"}, Services: []proc.Endpoint{{Name: "s1", Zone: "a"}}, Site: func(s *config.Site) {
		s.Trust.MeshUpTo = 3
		s.Trust.Neighbors = 2
		s.Trust.Watchers = 1
	}}
	c.Start(t)
	proc.WaitUntil(t, 4*propagationTimeout, "all hosts are admitted and most see no majority alive", func() bool {
		seeingMajority := 0
		for _, h := range c.Hosts {
			if seesMajorityAlive(h) {
				seeingMajority++
			}
		}
		return seeingMajority < len(c.Hosts)/2 && everyHost(c.Hosts, func(h wire.HostStatus) bool { return h.Admitted })
	})
	accepted := withdrawKey(t, c, c.Key("North"))
	for i, served := range lastServedAfter(c.Hosts, c.Key("North"), accepted, propagationTimeout+time.Second) {
		if served > propagationTimeout {
			t.Errorf("%s served a call %v after the withdrawal was accepted", c.Hosts[i].Name, served)
		}
	}
	c.SetFaults(wire.Faults{Outage: true})
	for i, served := range lastServedAfter(c.Hosts, c.Key("South"), time.Now(), 10*time.Second) {
		if served < 9*time.Second {
			t.Errorf("during the outage %s last served a call after %v", c.Hosts[i].Name, served)
		}
	}
}

func seesMajorityAlive(h *proc.Host) bool {
	alive := 0
	s, _ := h.Status()
	for _, other := range s.Hosts {
		if other.Alive {
			alive++
		}
	}
	return alive > len(s.Hosts)/2
}

func allAlive(hosts []*proc.Host) bool {
	return everyHost(hosts, func(h wire.HostStatus) bool { return h.Alive })
}

// everyHost reports whether the status of every host lists all hosts and condition holds for each of them.
func everyHost(hosts []*proc.Host, condition func(wire.HostStatus) bool) bool {
	for _, h := range hosts {
		s, ok := h.Status()
		if !ok || len(s.Hosts) != len(hosts) {
			return false
		}
		for _, other := range s.Hosts {
			if !condition(other) {
				return false
			}
		}
	}
	return true
}
