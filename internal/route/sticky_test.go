package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestStickyConnections guards against new connections for most requests in a large fleet: each daemon sends requests
// seconds apart, and an idle connection is closed after some seconds, so spreading them over all endpoints reuses none.
func TestStickyConnections(t *testing.T) {
	const daemons, endpoints, requests = 60, 18, 200
	const interval, idleTimeout = 2 * time.Second, 10 * time.Second
	connections := map[string]int{}
	maxServed := map[string]int{}
	for name, sticky := range map[string]bool{"Sticky": true, "LessBusyOfTwo": false} {
		served := map[string]int{}
		for d := range daemons {
			var picker Picker[*Endpoint] = &PrefixAffinity[*Endpoint]{Random: rand.New(rand.NewPCG(uint64(d), 1)), MaxLoad: 1.5}
			if sticky {
				picker = &Sticky[*Endpoint]{Host: fmt.Sprintf("h%d", d), Fallback: picker}
			}
			var all []*Endpoint
			for i := range endpoints {
				e := liveEngine(fmt.Sprintf("e%d", i), "z", "")
				all = append(all, &Endpoint{Endpoint: e})
			}
			lastUse := map[string]time.Duration{}
			for i := range requests {
				now := time.Duration(i+1) * interval
				e := picker.Pick(now, all, 0)
				if at, ok := lastUse[e.Name]; !ok || now-at > idleTimeout {
					connections[name]++
				}
				lastUse[e.Name] = now
				served[e.Name]++
			}
		}
		for _, n := range served {
			maxServed[name] = max(maxServed[name], n)
		}
	}
	t.Logf("new connections: %v; maximum number of requests at one endpoint, of %d on average: %v", connections, daemons*requests/endpoints, maxServed)
	if connections["Sticky"]*10 > connections["LessBusyOfTwo"] {
		t.Errorf("new connections: %v, want less than a tenth", connections)
	}
	if maxServed["Sticky"] > 3*daemons*requests/endpoints {
		t.Errorf("%d requests at one endpoint, more than three times the average", maxServed["Sticky"])
	}
}

func TestStickyFallsBackWhenNotIdle(t *testing.T) {
	cases := map[string]struct {
		change func(e *Endpoint)
		prefix uint64
		kept   bool
	}{
		"Idle":       {func(*Endpoint) {}, 0, true},
		"Running":    {func(e *Endpoint) { e.start(10) }, 0, false},
		"Failed":     {func(e *Endpoint) { e.start(10); e.end(0, 10, Failed) }, 0, false},
		"Recovered":  {func(e *Endpoint) { e.start(10); e.end(0, 10, Failed); e.start(10); e.end(0, 10, Succeeded) }, 0, true},
		"WithPrompt": {func(*Endpoint) {}, 7, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var all []*Endpoint
			for i := range 5 {
				all = append(all, &Endpoint{Endpoint: liveEngine(fmt.Sprintf("e%d", i), "z", "")})
			}
			roundRobin := &RoundRobin[*Endpoint]{last: -1}
			k := &Sticky[*Endpoint]{Host: "h1", Fallback: roundRobin}
			chosen := k.Pick(0, all, 0)
			c.change(chosen)
			k.Pick(0, all, c.prefix)
			if chosenBySticky := roundRobin.last < 0; chosenBySticky != c.kept {
				t.Errorf("request went to %s without Fallback: %v, want %v", chosen.Name, chosenBySticky, c.kept)
			}
		})
	}
}
