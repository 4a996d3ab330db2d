package reach

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/figshift/figshift/internal/event"
	"github.com/figshift/figshift/internal/limit"
	"github.com/figshift/figshift/internal/wire"
)

const (
	tick         = 50 * time.Millisecond
	beatInterval = 600 * time.Millisecond
	testServices = 3 // of the simulated endpoints, of which a trial probes one each
	// noticedWithin is less than the time from the beginning of a cut after which callers' requests count.
	noticedWithin = 2 * time.Second
)

// path is how a host reaches an endpoint.
type path int

const (
	open path = iota
	hangs
	refuses
	slow
)

// fleet simulates hosts that probe endpoints, in virtual time.
type fleet struct {
	now       time.Duration
	names     []string
	parts     map[string]*Component
	endpoints []wire.Endpoint
	path      func(host, endpoint string) path
	pending   []delivery
	probes    int
	changes   map[string]int // of CutOff, by host
}

type delivery struct {
	at   time.Duration
	host string
	ev   event.Event
}

func (f *fleet) Alive(time.Duration) []event.Host {
	var all []event.Host
	for _, n := range f.names {
		all = append(all, event.Host{Name: n})
	}
	return all
}

func newFleet(hosts, endpoints int) *fleet {
	f := &fleet{parts: map[string]*Component{}, changes: map[string]int{}, path: func(string, string) path { return open }}
	for n := range endpoints {
		service := []string{"engines", "plain", "plain", "other", "engines"}[n%5]
		f.endpoints = append(f.endpoints, wire.Endpoint{Name: fmt.Sprintf("e%d", n), Incarnation: "1", State: wire.Live, Address: "a", Service: service})
	}
	for n := range hosts {
		f.names = append(f.names, fmt.Sprintf("h%d", n))
	}
	for _, name := range f.names {
		f.parts[name] = &Component{Self: name, Membership: f}
		f.step(name, event.EndpointsListed{List: wire.EndpointList{Endpoints: f.endpoints}})
	}
	return f
}

func (f *fleet) step(host string, ev event.Event) {
	var out event.Batch
	f.parts[host].Step(f.now, ev, &out)
	for _, raised := range out.Raised {
		if _, ok := raised.(event.LinksChanged); ok {
			f.changes[host]++
		}
	}
	for _, effect := range out.Effects {
		switch e := effect.(type) {
		case event.SendPeer:
			f.step(e.Host, event.PeerReceived{Host: host, Message: e.Message})
		case event.ProbeEndpoint:
			f.probe(host, e)
		}
	}
}

func (f *fleet) probe(host string, e event.ProbeEndpoint) {
	f.probes++
	took, answered := map[path]time.Duration{open: 5 * time.Millisecond, hangs: e.Timeout, refuses: time.Millisecond, slow: e.Timeout * 3 / 4}, true
	p := f.path(host, e.Endpoint)
	if p == hangs || p == refuses {
		answered = false
	}
	f.pending = append(f.pending, delivery{f.now + took[p], host, event.EndpointProbed{Endpoint: e.Endpoint, Incarnation: e.Incarnation, Answered: answered}})
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tick {
		due := f.pending
		f.pending = nil
		for _, p := range due {
			if p.at > f.now {
				f.pending = append(f.pending, p)
				continue
			}
			f.step(p.host, p.ev)
		}
		for _, host := range f.names {
			f.step(host, event.Tick{})
			if f.now%beatInterval == 0 {
				f.beat(host)
			}
		}
	}
}

func (f *fleet) beat(host string) {
	var beat wire.Beat
	f.parts[host].FillBeat(f.now, &beat)
	for _, other := range f.names {
		if other != host {
			f.step(other, event.BeatSeen{Host: host, Beat: beat})
		}
	}
}

// cutOff returns the hosts that know that they are cut off.
func (f *fleet) cutOff() []string {
	var all []string
	for _, host := range f.names {
		if f.parts[host].CutOff(f.now) {
			all = append(all, host)
		}
	}
	return all
}

