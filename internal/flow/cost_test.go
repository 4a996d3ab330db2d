package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/keys"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/wire"
)

// newSizedRig returns a rig with the given numbers of endpoints, in 23 availability zones, of organisations and of hosts.
func newSizedRig(endpoints, organisations, hosts int) *rig {
	const zones = 23
	g := newRig()
	site := rigSite()
	site.Limits = config.Defaults().Limits
	for i := range organisations {
		name := fmt.Sprint("o", i)
		site.Organisations[name] = config.Organisation{Name: name, Weight: 1}
		g.keys.Entries[name] = keys.Entry{Organisation: name, State: keys.Active}
	}
	var list []wire.Endpoint
	for i := range endpoints {
		e := rigEndpoint(fmt.Sprint("e", i))
		e.Zone = fmt.Sprint("z", i%zones)
		list = append(list, e)
	}
	var all []event.Host
	for i := range hosts {
		all = append(all, event.Host{Name: fmt.Sprint("h", i)})
	}
	g.step(event.ConfigInForce{Site: site})
	g.list(list...)
	g.step(event.HostsChanged{Hosts: all})
	g.advance(2 * maxPeerWait)
	return g
}

// BenchmarkRequest measures the four events of one request.
func BenchmarkRequest(b *testing.B) {
	for _, size := range [][2]int{{10, 8}, {1000, 8}, {10_000, 8}, {10, 1000}} {
		b.Run(fmt.Sprintf("Endpoints=%d/Organisations=%d", size[0], size[1]), func(b *testing.B) {
			g := newSizedRig(size[0], size[1], 8)
			id := uint64(0)
			for b.Loop() {
				id++
				s := effectsOf[event.StartAttempt](g.step(arrival(id, fmt.Sprint("o", id%uint64(size[1])), "/lookup")))[0]
				g.step(event.AttemptConnected{Request: s.Request, Attempt: s.Attempt})
				g.step(event.AttemptHead{Request: s.Request, Attempt: s.Attempt, Load: 5})
				g.step(attemptDone(s, kinds.Ran, ""))
			}
		})
	}
}

// BenchmarkSecond measures the ticks of one second of a daemon without requests.
func BenchmarkSecond(b *testing.B) {
	const ticks = 20
	for _, size := range [][2]int{{10, 8}, {1000, 140}, {10_000, 1400}} {
		b.Run(fmt.Sprintf("Endpoints=%d/Hosts=%d", size[0], size[1]), func(b *testing.B) {
			g := newSizedRig(size[0], 8, size[1])
			for b.Loop() {
				for range ticks {
					g.advance(time.Second / ticks)
				}
			}
		})
	}
}
