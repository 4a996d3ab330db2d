package proofs

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/figbed/internal/engin"
	"github.com/figshift/figshift/figbed/internal/proc"
	"github.com/figshift/figshift/internal/wire"
)

// TestLeavingEndpointGetsNoNewWork reclaims an endpoint that goes on serving for longer than the test,
// so that whatever is sent there would be answered.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	t.Parallel()
	cheap := []string{"--price", string(wire.Cheap)}
	for name, later := range map[string]wire.Faults{
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
			awaitLookups(t, c)
			c.SetFaults(wire.Faults{ReclaimZone: "b"})
			left := time.Now()
			proc.WaitUntil(t, soon, "a daemon sees the endpoint leave", func() bool {
				return shows(c.Hosts[0], "s2", wire.Leaving) || shows(c.Hosts[1], "s2", wire.Leaving)
			})
			c.SetFaults(later)
			sendLookups(c, time.Until(left.Add(soon)))
			c.Hosts[1].Kill()
			c.Hosts[1].Run()
			proc.WaitUntil(t, 4*soon, "the daemon is ready again", c.Hosts[1].Ready)
			sendLookups(c, soon)
			for _, q := range c.Endpoints["s2"].Seen().Requests {
				if q.Path == "/lookup" && q.At.After(left.Add(soon)) {
					t.Fatalf("new work %v after the endpoint began to leave", q.At.Sub(left))
				}
			}
		})
	}
}

// shows reports whether a daemon's status gives an endpoint this state.
func shows(h *proc.Host, endpoint string, state wire.EndpointState) bool {
	status, _ := h.Status()
	for _, e := range status.Endpoints {
		if e.Endpoint == endpoint {
			return e.State == state
		}
	}
	return false
}

// sendLookups sends lookups to every daemon in turn for a while.
func sendLookups(c *proc.Cluster, d time.Duration) {
	const pause = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pause) {
		for _, h := range c.Hosts {
			h.Get("/lookup", c.Key("North"))
		}
	}
}

// TestGracefulStop stops a daemon under load with generations and slow calls that are not idempotent open.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	const (
		callers = 8
		delay   = 100 * time.Millisecond // the balancer's delay of the harness
		begun   = 300 * time.Millisecond
		tokens  = 60
		slow    = 25.0 // tokens a second of one generation
	)
	c := &proc.Cluster{Daemons: 2, Engines: engines(2), Services: services(2)}
	for i := range c.Engines {
		c.Engines[i].Args = []string{"--request-rate", fmt.Sprint(slow)}
	}
	c.Start(t)
	awaitEngines(t, c)
	awaitService(t, c)
	h := c.Hosts[0]
	var load sync.WaitGroup
	errors := make(chan string, 10000)
	for i := range callers {
		g := wire.Generate{Prompt: fmt.Sprint("stop", i), MaxTokens: tokens, Seed: int64(i)}
		load.Go(func() {
			a := h.Generate(c.Key("North"), g)
			if diff := cmp.Diff(engin.Tokens(g), a.Tokens()); !a.Whole() || diff != "" {
				errors <- fmt.Sprintf("generation: status %d, error %v: %s", a.Status, a.Err, diff)
			}
		})
		load.Go(func() {
			id := fmt.Sprint("slow", i)
			a := h.Post("/write?DelayMS=2500&Id="+id, c.Key("South"), "x")
			if a.Echo().ID != id || runsOf(c, id) != 1 {
				errors <- fmt.Sprintf("slow call: status %d, error %v: %s", a.Status, a.Err, a.Body)
			}
		})
		load.Go(func() {
			// As the balancer does, it stops sending once the daemon is not ready.
			for n := 0; h.Ready(); n++ {
				id := fmt.Sprint("load", i, "-", n)
				if a := h.Post("/write?Id="+id, c.Key("South"), "x"); a.Echo().ID != id {
					errors <- fmt.Sprintf("call under load: status %d, error %v: %s", a.Status, a.Err, a.Body)
				}
			}
		})
	}
	time.Sleep(begun) // lets the load begin; nothing is judged by it
	stopped := time.Now()
	h.Signal(syscall.SIGTERM)
	proc.WaitUntil(t, soon, "unready", func() bool { return !h.Ready() })
	if a := h.Post("/write?Id=late", c.Key("North"), "x"); time.Since(stopped) < delay && a.Echo().ID != "late" {
		t.Errorf("a call within the balancer's delay: status %d, error %v", a.Status, a.Err)
	}
	load.Wait()
	if diff := cmp.Diff(0, h.ExitCode(2*soon)); diff != "" {
		t.Error(diff)
	}
	close(errors)
	for e := range errors {
		t.Error(e)
	}
}