// Hosts that had lost their links took what they saw for the endpoints' state.
func TestHostsKnowThatTheyAreCutOff(t *testing.T) {
	all := []string{"h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7"}
	inPart := func(names []string, host string) bool { return slices.Contains(names, host) }
	cases := map[string]struct {
		hosts     []string // that can't reach endpoints
		endpoints []string // only these, all when empty
		how       path
		want      []string
	}{
		"One":                  {hosts: all[:1], how: hangs, want: all[:1]},
		"Zone":                 {hosts: all[:3], how: hangs, want: all[:3]},
		"Most":                 {hosts: all[:7], how: hangs, want: all[:7]},
		"MostRefused":          {hosts: all[:7], how: refuses, want: all[:7]},
		"All":                  {hosts: all, how: hangs},
		"AllRefused":           {hosts: all, how: refuses},
		"OneEndpointDown":      {hosts: all, endpoints: []string{"e0"}, how: refuses},
		"HalfTheEndpointsDown": {hosts: all, endpoints: []string{"e0", "e1", "e2", "e3", "e4"}, how: hangs},
		"HalfForOneHost":       {hosts: all[:1], endpoints: []string{"e0", "e1", "e2", "e3", "e4"}, how: hangs},
		"AllButOneServiceDown": {hosts: all, endpoints: []string{"e0", "e1", "e2", "e4", "e5", "e6", "e7", "e9"}, how: refuses},
		"SlowForAll":           {hosts: all, how: slow},
		"NoneCut":              {},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(len(all), 10)
			f.run(3 * time.Second)
			f.path = func(host, endpoint string) path {
				if inPart(c.hosts, host) && (len(c.endpoints) == 0 || inPart(c.endpoints, endpoint)) {
					return c.how
				}
				return open
			}
			within := noticedWithin
			if len(c.hosts) == len(all) {
				within += relayContact // until then the others may have found another way
			}
			f.run(within)
			if diff := cmp.Diff(c.want, f.cutOff()); diff != "" {
				t.Errorf("cut off after %v (-want +got):\n%s", within, diff)
			}
			f.run(10 * time.Second)
			if diff := cmp.Diff(c.want, f.cutOff()); diff != "" {
				t.Errorf("cut off at the end (-want +got):\n%s", diff)
			}
			for _, host := range c.want {
				want := slices.DeleteFunc(slices.Clone(all), func(h string) bool { return inPart(c.want, h) })
				if diff := cmp.Diff(want, f.parts[host].Relays(f.now)); diff != "" {
					t.Errorf("relays of %s (-want +got):\n%s", host, diff)
				}
			}
			f.path = func(string, string) path { return open }
			f.run(noticedWithin)
			if got := f.cutOff(); len(got) > 0 {
				t.Errorf("still cut off %v after the end: %v", noticedWithin, got)
			}
			for host, n := range f.changes {
				if n > 2 {
					t.Errorf("%s changed its mind %d times", host, n)
				}
			}
		})
	}
}

// A host took a service that had gone down during the cut for links that were still cut.
func TestLinksAreBackBesideADeadService(t *testing.T) {
	f := newFleet(3, 10)
	f.run(3 * time.Second)
	f.path = func(host, _ string) path {
		if host == "h0" {
			return hangs
		}
		return open
	}
	f.run(noticedWithin)
	f.path = func(_, endpoint string) path {
		if endpoint != "e3" && endpoint != "e8" {
			return refuses
		}
		return open
	}
	f.run(2 * noticedWithin)
	if got := f.cutOff(); len(got) > 0 {
		t.Errorf("cut off beside dead services: %v", got)
	}
}

// A host whose links come and go must not change its mind with each probe.
func TestCutThatFlaps(t *testing.T) {
	f := newFleet(4, 10)
	f.run(3 * time.Second)
	f.path = func(host, _ string) path {
		if host == "h0" && f.now/(400*time.Millisecond)%2 == 0 {
			return refuses
		}
		return open
	}
	f.run(20 * time.Second)
	if f.changes["h0"] > 20 {
		t.Errorf("%d changes in 20 s", f.changes["h0"])
	}
}

// Probes must stay few while nothing is wrong, and bounded while a host is cut off.
func TestProbesStayFew(t *testing.T) {
	const span = 20 * time.Second
	for name, c := range map[string]struct {
		how  path
		most float64 // probes a second and host
	}{"Open": {open, 1 / quietTime.Seconds()}, "Hangs": {hangs, testServices/cutPause.Seconds() + 1}, "Refuses": {refuses, testServices/cutPause.Seconds() + 1}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 50)
			f.run(3 * time.Second)
			f.path = func(host, _ string) path {
				if host == "h0" {
					return c.how
				}
				return open
			}
			f.probes = 0
			f.run(span)
			if got := float64(f.probes) / span.Seconds(); got > c.most+1/quietTime.Seconds() {
				t.Errorf("%.1f probes a second, want at most %.1f and those of the other host", got, c.most)
			}
		})
	}
}

// limitedGate is a limit.Gate of which some endpoints name limits.
type limitedGate struct {
	limit.Unlimited
	names []string
}

func (g limitedGate) Allowance(_ time.Duration, e wire.LeaveMark, _ limit.Source) limit.Allowance {
	return limit.Allowance{Limited: slices.Contains(g.names, e.Endpoint), Left: 1}
}

