package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/wire"
)

var (
	stream = Stream{Organisation: "North", ID: "a1"}
	began  = Origin{Service: "engines", Software: "v1"}
)

// fleet steps the components of several hosts and passes on their messages.
type fleet struct {
	now    time.Duration
	hosts  []event.Host
	parts  map[string]*Component
	silent map[string]bool // hosts that are suspended or cut off
	sought map[string]int  // searches that have ended, by host
	unsure map[string]bool // whether a host that may know the stream did not answer the last one, by host
}

// Alive returns all hosts. A host that has just died still counts as alive.
func (f *fleet) Alive(time.Duration) []event.Host { return f.hosts }

func newFleet(zones, hostsPerZone int, hubs ...string) *fleet {
	f := &fleet{parts: map[string]*Component{}, silent: map[string]bool{}, sought: map[string]int{}, unsure: map[string]bool{}}
	for z := range zones {
		for h := range hostsPerZone {
			f.hosts = append(f.hosts, event.Host{Name: fmt.Sprintf("z%dh%d", z, h), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	for _, h := range f.hosts {
		f.parts[h.Name] = &Component{Self: h, Membership: f}
		f.step(h.Name, event.HostsChanged{Hosts: f.hosts, Hubs: hubs})
	}
	return f
}

func (f *fleet) step(host string, ev event.Event) {
	f.run(host, func(p *Component, out *event.Batch) { p.Step(f.now, ev, out) })
}

// run lets a host act and delivers what it sends.
func (f *fleet) run(host string, act func(p *Component, out *event.Batch)) {
	if f.silent[host] {
		return
	}
	var out event.Batch
	act(f.parts[host], &out)
	for _, raised := range out.Raised {
		if e, ok := raised.(event.StreamSought); ok {
			f.sought[host]++
			f.unsure[host] = e.Unsure
		}
	}
	for _, effect := range out.Effects {
		sent := effect.(event.SendPeer)
		f.step(sent.Host, event.PeerReceived{Host: host, Message: sent.Message})
	}
}

func (f *fleet) tick(d time.Duration) {
	f.now += d
	for _, h := range f.hosts {
		f.step(h.Name, event.Tick{})
	}
}

// begin lets a stream begin at a host.
func (f *fleet) begin(host string) {
	f.run(host, func(p *Component, out *event.Batch) { p.Began(f.now, stream, began, out) })
}

// find looks a stream up at a host, which asks others if it must, and returns what it then knows.
func (f *fleet) find(host string) (Origin, bool) {
	if _, ok := f.parts[host].Lookup(f.now, stream); !ok {
		f.run(host, func(p *Component, out *event.Batch) { p.Seek(f.now, stream, out) })
	}
	return f.parts[host].Lookup(f.now, stream)
}

// A host to which a caller returned did not know at which version the caller's stream had begun on another host.
func TestOriginIsFoundFromAnyHost(t *testing.T) {
	cases := map[string]struct {
		zones, hosts int
		hubs         []string
		at, from     string
		lost         []string // hosts that are gone once the stream has begun
		known        bool
	}{
		"Mesh":                  {zones: 4, hosts: 2, at: "z0h0", from: "z3h1", lost: []string{"z0h0"}, known: true},
		"MeshMostGone":          {zones: 4, hosts: 2, at: "z0h0", from: "z3h1", lost: []string{"z0h0", "z0h1", "z1h0", "z2h0", "z2h1"}, known: true},
		"LargeOwnZone":          {zones: 3, hosts: 6, hubs: []string{"z0h0", "z0h1", "z1h0", "z1h1", "z2h0", "z2h1"}, at: "z0h4", from: "z0h5", lost: []string{"z0h4", "z0h0"}, known: true},
		"LargeOtherZone":        {zones: 3, hosts: 6, hubs: []string{"z0h0", "z0h1", "z1h0", "z1h1", "z2h0", "z2h1"}, at: "z0h4", from: "z2h5", lost: []string{"z0h4", "z2h0"}, known: true},
		"LargeFromHub":          {zones: 3, hosts: 6, hubs: []string{"z0h0", "z0h1", "z1h0", "z1h1", "z2h0", "z2h1"}, at: "z0h4", from: "z2h1", lost: []string{"z0h4"}, known: true},
		"LargeAllThatKnewGone":  {zones: 3, hosts: 6, hubs: []string{"z0h0", "z0h1", "z1h0", "z1h1", "z2h0", "z2h1"}, at: "z0h4", from: "z2h5", lost: []string{"z0h4", "z0h0", "z0h1"}},
		"LargeHubsOfOwnZoneOut": {zones: 2, hosts: 4, hubs: []string{"z0h0", "z1h0"}, at: "z0h3", from: "z1h3", lost: []string{"z1h0"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.zones, c.hosts, c.hubs...)
			f.begin(c.at)
			for _, host := range c.lost {
				f.silent[host] = true
			}
			at, ok := f.find(c.from)
			want := Origin{}
			if c.known {
				want = began
			}
			if diff := cmp.Diff(want, at); diff != "" || ok != c.known {
				t.Errorf("known: %v, want %v; origin (-want +got):\n%s", ok, c.known, diff)
			}
		})
	}
}

// A search for a stream that nobody knows, or that a suspended host knows, had no end.
func TestSearchEnds(t *testing.T) {
	cases := map[string]struct {
		hubs   []string
		silent []string
		after  time.Duration
	}{
		"NobodyKnows":   {},
		"SuspendedHost": {silent: []string{"z0h0"}, after: seekTimeout},
		"SilentHub":     {hubs: []string{"z0h0", "z1h0"}, silent: []string{"z0h0"}, after: seekTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 3, c.hubs...)
			for _, host := range c.silent {
				f.silent[host] = true
			}
			f.find("z1h1")
			if c.after > 0 {
				f.tick(c.after - time.Millisecond)
				if f.sought["z1h1"] != 0 {
					t.Error("the search ended before its time")
				}
				f.tick(time.Millisecond)
			}
			if f.sought["z1h1"] != 1 || len(f.parts["z1h1"].sought) != 0 {
				t.Errorf("%d searches ended, %d are open", f.sought["z1h1"], len(f.parts["z1h1"].sought))
			}
			if unsure := c.after > 0; f.unsure["z1h1"] != unsure {
				t.Errorf("a host that may know the stream did not answer: %v, want %v", f.unsure["z1h1"], unsure)
			}
		})
	}
}

// A host without any other to ask must not wait for an answer.
func TestNobodyToAsk(t *testing.T) {
	f := newFleet(1, 1)
	var out event.Batch
	if f.parts["z0h0"].Seek(0, stream, &out) {
		t.Error("a host without others asked")
	}
	alone, one := f.parts["z0h0"].Alone(), newFleet(1, 2).parts["z0h0"].Alone()
	if unknown := (&Component{Self: f.hosts[0]}).Alone(); !alone || one || unknown {
		t.Errorf("alone: %v; with another host: %v; before the hosts are known: %v", alone, one, unknown)
	}
}

// The first version that is told of a stream stays: another one would mix the two.
func TestOriginNeverChanges(t *testing.T) {
	f := newFleet(1, 2)
	f.begin("z0h0")
	f.step("z0h1", event.PeerReceived{Host: "z0h0", Message: wire.Message{Streams: []wire.StreamNews{{Organisation: stream.Organisation, ID: stream.ID, Service: "engines", Software: "v2"}}}})
	at, _ := f.find("z0h1")
	if diff := cmp.Diff(began, at); diff != "" {
		t.Error(diff)
	}
}

// Streams must be forgotten some time after their last use, and the longest unused first beyond the bound.
func TestForgetting(t *testing.T) {
	var p Component
	p.lazyInit()
	name := func(n int) Stream { return Stream{ID: fmt.Sprint(n)} }
	for n := range maxStreams {
		p.keep(0, name(n), began)
	}
	p.keep(time.Second, name(0), began)
	p.keep(time.Second, name(maxStreams), began)
	known := func(n int) bool { _, ok := p.Lookup(0, name(n)); return ok }
	if diff := cmp.Diff([]bool{true, false, true, true}, []bool{known(0), known(1), known(2), known(maxStreams)}); diff != "" {
		t.Errorf("known beyond the bound (-want +got):\n%s", diff)
	}
	p.forgetOld(keepTime + time.Millisecond)
	if diff := cmp.Diff([]bool{true, false, true}, []bool{known(0), known(2), known(maxStreams)}); diff != "" {
		t.Errorf("known after a time (-want +got):\n%s", diff)
	}
	p.forgetOld(time.Second + keepTime + time.Millisecond)
	if len(p.streams) != 0 || len(p.uses) != 0 {
		t.Errorf("%d streams and %d uses are kept", len(p.streams), len(p.uses))
	}
}
