package proofs

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

// An endpoint is reclaimed while the platform's list shows it as live again or flaps, and a daemon restarts. The
// daemons must send it nothing new once one of them has seen it leave. The endpoint goes on serving for longer than
// the test, so that any request sent to it would succeed.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	cheap := []string{"--price", string(wire.Cheap)}
	for name, listFault := range map[string]wire.Faults{
		"lagging list":  {LiveAfterStop: true},
		"flapping list": {Flap: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := &proc.Cluster{
				Daemons:  2,
				Platform: []string{"--reclaim-notice", "1m"},
				Services: []proc.Endpoint{{Name: "s1", Zone: "a", Args: cheap}, {Name: "s2", Zone: "b", Args: cheap}},
			}
			c.Start(t)
			waitBothServices(t, c)
			c.SetFaults(wire.Faults{ReclaimZone: "b"})
			reclaimed := time.Now()
			proc.WaitUntil(t, shortTimeout, "a daemon reports the endpoint as leaving", func() bool {
				return reportsState(c.Hosts[0], "s2", wire.Leaving) || reportsState(c.Hosts[1], "s2", wire.Leaving)
			})
			c.SetFaults(listFault)
			sendLookups(c, time.Until(reclaimed.Add(shortTimeout)))
			c.Hosts[1].Kill()
			c.Hosts[1].Start()
			proc.WaitUntil(t, 4*shortTimeout, "the daemon is ready again", c.Hosts[1].Ready)
			sendLookups(c, shortTimeout)
			for _, q := range c.Endpoints["s2"].Received().Requests {
				if q.Path == "/lookup" && q.At.After(reclaimed.Add(shortTimeout)) {
					t.Fatalf("new work %v after the endpoint was reclaimed", q.At.Sub(reclaimed))
				}
			}
		})
	}
}

// reportsState reports whether a daemon's status lists an endpoint with a state.
func reportsState(h *proc.Host, endpoint string, state wire.EndpointState) bool {
	status, _ := h.Status()
	for _, e := range status.Endpoints {
		if e.Endpoint == endpoint {
			return e.State == state
		}
	}
	return false
}

// sendLookups sends lookups to every daemon in turn for a duration.
func sendLookups(c *proc.Cluster, d time.Duration) {
	const pause = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
		for _, h := range c.Hosts {
			h.Get("/lookup", c.Key("North"))
		}
	}
}

// A daemon gets SIGTERM while generations and slow calls that are not idempotent are running. All of them must be
// completed, as must calls that arrive before the balancer sees the daemon as unready, and the daemon must exit with
// code 0.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	const (
		callers         = 8
		balancerDelay   = 100 * time.Millisecond // for which the daemon accepts calls after it is unready, as set by the test harness
		loadLeadTime    = 300 * time.Millisecond
		tokens          = 60
		tokensPerSecond = 25.0 // of each generation
	)
	c := &proc.Cluster{Daemons: 2, Engines: engineEndpoints(2), Services: serviceEndpoints(2)}
	for i := range c.Engines {
		c.Engines[i].Args = []string{"--request-rate", fmt.Sprint(tokensPerSecond)}
	}
	c.Start(t)
	waitEngines(t, c)
	waitServices(t, c)
	h := c.Hosts[0]
	var load sync.WaitGroup
	var stopped atomic.Int64 // Unix time of SIGTERM in ns
	failures := make(chan string, 10000)
	for i := range callers {
		g := wire.Generate{Prompt: fmt.Sprint("stop", i), MaxTokens: tokens, Seed: int64(i)}
		load.Go(func() {
			a := h.Generate(c.Key("North"), g)
			if diff := cmp.Diff(engin.Tokens(g), a.Tokens()); !a.Complete() || diff != "" {
				failures <- fmt.Sprintf("generation: status %d, error %v: %s", a.Status, a.Err, diff)
			}
		})
		load.Go(func() {
			id := fmt.Sprint("slow", i)
			a := h.Post("/write?DelayMS=2500&Id="+id, c.Key("South"), "x")
			if a.Echo().ID != id || runCount(c, id) != 1 {
				failures <- fmt.Sprintf("slow call: status %d, error %v: %s", a.Status, a.Err, a.Body)
			}
		})
		load.Go(func() {
			// Like the balancer, this load stops once the daemon is unready.
			for n := 0; h.Ready(); n++ {
				id, sent := fmt.Sprint("load", i, "-", n), time.Now()
				a := h.Post("/write?Id="+id, c.Key("South"), "x")
				if stop := stopped.Load(); stop > 0 && sent.After(time.Unix(0, stop).Add(balancerDelay)) {
					return // the caller was held up between its look and its call
				}
				if a.Echo().ID != id {
					failures <- fmt.Sprintf("call under load, begun %v and ended %v after SIGTERM: status %d, error %v: %s",
						sent.Sub(time.Unix(0, stopped.Load())), time.Since(time.Unix(0, stopped.Load())), a.Status, a.Err, a.Body)
				}
			}
		})
	}
	time.Sleep(loadLeadTime) // lets the load start; no check depends on it
	stopped.Store(time.Now().UnixNano())
	h.Signal(syscall.SIGTERM)
	proc.WaitUntil(t, shortTimeout, "unready", func() bool { return !h.Ready() })
	if a := h.Post("/write?Id=late", c.Key("North"), "x"); time.Since(time.Unix(0, stopped.Load())) < balancerDelay && a.Echo().ID != "late" {
		t.Errorf("a call within the balancer delay: status %d, error %v", a.Status, a.Err)
	}
	load.Wait()
	if diff := cmp.Diff(0, h.ExitCode(2*shortTimeout)); diff != "" {
		t.Error(diff)
	}
	close(failures)
	for e := range failures {
		t.Error(e)
	}
}
