package main

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/figshift/figshift/internal/config"
	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/kinds"
	"github.com/figshift/figshift/internal/peer"
	"github.com/figshift/figshift/internal/wire"
)

// fleetSize is the size of the fleet that a daemon knows.
type fleetSize struct {
	endpoints     int
	organisations int
	hosts         int
	zones         int // zones over which the endpoints are spread
}

func (s fleetSize) String() string {
	return fmt.Sprintf("Endpoints=%d/Organisations=%d/Hosts=%d/Zones=%d", s.endpoints, s.organisations, s.hosts, s.zones)
}

// newReadyDaemon returns a daemon that has become ready in a fleet of the given size.
func newReadyDaemon(b *testing.B, size fleetSize) (*daemon, time.Duration) {
	b.Helper()
	d := daemonFactory(b)(b.Fatal)
	b.Cleanup(d.close)
	s := newFakeStore(benchSite(size))
	for i := range size.endpoints {
		name := fmt.Sprintf("s%d", i)
		s.endpoints = append(s.endpoints, wire.Endpoint{Name: name, Incarnation: "1", Kind: wire.Service, Service: "lookup", Zone: zoneName(i % size.zones), Address: name, State: wire.Live})
	}
	for i := 1; i < size.hosts; i++ {
		name := fmt.Sprintf("p%d", i)
		s.write("Hosts/"+name, event.Host{Name: name, Zone: "a", Address: name, Incarnation: "1"})
	}
	now, ok := bootDaemon(s, time.Second, d.state.Step)
	if !ok {
		b.Fatal("the daemon did not become ready")
	}
	return d, now
}

// zoneName returns the name of zone i; zone 0 is a, that of the daemon.
func zoneName(i int) string { return string(rune('a' + i)) }

func benchSite(size fleetSize) *config.Site {
	s := chaosSite()
	s.Limits = config.Defaults().Limits
	for i := range size.organisations {
		name := fmt.Sprintf("o%d", i)
		s.Organisations[name] = config.Organisation{Name: name, Weight: 1}
	}
	return s
}

// BenchmarkRequest steps the reducer through complete requests, from arrival to answer.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []fleetSize{{16, 8, 1, 2}, {100, 8, 1, 2}, {1000, 8, 1, 2}, {10000, 8, 1, 1}, {10000, 8, 1, 23}, {100, 100, 1, 2}, {100, 1000, 1, 2}} {
		b.Run(size.String(), func(b *testing.B) {
			d, now := newReadyDaemon(b, size)
			id := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				id++
				serveRequest(b, d, now, id)
			}
		})
	}
}

func serveRequest(b *testing.B, d *daemon, now time.Duration, id uint64) {
	arrived := event.RequestArrived{Request: id, KeyHash: northKey, Path: "/lookup", Method: "POST", Tokens: 10, Deadline: now + time.Second}
	var attempt uint64
	for _, e := range d.state.Step(now, arrived) {
		if s, ok := e.(event.StartAttempt); ok {
			attempt = s.Attempt
		}
	}
	if attempt == 0 {
		b.Fatal("no attempt was started")
	}
	d.state.Step(now, event.AttemptConnected{Request: id, Attempt: attempt})
	d.state.Step(now, event.AttemptHead{Request: id, Attempt: attempt, Status: 200, Load: 10})
	d.state.Step(now, event.AttemptDone{Request: id, Attempt: attempt, Run: kinds.Ran, Whole: true, Status: 200})
}

// BenchmarkTick steps the reducer through its periodic work, with ticks tickInterval apart.
func BenchmarkTick(b *testing.B) {
	for _, size := range []fleetSize{{16, 8, 8, 2}, {100, 8, 8, 2}, {1000, 8, 8, 2}, {10000, 8, 8, 23}, {16, 1000, 8, 2}, {16, 8, 100, 2}, {16, 8, 400, 2}, {16, 8, 1400, 2}, {10000, 100, 1400, 23}} {
		b.Run(size.String(), func(b *testing.B) {
			d, now := newReadyDaemon(b, size)
			b.ReportAllocs()
			for b.Loop() {
				now += tickInterval
				d.state.Step(now, event.Tick{})
			}
		})
	}
}

// BenchmarkHeartbeat steps the reducer through the heartbeats of one peer.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []fleetSize{{16, 8, 8, 2}, {100, 8, 8, 2}, {1000, 8, 8, 2}, {16, 100, 8, 2}, {16, 1000, 8, 2}} {
		b.Run(size.String(), func(b *testing.B) {
			d, now := newReadyDaemon(b, size)
			d.state.Step(now, event.PeerUp{Host: "p1", Incarnation: "1"})
			heartbeat := benchHeartbeat(size)
			b.ReportAllocs()
			for b.Loop() {
				heartbeat.Seq++
				now += time.Millisecond
				sent := heartbeat
				d.state.Step(now, event.PeerReceived{Host: "p1", Incarnation: "1", Message: wire.Message{Beat: &sent}})
			}
		})
	}
}

func benchHeartbeat(size fleetSize) wire.Beat {
	heartbeat := wire.Beat{ConfigRevision: 1, Ready: true}
	for i := range size.organisations {
		heartbeat.Served = append(heartbeat.Served, wire.Served{Organisation: fmt.Sprintf("o%d", i), Tokens: 1000})
	}
	for i := range size.endpoints {
		heartbeat.Loads = append(heartbeat.Loads, wire.LoadReport{Endpoint: fmt.Sprintf("s%d", i), Incarnation: "1", Tokens: 100, AgeMS: 200})
	}
	return heartbeat
}

// BenchmarkSite encodes the site's configuration as it is sent and reports its size in bytes.
func BenchmarkSite(b *testing.B) {
	for _, organisations := range []int{8, 100, 1000} {
		b.Run(fmt.Sprintf("Organisations=%d", organisations), func(b *testing.B) {
			site := benchSite(fleetSize{organisations: organisations})
			bytes := 0
			for b.Loop() {
				text, err := json.Marshal(site)
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(text)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}

// BenchmarkEndpointList encodes the endpoint list as it is sent between daemons and reports its size in bytes.
func BenchmarkEndpointList(b *testing.B) {
	for _, endpoints := range []int{16, 1000, 10000} {
		b.Run(fmt.Sprintf("Endpoints=%d", endpoints), func(b *testing.B) {
			set := wire.EndpointSet{Revision: 1}
			for i := range endpoints {
				set.Endpoints = append(set.Endpoints, wire.Endpoint{
					Name: fmt.Sprintf("engine-%05d", i), Incarnation: "0123456789abcdef", Kind: wire.Engine, Zone: "a",
					Address: "10.0.0.1:8000", Price: wire.Cheap, State: wire.Live, Model: "default",
				})
			}
			bytes := 0
			for b.Loop() {
				frame, err := peer.Encode(wire.Message{Endpoints: &set})
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(frame)
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