// Probes took what endpoints that name limits have left for requests.
func TestLimitedEndpointsAreNotProbed(t *testing.T) {
	f := newFleet(2, 6)
	f.parts["h0"].Limits = limitedGate{names: []string{"e0", "e2", "e4"}}
	probed := map[string]int{}
	f.path = func(host, endpoint string) path {
		if host != "h0" {
			return open
		}
		probed[endpoint]++
		return refuses
	}
	f.run(20 * time.Second)
	for _, e := range []string{"e0", "e2", "e4"} {
		if probed[e] > 0 {
			t.Errorf("%s names a limit and was probed %d times", e, probed[e])
		}
	}
	if probed["e1"]+probed["e3"]+probed["e5"] == 0 {
		t.Error("no other endpoint was probed")
	}
}

// A host that is stopping was taken for one that takes calls.
func TestStoppingHostIsNoRelay(t *testing.T) {
	f := newFleet(3, 10)
	f.run(2 * time.Second)
	for _, stopping := range []bool{true, false} {
		f.step("h0", event.BeatSeen{Host: "h1", Beat: wire.Beat{Stopping: stopping, Links: &wire.Links{}}})
		if got := slices.Contains(f.parts["h0"].Relays(f.now), "h1"); got == stopping {
			t.Errorf("h1 is a relay: %v, while it is stopping: %v", got, stopping)
		}
	}
}

// A word from any endpoint must spare the probes.
func TestTrafficSparesProbes(t *testing.T) {
	f := newFleet(1, 5)
	for range 100 {
		f.run(100 * time.Millisecond)
		f.step("h0", event.EndpointAnswered{Endpoint: "e1", Incarnation: "1"})
	}
	if f.probes > 0 {
		t.Errorf("%d probes beside answers", f.probes)
	}
}

// The failure of one endpoint's connections must cost no round of probes, and that of several must.
func TestFailedConnectionsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		failed []string
		probes int
	}{"None": {nil, 0}, "OneEndpoint": {[]string{"e1", "e1", "e1"}, 0}, "Several": {[]string{"e1", "e2"}, roundSize}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 10)
			f.run(3 * time.Second)
			f.step("h0", event.EndpointAnswered{Endpoint: "e9", Incarnation: "1"})
			f.step("h1", event.EndpointAnswered{Endpoint: "e9", Incarnation: "1"})
			f.probes = 0
			for _, e := range c.failed {
				f.parts["h0"].Doubt(f.now, wire.LeaveMark{Endpoint: e, Incarnation: "1"})
			}
			f.run(400 * time.Millisecond)
			if f.probes != c.probes {
				t.Errorf("%d probes, want %d", f.probes, c.probes)
			}
		})
	}
}

// A host that had just started passed nothing on: other hosts had last heard from endpoints before its start.
func TestRelaysThatHeardBeforeTheStart(t *testing.T) {
	cases := map[string]struct {
		contactMS int64
		want      []string
	}{"never": {-1, nil}, "before the start": {300, []string{"h1"}}, "long before the start": {2600, nil}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, 5)
			f.now = 200 * time.Millisecond
			f.step("h0", event.BeatSeen{Host: "h1", Beat: wire.Beat{Links: &wire.Links{ContactMS: c.contactMS}}})
			if diff := cmp.Diff(c.want, f.parts["h0"].Relays(f.now)); diff != "" {
				t.Errorf("relays (-want +got):\n%s", diff)
			}
		})
	}
}

// A connection that was in use, on which nothing was asked, counted as a word from its endpoint.
func TestReusedConnectionIsNoWord(t *testing.T) {
	for name, reused := range map[string]bool{"New": false, "Reused": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 5)
			f.now = time.Second
			f.step("h0", event.EndpointIdentified{Endpoint: "e1", Incarnation: "1", Reused: reused})
			if heard := f.parts["h0"].contactAt == f.now; heard == reused {
				t.Errorf("counted as a word: %v", heard)
			}
		})
	}
}

// A request that is late must have one endpoint probed, unless something was heard since it was sent.
func TestLateAnswersAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		heard  bool
		probes int
	}{"NothingHeard": {false, 1}, "HeardSince": {true, 0}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1, 10)
			f.run(3 * time.Second)
			f.step("h0", event.EndpointAnswered{Endpoint: "e1", Incarnation: "1"})
			f.run(300 * time.Millisecond)
			f.probes = 0
			sent := f.now
			if c.heard {
				f.now += time.Millisecond
				f.step("h0", event.EndpointAnswered{Endpoint: "e1", Incarnation: "1"})
			}
			f.parts["h0"].Waiting(sent)
			f.run(100 * time.Millisecond)
			if f.probes != c.probes {
				t.Errorf("%d probes, want %d", f.probes, c.probes)
			}
		})
	}
}
