package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestKeptConnections is for a large fleet that sends few plain calls to many endpoints: each daemon's calls come seconds
// apart, and an idle connection lives for some seconds only.
func TestKeptConnections(t *testing.T) {
	const daemons, endpoints, calls = 60, 18, 200
	const every, idleFor = 2 * time.Second, 10 * time.Second
	connections := map[string]int{}
	most := map[string]int{}
	for name, keeps := range map[string]bool{"Kept": true, "LessBusyOfTwo": false} {
		served := map[string]int{}
		for d := range daemons {
			var picker Picker[*Endpoint] = &Affine[*Endpoint]{Random: rand.New(rand.NewPCG(uint64(d), 1)), Slack: 1.5}
			if keeps {
				picker = &Kept[*Endpoint]{Host: fmt.Sprintf("h%d", d), Next: picker}
			}
			var all []*Endpoint
			for i := range endpoints {
				e := live(fmt.Sprintf("e%d", i), "z", "")
				all = append(all, &Endpoint{Endpoint: e})
			}
			last := map[string]time.Duration{}
			for i := range calls {
				now := time.Duration(i+1) * every
				e := picker.Pick(now, all, 0)
				if before, ok := last[e.Name]; !ok || now-before > idleFor {
					connections[name]++
				}
				last[e.Name] = now
				served[e.Name]++
			}
		}
		for _, n := range served {
			most[name] = max(most[name], n)
		}
	}
	t.Logf("new connections: %v; most calls at one endpoint, of %d on average: %v", connections, daemons*calls/endpoints, most)
	if connections["Kept"]*10 > connections["LessBusyOfTwo"] {
		t.Errorf("new connections: %v, want less than a tenth", connections)
	}
	if most["Kept"] > 3*daemons*calls/endpoints {
		t.Errorf("%d calls at one endpoint", most["Kept"])
	}
}

func TestKeptLeavesWhatIsNotIdle(t *testing.T) {
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
				all = append(all, &Endpoint{Endpoint: live(fmt.Sprintf("e%d", i), "z", "")})
			}
			next := &Turns[*Endpoint]{next: -1}
			k := &Kept[*Endpoint]{Host: "h1", Next: next}
			own := k.Pick(0, all, 0)
			c.change(own)
			k.Pick(0, all, c.prefix)
			if kept := next.next < 0; kept != c.kept {
				t.Errorf("kept to %s: %v, want %v", own.Name, kept, c.kept)
			}
		})
	}
}
